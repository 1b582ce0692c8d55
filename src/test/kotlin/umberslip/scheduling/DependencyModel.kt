package umberslip.scheduling

import umberslip.core.JobId
import umberslip.core.JobSpec
import umberslip.core.Priority
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** A reference model of [DependencyGraph]: computes the same results by definition, from all jobs ever submitted. */
internal class DependencyModel(
    specs: List<JobSpec>,
) {
    private val specs = specs.associateBy { it.id }
    private val done = HashSet<JobId>()
    private val cancelled = HashSet<JobId>()

    /** Results computed since the last change, cached so that long chains are not computed repeatedly. */
    private val dependencyCancelled = HashMap<JobId, Boolean>()
    private val priorities = HashMap<JobId, Priority>()
    private val inheritedDeadlines = HashMap<JobId, Duration>()

    /** Discards the cached results; called whenever the set of unfinished jobs has changed. */
    fun invalidate() {
        dependencyCancelled.clear()
        priorities.clear()
        inheritedDeadlines.clear()
    }

    fun markDone(id: JobId) {
        done += id
        invalidate()
    }

    fun markCancelled(id: JobId) {
        cancelled += id
        invalidate()
    }

    fun isDone(id: JobId): Boolean = id in done

    fun isCancelled(id: JobId): Boolean = id in cancelled

    fun isDependencyCancelled(id: JobId): Boolean =
        dependencyCancelled.getOrPut(id) {
            specs.getValue(id).dependencies.any { it in cancelled || isDependencyCancelled(it) }
        }

    fun isBlocked(id: JobId): Boolean = specs.getValue(id).dependencies.any { it !in done }

    fun isOpen(id: JobId): Boolean = id !in done && id !in cancelled && !isDependencyCancelled(id)

    private fun dependents(
        id: JobId,
        unfinished: Set<JobId>,
    ): List<JobId> = unfinished.filter { isOpen(it) && id in specs.getValue(it).dependencies }

    fun priority(
        id: JobId,
        unfinished: Set<JobId>,
    ): Priority =
        priorities.getOrPut(id) {
            val inherited = dependents(id, unfinished).map { priority(it, unfinished) }
            (inherited + specs.getValue(id).priority).min()
        }

    /** Returns the earliest of the deadlines that the job inherits; infinite if there is none. */
    fun inheritedDeadline(
        id: JobId,
        unfinished: Set<JobId>,
    ): Duration =
        inheritedDeadlines.getOrPut(id) {
            dependents(id, unfinished).minOfOrNull { startDeadline(it, unfinished) } ?: Duration.INFINITE
        }

    /** Returns the time by which the job's dependencies have to be done. */
    private fun startDeadline(
        id: JobId,
        unfinished: Set<JobId>,
    ): Duration {
        val spec = specs.getValue(id)
        val own = spec.deadlineSeconds?.seconds ?: Duration.INFINITE
        return minOf(own, inheritedDeadline(id, unfinished)) - spec.expectedSeconds.seconds
    }
}
