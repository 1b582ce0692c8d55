package umberslip.scheduling

import org.slf4j.LoggerFactory
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Reserves a machine for the blocked job at the head of a team's queue. Otherwise small tasks would fill every gap
 * before it is large enough for a task of the job. The least used machine that is large enough is reserved, until a
 * task of the job is placed there or the reservation is no longer useful. A team has at most one such reservation at a
 * time. Pure: time is an input.
 */
internal class MachineReservations(
    private val scheduler: SchedulerState,
) {
    private val log = LoggerFactory.getLogger("umberslip.scheduling")

    /** Ends the team's reservations that are no longer useful, and makes one if none is left and a job needs it. */
    fun update(
        team: Dispatcher,
        now: Duration,
    ) {
        val reserved = scheduler.machines.values.filter { isHeadReservation(it.reservation, team) }
        val (useful, useless) = reserved.partition { isUseful(it, team, now) }
        for (machine in useless) {
            machine.endReservation("no longer useful", now)
            team.restartHeadTimer(now)
        }
        if (useful.isNotEmpty()) return
        // Only the head of the queue can be waiting for a large enough gap; the jobs behind it wait for their turn.
        val job = team.headBlockedSince(now - RESERVE_AFTER, now) ?: return
        val machine =
            scheduler.machines.values
                .filter { it.reservation == null && it.mayBeReservedFor(job) }
                .filter { it.capacity?.covers(job.resources) == true }
                .minByOrNull { it.used.cpus } ?: return
        machine.reserve(Reservation(job, now))
        log.info(
            "machine reserved for a starving job: machine={} job={} waited_at_least={}",
            machine.name.value,
            job.spec.id.value,
            RESERVE_AFTER,
        )
    }

    /** Whether the reservation was made here for [team]. Those of [LargeTaskReservations] yield to urgent work. */
    private fun isHeadReservation(
        reservation: Reservation?,
        team: Dispatcher,
    ): Boolean = reservation != null && !reservation.yieldsToUrgent && reservation.job.spec.team == team.team.name

    /**
     * Whether the job can still use its reservation. By now the team's limit, the job's zone or a failure may prevent
     * that, and other jobs should not wait for such a reservation.
     */
    private fun isUseful(
        machine: Machine,
        team: Dispatcher,
        now: Duration,
    ): Boolean {
        val reservation = machine.reservation ?: return false
        val job = reservation.job
        if (now - reservation.since >= RESERVATION_TIMEOUT) return false
        if (job.waiting == 0 || job.isQuarantined || scheduler.jobs[job.spec.id] !== job) return false
        return machine.mayBeReservedFor(job) && team.quota.isWithinLimit(job.resources)
    }

    private companion object {
        /** How long the head of the queue waits for a large enough gap before a machine is reserved for it. */
        val RESERVE_AFTER = 30.seconds

        /** Bounds how long other jobs are kept off the machine by a reservation that never becomes usable. */
        val RESERVATION_TIMEOUT = 60.seconds
    }
}
