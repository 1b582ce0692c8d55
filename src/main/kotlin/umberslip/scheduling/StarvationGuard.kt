package umberslip.scheduling

import java.util.TreeSet
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Gives a share of the processors dispatched to the jobs that wait longest, whatever their priority and team, and the
 * longer they wait the larger it is. Under a lasting overload the order of priority alone would leave some of them
 * waiting for ever; so every job is reached in bounded time. While nobody has waited long, priority decides alone.
 * Pure: time is an input.
 */
class StarvationGuard {
    private val queue = TreeSet(compareBy<RunningJob>({ it.runnableSince }, { it.spec.id.value }))

    /** Processors that the starving jobs may still be dispatched out of turn. */
    private var credit = 0.0

    fun refresh(job: RunningJob) {
        if (job.waiting > 0) queue.add(job) else queue.remove(job)
    }

    fun remove(job: RunningJob) {
        queue.remove(job)
    }

    /**
     * The job whose turn it is as the longest waiting of those that [may] be placed; null where the turn is another's.
     */
    fun next(
        now: Duration,
        may: (RunningJob) -> Boolean,
    ): RunningJob? {
        if (credit <= 0) return null
        return queue
            .asSequence()
            .takeWhile { now - it.runnableSince >= LONG }
            .firstOrNull { !it.isQuarantined && may(it) }
    }

    /** A task was placed; [turn] says that it was placed as the longest waiting one, not by its priority. */
    fun dispatched(
        job: RunningJob,
        turn: Boolean,
        now: Duration,
    ) {
        val cost = job.resources.cpus
        val first = queue.firstOrNull { !it.isQuarantined }
        val waited = if (first == null) Duration.ZERO else now - first.runnableSince
        val share = share(waited)
        credit = if (share <= 0) 0.0 else (credit + cost * share - if (turn) cost else 0.0).coerceIn(-BOUND, BOUND)
    }

    /** What of all dispatching goes to the longest waiting, by how long the first of them has waited. */
    private fun share(waited: Duration): Double =
        if (waited < LONG) {
            0.0
        } else {
            minOf(MOST, LEAST + (MOST - LEAST) * ((waited - LONG) / (TOO_LONG - LONG)))
        }

    private companion object {
        const val LEAST = 0.2
        const val MOST = 0.8
        const val BOUND = 32.0
        val LONG = 90.seconds
        val TOO_LONG = 180.seconds
    }
}
