package umberslip.api

import org.slf4j.Logger
import umberslip.http.NoResponseException
import umberslip.http.RateLimitedException
import umberslip.http.ServiceUnavailableException
import umberslip.records.Keys
import umberslip.store.KeyValueStore
import umberslip.store.Precondition
import umberslip.store.RateLimiter
import umberslip.store.TransactionResult
import umberslip.store.Version
import umberslip.store.Write

/** Writes batches of submissions, each in one transaction. */
internal class SubmissionWriter(
    private val store: KeyValueStore,
    private val writes: RateLimiter,
    private val announce: () -> Unit,
    private val log: Logger,
) {
    /** Creates the records of [batch] and completes all results. Jobs that were accepted before are left out. */
    suspend fun write(batch: List<PendingSubmission>) {
        try {
            create(batch)
        } finally {
            batch.forEach { it.result.complete(SubmissionResult.UNCONFIRMED) }
        }
    }

    private suspend fun create(batch: List<PendingSubmission>) {
        // Of submissions of the same job, only the first is written; the others stay unconfirmed.
        val distinct = batch.distinctBy { it.id }
        (batch - distinct.toSet()).forEach { it.result.complete(SubmissionResult.UNCONFIRMED) }
        createDistinct(distinct)
    }

    private suspend fun createDistinct(submissions: List<PendingSubmission>) {
        var remaining = submissions
        while (remaining.isNotEmpty()) {
            writes.take(remaining.size, urgent = false)
            when (val result = compareAndSwap(remaining)) {
                is TransactionResult.Applied -> {
                    remaining.forEach { it.result.complete(SubmissionResult.CREATED) }
                    announce()
                    return
                }
                is TransactionResult.Rejected -> {
                    rejected(remaining, result.reason)
                    return
                }
                is TransactionResult.PreconditionFailed -> {
                    val (known, unknown) = remaining.partition { isKnown(it, result) }
                    if (known.isEmpty()) return
                    known.forEach { it.result.complete(SubmissionResult.KNOWN) }
                    remaining = unknown
                }
                TransactionResult.LeaseExpired, null -> return
            }
        }
    }

    /** What one submission of a transaction is rejected for does not hold for the others. */
    private suspend fun rejected(
        submissions: List<PendingSubmission>,
        reason: String,
    ) {
        log.error("submissions rejected: jobs={} reason={}", submissions.joinToString { it.id.value }, reason)
        if (submissions.size == 1) return
        submissions.chunked((submissions.size + 1) / 2).forEach { createDistinct(it) }
    }

    private fun isKnown(
        submission: PendingSubmission,
        result: TransactionResult.PreconditionFailed,
    ): Boolean = Keys.job(submission.id) in result.failed || Keys.outcome(submission.id) in result.failed

    /** Null where the request failed. */
    private suspend fun compareAndSwap(submissions: List<PendingSubmission>): TransactionResult? =
        try {
            store.compareAndSwap(
                preconditions =
                    submissions.flatMap {
                        listOf(
                            Precondition(Keys.job(it.id), Version.NONE),
                            Precondition(Keys.outcome(it.id), Version.NONE),
                        )
                    },
                writes = submissions.map { Write.Put(Keys.job(it.id), it.record.toMap()) },
            )
        } catch (e: RateLimitedException) {
            writes.lowerRate()
            notWritten(submissions, e)
            null
        } catch (e: ServiceUnavailableException) {
            notWritten(submissions, e)
            null
        } catch (e: NoResponseException) {
            // Accepted or not: the user's retry shows which.
            log.info("outcome of submissions is indeterminate: jobs={} reason={}", submissions.size, e.message)
            null
        }

    private fun notWritten(
        submissions: List<PendingSubmission>,
        failure: ServiceUnavailableException,
    ) = log.debug("submissions not written: jobs={} reason={}", submissions.size, failure.message)
}
