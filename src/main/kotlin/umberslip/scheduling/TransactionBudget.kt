package umberslip.scheduling

import umberslip.settings.StoreSettings

/** Limits the size of transactions, and reduces the limits when the key-value store rejects one for its size. */
internal class TransactionBudget(
    private val limits: StoreSettings,
) {
    /** The fraction of the limits that is used. */
    private var usedFraction = 1.0

    /** Returns the limits of a transaction for which the caller allows [maxWrites] writes. */
    fun limitsFor(maxWrites: Int): TransactionLimits =
        TransactionLimits(
            maxWrites = (maxWrites * usedFraction).toInt().coerceAtLeast(MIN_WRITES),
            valueBytes = (limits.valueBytes * usedFraction).toInt(),
            transactionBytes = (MAX_TRANSACTION_BYTES * usedFraction).toInt(),
        )

    /** Halves the limits of later transactions, after one was rejected for its size. */
    fun halve() {
        usedFraction = (usedFraction / 2).coerceAtLeast(MIN_USED_FRACTION)
    }

    private companion object {
        /** The key-value store accepts 64 KiB. The size of a batch is only estimated, so this leaves a margin. */
        const val MAX_TRANSACTION_BYTES = 50_000

        /** The least fraction of the limits that is used, however often the key-value store rejects a batch. */
        const val MIN_USED_FRACTION = 0.125

        /** Enough that anything that is due fits into a transaction of its own. */
        const val MIN_WRITES = TransactionBuilder.FINISHED_JOB_WRITES
    }
}

/** The limits of one transaction. */
internal class TransactionLimits(
    val maxWrites: Int,
    val valueBytes: Int,
    val transactionBytes: Int,
)
