package umberslip.scheduling

import umberslip.core.Priority
import umberslip.core.Resources
import umberslip.core.Shape
import umberslip.scheduling.LargeJobWait.TIME_LEFT
import umberslip.scheduling.LargeJobWait.WAITS_FOR_RESERVATION
import kotlin.time.Duration
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

/**
 * Decides for which starving jobs with large tasks machines are reserved, and when.
 *
 * Machines are reserved at the latest time at which the job can still start all its tasks within [START_WITHIN], since
 * most jobs start in time by their position in the queue. The job must also fit, as a whole, into its team's
 * [FairShare]. Reservations for a larger job would take resources from guaranteed work, from other teams and from their
 * work of higher priority.
 * Such a job cannot run all its tasks at the same time in any case, since together they exceed the share.
 * Pure: time is an input.
 */
internal class LargeJobAdmission(
    private val scheduler: SchedulerState,
) {
    /** Returns why each starving job with large tasks waits. The job that has been runnable longest comes first. */
    fun waitReasons(
        usable: List<Machine>,
        maxReservations: Int,
        now: Duration,
    ): Map<RunningJob, LargeJobWait> {
        val large = largeJobs(usable)
        val (starving, rest) = large.partition { isStarving(it, now) }
        if (starving.isEmpty()) return emptyMap()
        val claimedCpus = HashMap<String, Double>()
        for (job in rest.filter { it.waiting == 0 }) claimedCpus.merge(job.spec.team, requestedCpus(job), Double::plus)
        val fairShares = HashMap<Priority, FairShare>()
        val waits = LinkedHashMap<RunningJob, LargeJobWait>()
        var admittedTasks = 0
        for (job in starving) {
            val team = scheduler.teams[job.spec.team] ?: continue
            val claimed = (claimedCpus[job.spec.team] ?: 0.0) + requestedCpus(job)
            val fairShare = fairShares.getOrPut(job.priority) { FairShare(scheduler, job.priority) }
            val obstacle = obstacle(job, team, claimed <= fairShare.cpusOf(team), now)
            if (obstacle == null) {
                claimedCpus[job.spec.team] = claimed
                admittedTasks += job.waiting
            }
            val isDue = isDue(job, admittedTasks, maxReservations, now)
            waits[job] = obstacle ?: if (isDue) WAITS_FOR_RESERVATION else TIME_LEFT
        }
        return waits
    }

    /**
     * Returns the jobs, except gangs, whose tasks request at least [LARGE_FACTOR] times the mean of the tasks on usable
     * machines. The job that has been runnable longest comes first.
     */
    private fun largeJobs(usable: List<Machine>): List<RunningJob> {
        val meanRequest = meanRequest(usable) ?: return emptyList()
        return scheduler.jobs.values
            .filter { it.spec.shape != Shape.GANG && isLarge(it.resources, meanRequest) }
            .sortedWith(compareBy({ it.runnableSince }, { it.spec.id.value }))
    }

    private fun meanRequest(usable: List<Machine>): Resources? {
        val tasks = usable.sumOf { it.assignments.size }
        if (tasks == 0) return null
        return Resources(
            cpus = usable.sumOf { it.used.cpus } / tasks,
            gpus = usable.sumOf { it.used.gpus } / tasks,
            memoryGb = usable.sumOf { it.used.memoryGb } / tasks,
        )
    }

    private fun isLarge(
        request: Resources,
        meanRequest: Resources,
    ): Boolean =
        request.cpus >= meanRequest.cpus * LARGE_FACTOR ||
            request.memoryGb >= meanRequest.memoryGb * LARGE_FACTOR

    private fun isStarving(
        job: RunningJob,
        now: Duration,
    ): Boolean = job.waiting > 0 && now - job.runnableSince >= STARVING_AFTER

    private fun requestedCpus(job: RunningJob): Double = (job.waiting + job.assigned.size) * job.resources.cpus

    /** Returns what keeps the job from starting even if machines are reserved for it; null if nothing does. */
    private fun obstacle(
        job: RunningJob,
        team: Dispatcher,
        fitsFairShare: Boolean,
        now: Duration,
    ): LargeJobWait? =
        when {
            job.isQuarantined -> LargeJobWait.QUARANTINED
            job.retryAfter > now -> LargeJobWait.RETRY_DELAYED
            !team.quota.isWithinLimit(job.resources) -> LargeJobWait.TEAM_AT_LIMIT
            !fitsFairShare -> LargeJobWait.BEYOND_FAIR_SHARE
            else -> null
        }

    /**
     * Whether all the time that is left for the job to start is needed to free machines for [admittedTasks]: its own
     * tasks and those of the jobs admitted before it.
     */
    private fun isDue(
        job: RunningJob,
        admittedTasks: Int,
        maxReservations: Int,
        now: Duration,
    ): Boolean {
        val rounds = (admittedTasks + maxReservations - 1) / maxReservations
        return now >= job.runnableSince + START_WITHIN - EXPECTED_RESERVATION_TIME * (rounds + SPARE_ROUNDS)
    }

    companion object {
        /**
         * A reservation ends after this time, since tasks on its machine then run too long. Machines that are expected
         * to have room only after this time are not reserved.
         */
        val RESERVATION_TIMEOUT = 60.seconds

        /** How long a reservation is expected to last: half of its timeout. */
        private val EXPECTED_RESERVATION_TIME = RESERVATION_TIMEOUT / 2

        /** Extra time, in rounds, for reservations that time out, machines that are lost, and the start itself. */
        private const val SPARE_ROUNDS = 1

        /** The users' objective for the start of the largest jobs. */
        private val START_WITHIN = 4.minutes

        /** After this time, the reason why a job waits is logged and machines may be reserved for it. */
        private val STARVING_AFTER = 90.seconds

        /** A task of at least this many times the mean request fits only after several other tasks have ended. */
        private const val LARGE_FACTOR = 2.0
    }
}
