package umberslip.api

import umberslip.core.JobId
import umberslip.records.DependencyState
import umberslip.records.JobOutcome
import umberslip.records.JobRecord
import umberslip.records.OutcomeRecord
import umberslip.records.RecordView
import umberslip.records.RecordWatcher

/** Determines the status of jobs. Every function may throw [umberslip.http.ServiceException]. */
internal class JobStatusReader(
    private val recordWatcher: RecordWatcher,
    private val outcomes: OutcomeCache,
) {
    /**
     * Returns the job's status from a read that begins after this call, or null if the read failed. Outcomes may come
     * from the cache, since they are final.
     */
    suspend fun readStatus(id: JobId): JobStatus? {
        outcomes.getIfPresent(id)?.let { return JobStatus.Finished(it) }
        return readStatus(id, recordWatcher.confirm() ?: return null)
    }

    /** Returns the job's status according to [records]. */
    suspend fun readStatus(
        id: JobId,
        records: RecordView,
    ): JobStatus {
        val job = records.readJob(id)?.value ?: return statusWithoutRecord(id)
        // This controller may have cancelled the job while the records were being read.
        outcomes.getIfPresent(id)?.let { return JobStatus.Finished(it) }
        if (isCancelled(job, records)) return JobStatus.Finished(cancelledOutcome(job))
        return JobStatus.Unfinished(records.progress(id))
    }

    /** Returns the status of a job that has no record: it has finished or was never accepted. */
    suspend fun statusWithoutRecord(id: JobId): JobStatus {
        val outcome = outcomes.read(id) ?: return JobStatus.Unknown
        return JobStatus.Finished(outcome)
    }

    /**
     * Returns whether a stored job is cancelled, itself or through a dependency. Cancellation through a dependency is
     * final, so its outcome is cached.
     */
    suspend fun isCancelled(
        job: JobRecord,
        records: RecordView,
    ): Boolean {
        if (job.cancelled) return true
        if (!isCancelledByDependency(job, records)) return false
        outcomes.add(job.spec.id, cancelledOutcome(job))
        return true
    }

    /**
     * Returns whether a direct or transitive dependency of the job is cancelled. If so, the job is cancelled as well,
     * from the moment the dependency's cancellation was acknowledged. No record of the job shows this until the leader
     * writes its outcome later.
     */
    suspend fun isCancelledByDependency(
        job: JobRecord,
        records: RecordView,
    ): Boolean {
        if (job.spec.dependencies.isEmpty()) return false
        val neverAccepted = HashSet<JobId>()
        while (true) {
            val state =
                DependencyState.of(job, { records.readJob(it)?.value }) {
                    if (it in neverAccepted) JobOutcome.DONE else outcomes.getIfPresent(it)?.outcome
                }
            when (state) {
                DependencyState.Cancelled -> return true
                DependencyState.NotCancelled -> return false
                is DependencyState.Unread -> state.ids.filterTo(neverAccepted) { outcomes.read(it) == null }
            }
        }
    }

    fun cancelledOutcome(job: JobRecord) = OutcomeRecord(JobOutcome.CANCELLED, job.spec.tasks)
}
