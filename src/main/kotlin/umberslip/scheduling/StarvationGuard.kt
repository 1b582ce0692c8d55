package umberslip.scheduling

import java.util.TreeSet
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Gives a share of the dispatched processors to the jobs that wait longest, whatever their priority and team; the
 * longer they wait, the larger it is. Under a lasting overload the order of priority alone would leave some of them
 * waiting for ever; so every job is reached in bounded time. While nobody has waited long, priority decides alone.
 * Pure: time is an input.
 */
class StarvationGuard {
    /** Jobs with tasks to place, the longest waiting first. */
    private val queue = TreeSet(compareBy<RunningJob>({ it.runnableSince }, { it.spec.id.value }))

    /** Processors that starving jobs may still be given out of turn. */
    private var creditCpus = 0.0

    /** Puts the job into the queue, or takes it out, by whether it has tasks to place. */
    fun refresh(job: RunningJob) {
        if (job.waiting > 0) queue.add(job) else queue.remove(job)
    }

    /** The job has ended. */
    fun remove(job: RunningJob) {
        queue.remove(job)
    }

    /** The longest starving job that [mayPlace] allows; null if it is not the turn of the starving jobs. */
    fun next(
        now: Duration,
        mayPlace: (RunningJob) -> Boolean,
    ): RunningJob? {
        if (creditCpus <= 0) return null
        return queue
            .asSequence()
            .takeWhile { now - it.runnableSince >= STARVING_AFTER }
            .firstOrNull { !it.isQuarantined && mayPlace(it) }
    }

    /** A task of [job] was placed; [outOfTurn] if that was as the longest starving job, not by its priority. */
    fun dispatched(
        job: RunningJob,
        outOfTurn: Boolean,
        now: Duration,
    ) {
        val cpus = job.resources.cpus
        val first = queue.firstOrNull { !it.isQuarantined }
        val share = if (first == null) 0.0 else shareAfter(now - first.runnableSince)
        if (share <= 0) {
            creditCpus = 0.0
            return
        }
        val charged = if (outOfTurn) cpus else 0.0
        creditCpus = (creditCpus + cpus * share - charged).coerceIn(-MAX_CREDIT_CPUS, MAX_CREDIT_CPUS)
    }

    /** The starving jobs' share of all dispatched processors, by how long the first of them has waited. */
    private fun shareAfter(waited: Duration): Double {
        if (waited < STARVING_AFTER) return 0.0
        val progress = (waited - STARVING_AFTER) / (LARGEST_SHARE_AFTER - STARVING_AFTER)
        return minOf(LARGEST_SHARE, FIRST_SHARE + (LARGEST_SHARE - FIRST_SHARE) * progress)
    }

    private companion object {
        const val FIRST_SHARE = 0.2

        /** What is left keeps work of high priority moving. */
        const val LARGEST_SHARE = 0.8

        /** Bounds how much one side makes up for after it had nothing to place. */
        const val MAX_CREDIT_CPUS = 32.0
        val STARVING_AFTER = 90.seconds
        val LARGEST_SHARE_AFTER = 180.seconds
    }
}
