package umberslip.records

import umberslip.core.JobId

/**
 * States whether a job is cancelled because one of its direct or transitive dependencies is cancelled.
 *
 * This state is not stored. It is derived from the records and outcomes of the dependencies, so every controller
 * returns the same answer once the cancellation of the dependency has been acknowledged.
 */
sealed interface DependencyState {
    /** A dependency is cancelled, and therefore the job as well. */
    data object Cancelled : DependencyState

    /** No dependency is cancelled. Some may be unfinished. */
    data object NotCancelled : DependencyState

    /** The state cannot be determined before the outcomes of the jobs [ids] have been read. */
    data class Unread(
        val ids: Set<JobId>,
    ) : DependencyState

    companion object {
        /**
         * Determines the state of [job]. [findRecord] returns the record of an unfinished job, and null for other jobs.
         * [findOutcome] returns the outcome of a finished job, or null if it has not been read yet. Pure.
         */
        fun of(
            job: JobRecord,
            findRecord: (JobId) -> JobRecord?,
            findOutcome: (JobId) -> JobOutcome?,
        ): DependencyState {
            val visited = HashSet<JobId>()
            val unread = LinkedHashSet<JobId>()
            val toVisit = ArrayDeque(job.spec.dependencies)
            while (toVisit.isNotEmpty()) {
                val id = toVisit.removeLast()
                if (!visited.add(id)) continue
                val dependency = findRecord(id)
                if (dependency != null) {
                    if (dependency.cancelled) return Cancelled
                    toVisit += dependency.spec.dependencies
                } else {
                    when (findOutcome(id)) {
                        JobOutcome.CANCELLED -> return Cancelled
                        JobOutcome.DONE -> Unit
                        null -> unread += id
                    }
                }
            }
            return if (unread.isEmpty()) NotCancelled else Unread(unread)
        }
    }
}
