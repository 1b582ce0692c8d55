package umberslip.scheduling

import umberslip.core.JobId
import umberslip.core.Priority
import umberslip.records.JobOutcome
import kotlin.time.Duration

/** What a job takes over from those that need it. */
data class InheritedPriority(
    val priority: Priority,
    val deadlines: List<Duration>,
)

/**
 * Which jobs wait for which. A needed job counts as done only by its recorded end: as this leader wrote it
 * in its term, or as it read it. Pure; [jobs] are the unfinished ones.
 */
class DependencyGraph(
    private val jobs: Map<JobId, RunningJob>,
) {
    /** Those that wait, by what they wait for. */
    private val needing = HashMap<JobId, LinkedHashSet<RunningJob>>()
    private val ends =
        object : LinkedHashMap<JobId, JobOutcome>() {
            override fun removeEldestEntry(eldest: Map.Entry<JobId, JobOutcome>) = size > MAX_ENDS
        }
    private val unreadEnds = LinkedHashSet<JobId>()

    /** Needed jobs that are over, or not known: how they ended is to be read. */
    val unread: Set<JobId> get() = unreadEnds
    private var changed = false
    private var ranked: Map<RunningJob, InheritedPriority> = emptyMap()

    /** A job came, in any order with those that it needs; answered with all that are cancelled by that. */
    fun added(job: RunningJob): List<RunningJob> {
        val id = job.spec.id
        unreadEnds -= id
        for (needed in job.spec.dependencies) {
            when (ends[needed]) {
                JobOutcome.DONE -> Unit
                JobOutcome.CANCELLED -> job.dependencyCancelled = true
                null -> {
                    needing.getOrPut(needed) { LinkedHashSet() } += job
                    job.pending += needed
                    val known = jobs[needed]
                    if (known == null) {
                        unreadEnds += needed
                    } else if (known.cancelled || known.dependencyCancelled) {
                        job.dependencyCancelled = true
                    }
                }
            }
        }
        if (job.spec.dependencies.isNotEmpty() || id in needing) changed = true
        return if (job.cancelled || job.dependencyCancelled) cancelDependents(job) else emptyList()
    }

    /** Its user called it off: so are all that need it, directly or through others. */
    fun cancelDependents(job: RunningJob): List<RunningJob> {
        val all = ArrayList<RunningJob>()
        val open = ArrayDeque(listOf(job))
        while (open.isNotEmpty()) {
            for (next in needing[open.removeLast().spec.id].orEmpty()) {
                if (next.dependencyCancelled) continue
                next.dependencyCancelled = true
                all += next
                open += next
            }
        }
        if (all.isNotEmpty() || job.pending.isNotEmpty()) changed = true
        return all
    }

    /** The recorded end of a job is known; answered with those for which that changes something. */
    fun ended(
        id: JobId,
        end: JobOutcome,
    ): List<RunningJob> {
        unreadEnds -= id
        ends[id] = end
        val waiting = needing.remove(id) ?: return emptyList()
        changed = true
        waiting.forEach { it.pending -= id }
        if (end == JobOutcome.DONE) return waiting.filter { !it.isBlocked }
        return waiting.filter { !it.dependencyCancelled }.flatMap { job ->
            job.dependencyCancelled = true
            cancelDependents(job) + job
        }
    }

    /** It is no longer among the unfinished jobs; how it ended may be told later. */
    fun removed(job: RunningJob) {
        val id = job.spec.id
        for (needed in job.pending) {
            val waiting = needing[needed] ?: continue
            waiting -= job
            if (waiting.isEmpty()) {
                needing -= needed
                unreadEnds -= needed
            }
        }
        if (job.pending.isNotEmpty()) changed = true
        if (id in needing) unreadEnds += id
    }

    /**
     * Urgency and deadlines flow backwards, a deadline less the run times between. Answered with the jobs
     * whose rank is another than before; worked out only when the graph has changed.
     */
    fun inheritPriorities(): Map<RunningJob, InheritedPriority> {
        if (!changed) return emptyMap()
        changed = false
        val now = HashMap<RunningJob, InheritedPriority>()

        fun of(job: RunningJob) = now[job] ?: InheritedPriority(job.spec.priority, emptyList())
        val open = ArrayDeque(needing.values.flatten())
        while (open.isNotEmpty()) {
            val job = open.removeFirst()
            if (job.dependencyCancelled || job.cancelled) continue
            val rank = of(job)
            val deadlines = (job.deadlines + rank.deadlines).map { it - job.expectedRunTime }
            for (needed in job.pending) {
                val other = jobs[needed] ?: continue
                val known = of(other)
                val merged =
                    InheritedPriority(
                        minOf(known.priority, rank.priority),
                        (known.deadlines + deadlines).distinct().sorted().take(MAX_DEADLINES),
                    )
                if (merged == known) continue
                now[other] = merged
                open.addLast(other)
            }
        }
        val before = ranked
        ranked = now
        return (before.keys + now.keys).filter { jobs[it.spec.id] === it && before[it] != now[it] }.associateWith(::of)
    }

    private companion object {
        const val MAX_ENDS = 4_000

        /** The earliest are what its place goes by. */
        const val MAX_DEADLINES = 4
    }
}
