package umberslip.scheduling

import umberslip.core.JobId
import umberslip.core.JobSpec
import umberslip.core.Priority
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** What [DependencyGraph] keeps up to date, computed by its definition over all jobs that ever were submitted. */
internal class DependencyModel(
    specs: List<JobSpec>,
) {
    private val specs = specs.associateBy { it.id }
    private val done = HashSet<JobId>()
    private val cancelled = HashSet<JobId>()

    /** Results since the last change; without, long chains would be computed again and again. */
    private val dependencyCancelled = HashMap<JobId, Boolean>()
    private val priorities = HashMap<JobId, Priority>()
    private val inheritedDeadlines = HashMap<JobId, Duration>()

    /** The set of unfinished jobs has changed: what follows from it is computed anew. */
    fun changed() {
        dependencyCancelled.clear()
        priorities.clear()
        inheritedDeadlines.clear()
    }

    fun done(id: JobId) {
        done += id
        changed()
    }

    fun cancelled(id: JobId) {
        cancelled += id
        changed()
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

    /** The earliest of the deadlines that the job inherits; infinite if there is none. */
    fun inheritedDeadline(
        id: JobId,
        unfinished: Set<JobId>,
    ): Duration =
        inheritedDeadlines.getOrPut(id) {
            dependents(id, unfinished).minOfOrNull { startDeadline(it, unfinished) } ?: Duration.INFINITE
        }

    /** By when the job's dependencies have to be done. */
    private fun startDeadline(
        id: JobId,
        unfinished: Set<JobId>,
    ): Duration {
        val spec = specs.getValue(id)
        val own = spec.deadlineSeconds?.seconds ?: Duration.INFINITE
        return minOf(own, inheritedDeadline(id, unfinished)) - spec.expectedSeconds.seconds
    }
}
