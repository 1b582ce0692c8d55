package umberslip.scheduling

import umberslip.core.JobId
import umberslip.core.Priority
import umberslip.records.JobOutcome
import kotlin.time.Duration

/** The priority and the deadlines that a job inherits from the jobs that depend on it. */
data class InheritedPriority(
    val priority: Priority,
    /** The times by which the job has to be done so that the jobs that depend on it can meet their deadlines. */
    val deadlines: List<Duration>,
)

/**
 * The dependencies of the unfinished jobs, which are those in [jobs]. A dependency is met only once the outcome of the
 * job is recorded, whether this leader wrote it in its own term or read it from the store. Pure. Used on the leader
 * actor's thread only.
 */
class DependencyGraph(
    private val jobs: Map<JobId, RunningJob>,
) {
    /** The blocked jobs, by the ID of the job that they depend on. */
    private val dependents = HashMap<JobId, LinkedHashSet<RunningJob>>()

    /** Outcomes that were recorded; a recorded outcome never changes. */
    private val outcomes =
        object : LinkedHashMap<JobId, JobOutcome>() {
            override fun removeEldestEntry(eldest: Map.Entry<JobId, JobOutcome>) = size > MAX_OUTCOMES
        }
    private val unreadOutcomes = LinkedHashSet<JobId>()

    /** Dependencies that are not among the unfinished jobs. Their outcomes have to be read from the store. */
    val unread: Set<JobId> get() = unreadOutcomes

    /** Whether the graph has changed since [inheritPriorities] last computed what jobs inherit. */
    private var isChanged = false
    private var lastInherited: Map<RunningJob, InheritedPriority> = emptyMap()

    /**
     * Adds a job; the jobs that it depends on may be added before or after it. Returns the other jobs that are
     * cancelled because they depend on it.
     */
    fun add(job: RunningJob): List<RunningJob> {
        val id = job.spec.id
        unreadOutcomes -= id
        for (dependency in job.spec.dependencies) addDependency(job, dependency)
        if (job.spec.dependencies.isNotEmpty() || id in dependents) isChanged = true
        return if (job.cancelled || job.dependencyCancelled) cancelDependents(job) else emptyList()
    }

    private fun addDependency(
        job: RunningJob,
        dependency: JobId,
    ) {
        when (outcomes[dependency]) {
            JobOutcome.DONE -> Unit
            JobOutcome.CANCELLED -> job.dependencyCancelled = true
            null -> {
                dependents.getOrPut(dependency) { LinkedHashSet() } += job
                job.pendingDependencies += dependency
                val parent = jobs[dependency]
                if (parent == null) unreadOutcomes += dependency
                if (parent != null && (parent.cancelled || parent.dependencyCancelled)) job.dependencyCancelled = true
            }
        }
    }

    /**
     * Marks all jobs that depend on the cancelled [job], directly or indirectly, as cancelled by a dependency. Returns
     * the jobs that were not marked before.
     */
    fun cancelDependents(job: RunningJob): List<RunningJob> {
        val cancelled = ArrayList<RunningJob>()
        val open = ArrayDeque(listOf(job))
        while (open.isNotEmpty()) {
            for (dependent in dependents[open.removeLast().spec.id].orEmpty()) {
                if (dependent.dependencyCancelled) continue
                dependent.dependencyCancelled = true
                cancelled += dependent
                open += dependent
            }
        }
        if (cancelled.isNotEmpty() || job.pendingDependencies.isNotEmpty()) isChanged = true
        return cancelled
    }

    /** Takes the recorded [outcome] of a job. Returns the jobs that become runnable or are cancelled by it. */
    fun recordOutcome(
        id: JobId,
        outcome: JobOutcome,
    ): List<RunningJob> {
        unreadOutcomes -= id
        outcomes[id] = outcome
        val blocked = dependents.remove(id) ?: return emptyList()
        isChanged = true
        blocked.forEach { it.pendingDependencies -= id }
        if (outcome == JobOutcome.DONE) return blocked.filter { !it.isBlocked }
        return blocked.filter { !it.dependencyCancelled }.flatMap { job ->
            job.dependencyCancelled = true
            cancelDependents(job) + job
        }
    }

    /** Removes a job that is no longer among the unfinished jobs. Its outcome may become known later. */
    fun remove(job: RunningJob) {
        for (dependency in job.pendingDependencies) {
            val blocked = dependents[dependency] ?: continue
            blocked -= job
            if (blocked.isEmpty()) {
                dependents -= dependency
                unreadOutcomes -= dependency
            }
        }
        if (job.pendingDependencies.isNotEmpty()) isChanged = true
        if (job.spec.id in dependents) unreadOutcomes += job.spec.id
    }

    /**
     * Passes priorities and deadlines on from jobs to their dependencies. Each job's expected run time is subtracted
     * from the deadlines that it passes on. Returns the jobs whose inherited priority or deadlines have changed since
     * the last call; nothing is computed if the graph has not changed.
     */
    fun inheritPriorities(): Map<RunningJob, InheritedPriority> {
        if (!isChanged) return emptyMap()
        isChanged = false
        val previous = lastInherited
        val inherited = computeInherited()
        lastInherited = inherited
        return (previous.keys + inherited.keys)
            .filter { jobs[it.spec.id] === it && previous[it] != inherited[it] }
            .associateWith { inherited[it] ?: nothingInherited(it) }
    }

    private fun computeInherited(): Map<RunningJob, InheritedPriority> {
        val inherited = HashMap<RunningJob, InheritedPriority>()
        val open = ArrayDeque(dependents.values.flatten())
        while (open.isNotEmpty()) {
            val job = open.removeFirst()
            if (job.dependencyCancelled || job.cancelled) continue
            val fromDependents = inherited[job] ?: nothingInherited(job)
            val deadlines = (job.deadlines + fromDependents.deadlines).map { it - job.expectedRunTime }
            for (id in job.pendingDependencies) {
                val dependency = jobs[id] ?: continue
                val current = inherited[dependency] ?: nothingInherited(dependency)
                val merged = merge(current, fromDependents.priority, deadlines)
                if (merged == current) continue
                inherited[dependency] = merged
                open.addLast(dependency)
            }
        }
        return inherited
    }

    private fun nothingInherited(job: RunningJob) = InheritedPriority(job.spec.priority, emptyList())

    private fun merge(
        current: InheritedPriority,
        priority: Priority,
        deadlines: List<Duration>,
    ): InheritedPriority =
        InheritedPriority(
            minOf(current.priority, priority),
            (current.deadlines + deadlines).distinct().sorted().take(MAX_DEADLINES),
        )

    private companion object {
        /** Bounds the memory. An outcome that was evicted is read again when a new job depends on it. */
        const val MAX_OUTCOMES = 4_000

        /** Only the earliest deadlines decide a job's position, and long chains would accumulate very many. */
        const val MAX_DEADLINES = 4
    }
}
