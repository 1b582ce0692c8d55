package umberslip.scheduling

import org.slf4j.LoggerFactory
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Reserves a machine for a team's starving job: small tasks would fill every gap for ever before a large one fits. The
 * job gets the least used machine that can hold its task, until a task is placed there or the reservation is of no use
 * any more. One reservation for each team at a time. Pure: time is an input.
 */
internal class MachineReservations(
    private val scheduler: SchedulerState,
) {
    private val log = LoggerFactory.getLogger("umberslip.scheduling")

    /** Ends reservations of the team that are of no use, and makes one if there is none and a job needs it. */
    fun update(
        team: Dispatcher,
        now: Duration,
    ) {
        val reserved = scheduler.machines.values.filter { isHeadReservation(it.reservation, team) }
        val (useful, useless) = reserved.partition { isUseful(it, team, now) }
        for (machine in useless) {
            machine.endReservation("of no use", now)
            team.restartHeadTimer(now)
        }
        if (useful.isNotEmpty()) return
        // Only the first in order can lack a large enough gap; the others wait for their turn.
        val job = team.blockedHeadSince(now - STARVING_AFTER, now) ?: return
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
            STARVING_AFTER,
        )
    }

    private fun isHeadReservation(
        reservation: Reservation?,
        team: Dispatcher,
    ): Boolean = reservation != null && !reservation.yieldsToUrgent && reservation.job.spec.team == team.team.name

    /** The team's limit, the job's zone or a failure may have come between; others should not wait for that. */
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
        /** How long the first job in order waits for a gap before a machine is reserved for it. */
        val STARVING_AFTER = 30.seconds

        /** Bounds what a reservation that never works out costs the others. */
        val RESERVATION_TIMEOUT = 60.seconds
    }
}
