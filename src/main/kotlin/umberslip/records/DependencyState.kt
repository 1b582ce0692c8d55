package umberslip.records

import umberslip.core.JobId

/**
 * Whether a job is cancelled because one that it needs, directly or through others, is cancelled. That needs no
 * record of its own: it follows from the one end that was written, so every controller answers the same from the
 * moment that the cancellation was acknowledged. Pure.
 */
sealed interface DependencyState {
    data object Cancelled : DependencyState

    data object Open : DependencyState

    /** Not known before the ends of these have been read. */
    data class Unread(
        val ids: Set<JobId>,
    ) : DependencyState

    companion object {
        /** [record] finds unfinished jobs, [end] how others ended, where that is known. */
        fun of(
            job: JobRecord,
            record: (JobId) -> JobRecord?,
            end: (JobId) -> JobOutcome?,
        ): DependencyState {
            val seen = HashSet<JobId>()
            val unread = LinkedHashSet<JobId>()
            val open = ArrayDeque(job.spec.dependencies)
            while (open.isNotEmpty()) {
                val id = open.removeLast()
                if (!seen.add(id)) continue
                val needed = record(id)
                if (needed != null) {
                    if (needed.cancelled) return Cancelled
                    open += needed.spec.dependencies
                } else {
                    when (end(id)) {
                        JobOutcome.CANCELLED -> return Cancelled
                        JobOutcome.DONE -> Unit
                        null -> unread += id
                    }
                }
            }
            return if (unread.isEmpty()) Open else Unread(unread)
        }
    }
}
