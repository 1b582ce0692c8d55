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

/** Cancels jobs. */
internal class JobCancellation(
    private val store: KeyValueStore,
    private val writes: RateLimiter,
    private val recordWatcher: RecordWatcher,
    private val statuses: JobStatusReader,
    private val outcomes: OutcomeCache,
    private val announce: () -> Unit,
) {
    /**
     * The final status of a job, which this call cancels unless it finished before. Null where that could not be
     * decided.
     *
     * @throws umberslip.http.ServiceException where a read or the write failed
     */
    suspend fun cancel(id: JobId): JobStatus? {
        outcomes.cached(id)?.let { return JobStatus.Finished(it) }
        repeat(MAX_ATTEMPTS) {
            val records = recordWatcher.confirm() ?: return null
            val job = records.readJob(id) ?: return statuses.finished(id)
            val outcome = statuses.cancelled(job.value)
            if (statuses.isCancelled(job.value, records)) return JobStatus.Finished(outcome)
            if (write(id, job, outcome) is TransactionResult.Applied) {
                outcomes.add(id, outcome)
                announce()
                return JobStatus.Finished(outcome)
            }
        }
        return null
    }

    private suspend fun write(
        id: JobId,
        job: Versioned<JobRecord>,
        outcome: OutcomeRecord,
    ): TransactionResult {
        // Whichever of done and cancelled is written first is final: both create the outcome's record.
        val preconditions =
            listOf(Precondition(Keys.job(id), job.version), Precondition(Keys.outcome(id), Version.NONE))
        val cancellation =
            listOf(
                Write.Put(Keys.outcome(id), outcome.toMap()),
                Write.Put(Keys.job(id), job.value.copy(cancelled = true).toMap()),
            )
        writes.take(cancellation.size, urgent = true)
        return store.compareAndSwap(preconditions, cancellation)
    }

    private companion object {
        /** A job's record seldom changes, so that more attempts would hardly help. */
        const val MAX_ATTEMPTS = 3
    }
}
