package umberslip.api

import umberslip.core.JobId
import umberslip.records.JobRecord
import umberslip.records.Keys
import umberslip.records.OutcomeRecord
import umberslip.records.RecordWatcher
import umberslip.records.Versioned
import umberslip.store.KeyValueStore
import umberslip.store.Precondition
import umberslip.store.RateLimiter
import umberslip.store.TransactionResult
import umberslip.store.Version
import umberslip.store.Write

/** Cancels jobs by a compare-and-swap on their records. */
internal class JobCancellation(
    private val store: KeyValueStore,
    private val writeRateLimiter: RateLimiter,
    private val recordWatcher: RecordWatcher,
    private val statusReader: JobStatusReader,
    private val outcomes: OutcomeCache,
    private val announce: () -> Unit,
) {
    /**
     * Cancels the job unless it has finished. Returns the resulting status, or null if it could not be determined.
     *
     * @throws umberslip.http.ServiceException if a read or the write fails
     */
    suspend fun cancel(id: JobId): JobStatus? {
        outcomes.getIfPresent(id)?.let { return JobStatus.Finished(it) }
        repeat(MAX_ATTEMPTS) {
            val records = recordWatcher.confirm() ?: return null
            val job = records.readJob(id) ?: return statusReader.statusWithoutRecord(id)
            val outcome = statusReader.cancelledOutcome(job.value)
            if (statusReader.isCancelled(job.value, records)) return JobStatus.Finished(outcome)
            if (writeCancellation(id, job, outcome) is TransactionResult.Applied) {
                outcomes.add(id, outcome)
                announce()
                return JobStatus.Finished(outcome)
            }
        }
        return null
    }

    private suspend fun writeCancellation(
        id: JobId,
        job: Versioned<JobRecord>,
        outcome: OutcomeRecord,
    ): TransactionResult {
        // Completion and cancellation both create the outcome record, so whichever is written first is final.
        val preconditions =
            listOf(Precondition(Keys.job(id), job.version), Precondition(Keys.outcome(id), Version.NONE))
        val cancellation =
            listOf(
                Write.Put(Keys.outcome(id), outcome.toMap()),
                Write.Put(Keys.job(id), job.value.copy(cancelled = true).toMap()),
            )
        writeRateLimiter.take(cancellation.size, urgent = true)
        return store.compareAndSwap(preconditions, cancellation)
    }

    private companion object {
        /** Job records seldom change, so more attempts would rarely help. */
        const val MAX_ATTEMPTS = 3
    }
}
