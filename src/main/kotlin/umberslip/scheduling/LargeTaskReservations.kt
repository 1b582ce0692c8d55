package umberslip.scheduling

import org.slf4j.LoggerFactory
import umberslip.core.JobId
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Reserves machines for the starving jobs with large tasks that [LargeJobAdmission] admits. Without reservations, small
 * tasks would fill every gap before it is large enough, and the share of [StarvationGuard] does not help a job whose
 * tasks fit nowhere. Each reservation holds the machine that is expected to have room soonest for one task. Urgent and
 * guaranteed work may still use that machine. Pure: time is an input.
 */
internal class LargeTaskReservations(
    private val scheduler: SchedulerState,
) {
    private val log = LoggerFactory.getLogger("umberslip.scheduling")
    private val admission = LargeJobAdmission(scheduler)
    private val waitLog = LargeJobWaitLog()
    private var lastRun: Duration? = null

    /** The position at which the next search for machines starts, since each search considers a bounded number. */
    private var nextMachine = 0

    /** Ends and makes reservations. Does nothing if the last run was less than [INTERVAL] ago. */
    fun update(now: Duration) {
        if (lastRun?.let { now - it < INTERVAL } == true) return
        lastRun = now
        val usable = scheduler.machines.values.filter { it.isUsable }
        val maxReservations = maxOf(1, (usable.size * MAX_RESERVED_SHARE).toInt())
        val waits = admission.waitReasons(usable, maxReservations, now)
        waitLog.update(waits, now)
        val admitted = waits.filterValues { it == LargeJobWait.WAITS_FOR_RESERVATION }.keys
        endReservations(admitted, now)
        reserve(admitted, usable, maxReservations, now)
    }

    private fun endReservations(
        admitted: Set<RunningJob>,
        now: Duration,
    ) {
        val reservedCounts = HashMap<JobId, Int>()
        for (machine in scheduler.machines.values) {
            val reservation = machine.reservation?.takeIf { it.yieldsToUrgent } ?: continue
            val job = reservation.job.spec.id
            val reason = reasonToEnd(machine, reservation, admitted, reservedCounts[job] ?: 0, now)
            if (reason == null) reservedCounts.merge(job, 1, Int::plus) else machine.endReservation(reason, now)
        }
    }

    /**
     * Returns why the reservation of [machine] ends, or null if it is kept. [keptReservations] is the number of
     * reservations for the same job that are already known to be kept.
     */
    private fun reasonToEnd(
        machine: Machine,
        reservation: Reservation,
        admitted: Set<RunningJob>,
        keptReservations: Int,
        now: Duration,
    ): String? {
        val job = reservation.job
        return when {
            job !in admitted -> "job no longer waits for a reservation"
            keptReservations >= job.waiting -> "more reservations than waiting tasks"
            !machine.mayBeReservedFor(job) -> "machine unusable"
            now - reservation.since >= LargeJobAdmission.RESERVATION_TIMEOUT -> "timeout"
            else -> null
        }
    }

    private fun reserve(
        admitted: Set<RunningJob>,
        usable: List<Machine>,
        maxReservations: Int,
        now: Duration,
    ) {
        val reserved = usable.mapNotNull { it.reservation }.filter { it.yieldsToUrgent }
        val counts = reserved.groupingBy { it.job }.eachCount()
        var remaining = maxReservations - reserved.size
        var searches = 0
        for (job in admitted) {
            if (remaining <= 0 || searches >= MAX_SEARCHES) return
            val wanted = minOf(remaining, wantedReservations(job, counts))
            if (wanted <= 0) continue
            searches++
            val machines = soonestMachines(job, usable, wanted, now)
            machines.forEach { reserve(it, job, now) }
            remaining -= machines.size
        }
    }

    /**
     * Returns how many more machines to reserve for [job]: one for each waiting task without a reservation, as far as
     * the team's limit allows the tasks to start.
     */
    private fun wantedReservations(
        job: RunningJob,
        reservationCounts: Map<RunningJob, Int>,
    ): Int {
        val quota = scheduler.teams[job.spec.team]?.quota ?: return 0
        val wanted = job.waiting - (reservationCounts[job] ?: 0)
        val maxCpus = quota.maxCpus ?: return wanted
        val reservedOfTeam = reservationCounts.filterKeys { it.spec.team == job.spec.team }
        val reservedCpus = reservedOfTeam.entries.sumOf { (other, count) -> other.resources.cpus * count }
        val freeCpus = maxCpus - quota.usedCpus - reservedCpus
        return minOf(wanted, (freeCpus / job.resources.cpus.coerceAtLeast(MIN_CPUS)).toInt())
    }

    /**
     * Returns up to [wanted] machines that are expected to have room for a task of [job] soonest, out of the next
     * [MAX_MACHINES_CONSIDERED] machines.
     */
    private fun soonestMachines(
        job: RunningJob,
        usable: List<Machine>,
        wanted: Int,
        now: Duration,
    ): List<Machine> {
        val start = nextMachine % usable.size
        val considered = (usable.drop(start) + usable.take(start)).take(MAX_MACHINES_CONSIDERED)
        nextMachine = start + considered.size
        return considered
            .filter { it.reservation == null && it.mayBeReservedFor(job) }
            .mapNotNull { machine -> machine.timeUntilFree(job.resources, now)?.let { machine to it } }
            .filter { (_, timeUntilFree) -> timeUntilFree <= LargeJobAdmission.RESERVATION_TIMEOUT }
            .sortedBy { (_, timeUntilFree) -> timeUntilFree }
            .take(wanted)
            .map { (machine, _) -> machine }
    }

    private fun reserve(
        machine: Machine,
        job: RunningJob,
        now: Duration,
    ) {
        machine.reserve(Reservation(job, now, yieldsToUrgent = true))
        log.info("machine reserved for a large task: machine={} job={}", machine.name.value, job.spec.id.value)
    }

    private companion object {
        val INTERVAL = 1.seconds

        /**
         * The largest share of the usable machines that is reserved for large tasks, except that one machine always may
         * be. The others take any work, so that no other job has to wait until all reservations end.
         */
        const val MAX_RESERVED_SHARE = 0.25

        /** Bounds the work of one run, with [MAX_MACHINES_CONSIDERED]; the next run continues with the rest. */
        const val MAX_SEARCHES = 4
        const val MAX_MACHINES_CONSIDERED = 200
        const val MIN_CPUS = 0.1
    }
}
