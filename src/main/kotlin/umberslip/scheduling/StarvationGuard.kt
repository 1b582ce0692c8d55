package umberslip.scheduling

import java.util.TreeSet
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Gives a share of the dispatched processors to the jobs that have waited longest, whatever their priority and team.
 * The share grows with the wait. Under a lasting overload, some jobs would wait indefinitely if priority alone decided;
 * with the share, every job gets its turn in bounded time. Priority decides alone while no job has waited long.
 * Pure: time is an input.
 */
class StarvationGuard {
    /** Jobs with tasks to place, the longest waiting first. */
    private val queue = TreeSet(compareBy<RunningJob>({ it.runnableSince }, { it.spec.id.value }))

    /** How many processors starving jobs may still get out of turn; negative if they got more than their share. */
    private var creditCpus = 0.0

    /** Adds the job to the queue if it has tasks to place; otherwise removes it. */
    fun refresh(job: RunningJob) {
        if (job.waiting > 0) queue.add(job) else queue.remove(job)
    }

    /** Removes a job that has ended. */
    fun remove(job: RunningJob) {
        queue.remove(job)
    }

    /**
     * Returns the longest waiting of the starving jobs that [mayPlace] allows; null if there is none, or if it is not
     * the turn of the starving jobs.
     */
    fun nextJob(
        now: Duration,
        mayPlace: (RunningJob) -> Boolean,
    ): RunningJob? {
        if (creditCpus <= 0) return null
        return queue
            .asSequence()
            .takeWhile { now - it.runnableSince >= STARVING_AFTER }
            .firstOrNull { !it.isQuarantined && mayPlace(it) }
    }

    /**
     * Updates the credit after a task of [job] was placed. [outOfTurn] is true if the job was selected because it was
     * starving, not by its priority.
     */
    fun recordDispatch(
        job: RunningJob,
        outOfTurn: Boolean,
        now: Duration,
    ) {
        val cpus = job.resources.cpus
        val longestWaiting = queue.firstOrNull { !it.isQuarantined }
        val share = if (longestWaiting == null) 0.0 else shareAfter(now - longestWaiting.runnableSince)
        if (share <= 0) {
            creditCpus = 0.0
            return
        }
        val charged = if (outOfTurn) cpus else 0.0
        creditCpus = (creditCpus + cpus * share - charged).coerceIn(-MAX_CREDIT_CPUS, MAX_CREDIT_CPUS)
    }

    /** Returns the starving jobs' share of all dispatched processors, given the longest wait among them. */
    private fun shareAfter(waited: Duration): Double {
        if (waited < STARVING_AFTER) return 0.0
        val progress = (waited - STARVING_AFTER) / (MAX_SHARE_AFTER - STARVING_AFTER)
        return minOf(MAX_SHARE, INITIAL_SHARE + (MAX_SHARE - INITIAL_SHARE) * progress)
    }

    private companion object {
        const val INITIAL_SHARE = 0.2

        /** The rest of the processors remains for dispatch by priority, so that work of high priority progresses. */
        const val MAX_SHARE = 0.8

        /** Bounds how much starving jobs, or all others, catch up after a time in which they had nothing to place. */
        const val MAX_CREDIT_CPUS = 32.0
        val STARVING_AFTER = 90.seconds
        val MAX_SHARE_AFTER = 180.seconds
    }
}
