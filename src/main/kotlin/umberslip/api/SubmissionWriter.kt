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

/** Writes batches of submissions, each in one transaction if possible. */
internal class SubmissionWriter(
    private val store: KeyValueStore,
    private val writeRateLimiter: RateLimiter,
    private val announce: () -> Unit,
    private val log: Logger,
) {
    /** Creates the records of [batch] and completes all results. Jobs that were accepted before are skipped. */
    suspend fun write(batch: List<PendingSubmission>) {
        try {
            create(batch)
        } finally {
            batch.forEach { it.result.complete(SubmissionResult.UNCONFIRMED) }
        }
    }

    private suspend fun create(batch: List<PendingSubmission>) {
        // If a job was submitted several times, only the first submission is written; the others are unconfirmed.
        val distinct = batch.distinctBy { it.id }
        (batch - distinct.toSet()).forEach { it.result.complete(SubmissionResult.UNCONFIRMED) }
        createDistinct(distinct)
    }

    private suspend fun createDistinct(submissions: List<PendingSubmission>) {
        var remaining = submissions
        while (remaining.isNotEmpty()) {
            writeRateLimiter.take(remaining.size, urgent = false)
            when (val result = compareAndSwap(remaining)) {
                is TransactionResult.Applied -> {
                    remaining.forEach { it.result.complete(SubmissionResult.CREATED) }
                    announce()
                    return
                }
                is TransactionResult.Rejected -> {
                    onRejected(remaining, result.reason)
                    return
                }
                is TransactionResult.PreconditionFailed -> {
                    val (alreadyAccepted, notYetAccepted) = remaining.partition { isAlreadyAccepted(it, result) }
                    if (alreadyAccepted.isEmpty()) return
                    alreadyAccepted.forEach { it.result.complete(SubmissionResult.ALREADY_ACCEPTED) }
                    remaining = notYetAccepted
                }
                TransactionResult.LeaseExpired, null -> return
            }
        }
    }

    /**
     * Logs the rejection and writes the submissions again in two halves. The rejection of one submission must not keep
     * the others from being written.
     */
    private suspend fun onRejected(
        submissions: List<PendingSubmission>,
        reason: String,
    ) {
        log.error(
            "submissions rejected by the key-value store: jobs={} reason={}",
            submissions.joinToString { it.id.value },
            reason,
        )
        if (submissions.size == 1) return
        submissions.chunked((submissions.size + 1) / 2).forEach { createDistinct(it) }
    }

    private fun isAlreadyAccepted(
        submission: PendingSubmission,
        result: TransactionResult.PreconditionFailed,
    ): Boolean = Keys.job(submission.id) in result.failed || Keys.outcome(submission.id) in result.failed

    /** Returns null if the request failed. */
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
            writeRateLimiter.lowerRate()
            logNotWritten(submissions, e)
            null
        } catch (e: ServiceUnavailableException) {
            logNotWritten(submissions, e)
            null
        } catch (e: NoResponseException) {
            // The jobs may have been accepted; a retry by the user shows whether they were.
            log.info("outcome of submissions is indeterminate: jobs={} reason={}", submissions.size, e.message)
            null
        }

    private fun logNotWritten(
        submissions: List<PendingSubmission>,
        failure: ServiceUnavailableException,
    ) = log.debug("submissions not written: jobs={} reason={}", submissions.size, failure.message)
}
