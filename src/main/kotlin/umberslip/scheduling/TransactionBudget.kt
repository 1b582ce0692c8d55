package umberslip.scheduling

import umberslip.settings.StoreSettings

/** How much goes into one transaction: less once the key-value store has rejected one for its size. */
internal class TransactionBudget(
    private val limits: StoreSettings,
) {
    /** The part of the limits that is used. */
    private var usedPart = 1.0

    /** The limits of a transaction of which the caller allows [maxWrites] writes. */
    fun limitsFor(maxWrites: Int): TransactionLimits =
        TransactionLimits(
            maxWrites = (maxWrites * usedPart).toInt().coerceAtLeast(MIN_WRITES),
            valueBytes = (limits.valueBytes * usedPart).toInt(),
            transactionBytes = (MAX_TRANSACTION_BYTES * usedPart).toInt(),
        )

    /** A transaction was rejected for its size: the next ones hold half as much. */
    fun halve() {
        usedPart = (usedPart / 2).coerceAtLeast(MIN_USED_PART)
    }

    private companion object {
        /** The key-value store takes 64 KiB; what a batch takes is estimated, so this leaves a reserve. */
        const val MAX_TRANSACTION_BYTES = 50_000

        /** Writes go on in small batches however often the key-value store rejects one. */
        const val MIN_USED_PART = 0.125

        /** So that whatever is due fits into a transaction of its own. */
        const val MIN_WRITES = TransactionBuilder.FINISHED_JOB_WRITES
    }
}

/** The limits that one transaction is built within. */
internal class TransactionLimits(
    val maxWrites: Int,
    val valueBytes: Int,
    val transactionBytes: Int,
)
