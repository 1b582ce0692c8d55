package umberslip.dispatch

import java.util.TreeSet
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** What a starving job gets of a machine. */
sealed interface StarvationTurn {
    val job: RunningJob

    /** A task of it is placed. */
    data class Place(
        override val job: RunningJob,
    ) : StarvationTurn

    /** Its tasks are larger than the free room, which is kept for it and grows as other tasks end. */
    data class Reserve(
        override val job: RunningJob,
    ) : StarvationTurn
}

/**
 * Gives a share of the processors dealt to the jobs that wait longest, whatever their urgency and team, and the longer
 * they wait the larger it is. Under a lasting overload the order of urgency alone would leave some of them waiting for
 * ever; so every job is reached in bounded time. While nobody has waited long, urgency decides alone. Pure.
 */
class StarvationGuard {
    private val queue = TreeSet(compareBy<RunningJob>({ it.cameAt }, { it.spec.id.value }))
    private var credit = 0.0

    fun refresh(job: RunningJob) {
        if (job.waiting > 0) queue.add(job) else queue.remove(job)
    }

    fun remove(job: RunningJob) {
        queue.remove(job)
    }

    /** The longest waiting job that a machine can serve; null where the turn is not the starving jobs'. */
    fun next(
        now: Duration,
        mayPlace: (RunningJob) -> Boolean,
        mayReserve: (RunningJob) -> Boolean,
    ): StarvationTurn? {
        if (credit <= 0) return null
        for (job in queue) {
            if (!isStarving(job, now)) return null
            if (job.isDoubtful) continue
            if (mayPlace(job)) return StarvationTurn.Place(job)
            if (mayReserve(job)) return StarvationTurn.Reserve(job)
        }
        return null
    }

    /** A task was placed; [charged] where it was on the starving jobs' account. */
    fun dealt(
        job: RunningJob,
        charged: Boolean,
        now: Duration,
    ) {
        val first = queue.firstOrNull { !it.isDoubtful }
        val share = if (first == null) 0.0 else share(now - first.cameAt)
        val cost = job.room.cpus
        if (share <= 0) {
            credit = 0.0
            return
        }
        val spent = if (charged) cost else 0.0
        credit = (credit + cost * share - spent).coerceIn(-BOUND, BOUND)
    }

    /** A machine is kept for the job; the task that is placed there later costs no more. */
    fun reserved(job: RunningJob) {
        credit = (credit - job.room.cpus).coerceAtLeast(-BOUND)
    }

    private fun isStarving(
        job: RunningJob,
        now: Duration,
    ) = now - job.cameAt >= LONG

    /** What of all dealing goes to the longest waiting, by how long the first of them has waited. */
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
