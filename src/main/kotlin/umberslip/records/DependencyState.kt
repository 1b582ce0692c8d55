package umberslip.records

import umberslip.core.JobId

/**
 * Whether a job is cancelled because one of its dependencies, direct or transitive, is cancelled. That needs no record
 * of its own: it follows from the dependency's outcome, so every controller answers the same from the moment that the
 * cancellation was acknowledged. Pure.
 */
sealed interface DependencyState {
    /** A dependency is cancelled, and so is the job. */
    data object Cancelled : DependencyState

    /** No dependency is cancelled; some may be unfinished. */
    data object NotCancelled : DependencyState

    /** Unknown before the outcomes of these jobs have been read. */
    data class Unread(
        val ids: Set<JobId>,
    ) : DependencyState

    companion object {
        /** [record] finds unfinished jobs; [outcome] says how others finished, null where that was not read yet. */
        fun of(
            job: JobRecord,
            record: (JobId) -> JobRecord?,
            outcome: (JobId) -> JobOutcome?,
        ): DependencyState {
            val visited = HashSet<JobId>()
            val unread = LinkedHashSet<JobId>()
            val toVisit = ArrayDeque(job.spec.dependencies)
            while (toVisit.isNotEmpty()) {
                val id = toVisit.removeLast()
                if (!visited.add(id)) continue
                val dependency = record(id)
                if (dependency != null) {
                    if (dependency.cancelled) return Cancelled
                    toVisit += dependency.spec.dependencies
                } else {
                    when (outcome(id)) {
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
