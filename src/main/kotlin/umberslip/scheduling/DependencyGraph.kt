package umberslip.scheduling

import umberslip.core.JobId
import umberslip.core.Priority
import umberslip.records.JobOutcome
import kotlin.time.Duration

/** What a job inherits from the jobs that depend on it. */
data class InheritedPriority(
    val priority: Priority,
    /** Those that the job has to meet so that the others can meet theirs. */
    val deadlines: List<Duration>,
)

/**
 * Which unfinished jobs depend on which. A dependency is met only by its recorded outcome: as this leader wrote it in
 * its term, or as it read it. Pure; [jobs] are the unfinished ones. Used on the leader actor's thread only.
 */
class DependencyGraph(
    private val jobs: Map<JobId, RunningJob>,
) {
    /** The jobs that are blocked, by the job that blocks them. */
    private val dependents = HashMap<JobId, LinkedHashSet<RunningJob>>()

    /** Known outcomes; they never change. */
    private val outcomes =
        object : LinkedHashMap<JobId, JobOutcome>() {
            override fun removeEldestEntry(eldest: Map.Entry<JobId, JobOutcome>) = size > MAX_OUTCOMES
        }
    private val unreadOutcomes = LinkedHashSet<JobId>()

    /** Dependencies that are finished or not known: their outcomes are to be read from the store. */
    val unread: Set<JobId> get() = unreadOutcomes

    /** Whether the graph has changed since priorities were last inherited. */
    private var isChanged = false
    private var inheritedBefore: Map<RunningJob, InheritedPriority> = emptyMap()

    /** Adds a job, before or after those it depends on. Returns the other jobs that are cancelled by that. */
    fun added(job: RunningJob): List<RunningJob> {
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
                job.pending += dependency
                val known = jobs[dependency]
                if (known == null) unreadOutcomes += dependency
                if (known != null && (known.cancelled || known.dependencyCancelled)) job.dependencyCancelled = true
            }
        }
    }

    /** The job is cancelled, and so are all that depend on it, directly or through others; returns those. */
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
        if (cancelled.isNotEmpty() || job.pending.isNotEmpty()) isChanged = true
        return cancelled
    }

    /** The recorded [outcome] of a job is known. Returns the jobs that become runnable or are cancelled by it. */
    fun ended(
        id: JobId,
        outcome: JobOutcome,
    ): List<RunningJob> {
        unreadOutcomes -= id
        outcomes[id] = outcome
        val blocked = dependents.remove(id) ?: return emptyList()
        isChanged = true
        blocked.forEach { it.pending -= id }
        if (outcome == JobOutcome.DONE) return blocked.filter { !it.isBlocked }
        return blocked.filter { !it.dependencyCancelled }.flatMap { job ->
            job.dependencyCancelled = true
            cancelDependents(job) + job
        }
    }

    /** The job is not among the unfinished ones any more; its outcome may become known later. */
    fun removed(job: RunningJob) {
        for (dependency in job.pending) {
            val blocked = dependents[dependency] ?: continue
            blocked -= job
            if (blocked.isEmpty()) {
                dependents -= dependency
                unreadOutcomes -= dependency
            }
        }
        if (job.pending.isNotEmpty()) isChanged = true
        if (job.spec.id in dependents) unreadOutcomes += job.spec.id
    }

    /**
     * Passes priorities and deadlines on to dependencies, a deadline less the run times between. Returns the jobs that
     * inherit something else than before; computed only when the graph has changed.
     */
    fun inheritPriorities(): Map<RunningJob, InheritedPriority> {
        if (!isChanged) return emptyMap()
        isChanged = false
        val before = inheritedBefore
        val inherited = computeInherited()
        inheritedBefore = inherited
        return (before.keys + inherited.keys)
            .filter { jobs[it.spec.id] === it && before[it] != inherited[it] }
            .associateWith { inherited[it] ?: nothingInherited(it) }
    }

    private fun computeInherited(): Map<RunningJob, InheritedPriority> {
        val inherited = HashMap<RunningJob, InheritedPriority>()
        val open = ArrayDeque(dependents.values.flatten())
        while (open.isNotEmpty()) {
            val job = open.removeFirst()
            if (job.dependencyCancelled || job.cancelled) continue
            val own = inherited[job] ?: nothingInherited(job)
            val deadlines = (job.deadlines + own.deadlines).map { it - job.expectedRunTime }
            for (id in job.pending) {
                val dependency = jobs[id] ?: continue
                val known = inherited[dependency] ?: nothingInherited(dependency)
                val merged = merge(known, own.priority, deadlines)
                if (merged == known) continue
                inherited[dependency] = merged
                open.addLast(dependency)
            }
        }
        return inherited
    }

    private fun nothingInherited(job: RunningJob) = InheritedPriority(job.spec.priority, emptyList())

    private fun merge(
        known: InheritedPriority,
        priority: Priority,
        deadlines: List<Duration>,
    ): InheritedPriority =
        InheritedPriority(
            minOf(known.priority, priority),
            (known.deadlines + deadlines).distinct().sorted().take(MAX_DEADLINES),
        )

    private companion object {
        /** Bounds the memory; an outcome that was dropped is read again when a job depends on it. */
        const val MAX_OUTCOMES = 4_000

        /** A job's position goes by its earliest deadlines, and long chains would collect very many. */
        const val MAX_DEADLINES = 4
    }
}
