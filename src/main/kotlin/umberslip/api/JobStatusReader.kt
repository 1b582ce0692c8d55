package umberslip.api

import umberslip.core.JobId
import umberslip.records.DependencyState
import umberslip.records.JobOutcome
import umberslip.records.JobRecord
import umberslip.records.OutcomeRecord
import umberslip.records.RecordView
import umberslip.records.RecordWatcher

/** Finds out the status of jobs. Every function may throw [umberslip.http.ServiceException]. */
internal class JobStatusReader(
    private val recordWatcher: RecordWatcher,
    private val outcomes: OutcomeCache,
) {
    /**
     * A job's status as of a read that begins after this call; outcomes may come from the cache, since they are final.
     * Null where the read failed.
     */
    suspend fun status(id: JobId): JobStatus? {
        outcomes.cached(id)?.let { return JobStatus.Finished(it) }
        return status(id, recordWatcher.confirm() ?: return null)
    }

    /** A job's status as [records] show it. */
    suspend fun status(
        id: JobId,
        records: RecordView,
    ): JobStatus {
        val job = records.readJob(id)?.value ?: return finished(id)
        // It may have been cancelled by this controller while the read was under way.
        outcomes.cached(id)?.let { return JobStatus.Finished(it) }
        if (isCancelled(job, records)) return JobStatus.Finished(cancelled(job))
        return JobStatus.Unfinished(records.progress(id))
    }

    /** The status of a job without a record: such a job finished, or was never accepted. */
    suspend fun finished(id: JobId): JobStatus {
        val outcome = outcomes.read(id) ?: return JobStatus.Unknown
        return JobStatus.Finished(outcome)
    }

    /** Whether a stored job is cancelled, itself or with a dependency; the latter is final, so it is cached. */
    suspend fun isCancelled(
        job: JobRecord,
        records: RecordView,
    ): Boolean {
        if (job.cancelled) return true
        if (!isCancelledByDependency(job, records)) return false
        outcomes.add(job.spec.id, cancelled(job))
        return true
    }

    /**
     * Whether a dependency of the job, direct or transitive, is cancelled. The job is then cancelled as well, from the
     * moment that the dependency's cancellation was acknowledged and without a record of its own; the leader writes its
     * outcome later.
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
                    if (it in neverAccepted) JobOutcome.DONE else outcomes.cached(it)?.outcome
                }
            when (state) {
                DependencyState.Cancelled -> return true
                DependencyState.NotCancelled -> return false
                is DependencyState.Unread -> state.ids.filterTo(neverAccepted) { outcomes.read(it) == null }
            }
        }
    }

    /** The outcome of a cancelled job. */
    fun cancelled(job: JobRecord) = OutcomeRecord(JobOutcome.CANCELLED, job.spec.tasks)
}
