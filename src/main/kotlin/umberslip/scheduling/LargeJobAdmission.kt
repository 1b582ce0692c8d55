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
 * Decides which starving jobs with large tasks machines are reserved for.
 *
 * That is as late as a job can still begin within [BEGIN_WITHIN], since most begin in time by their order. And it is
 * only a job that fits, as a whole, into its team's [FairShare]: keeping room for more would take it from guaranteed
 * work, from other teams and from their work of higher priority; and such a job can't begin with all its tasks in any
 * case, since the share never holds them together. Pure: time is an input.
 */
internal class LargeJobAdmission(
    private val scheduler: SchedulerState,
) {
    /** What keeps each starving job with large tasks back, the longest runnable first. */
    fun waits(
        usable: List<Machine>,
        maxReservations: Int,
        now: Duration,
    ): Map<RunningJob, LargeJobWait> {
        val large = largeJobs(usable)
        val (starving, others) = large.partition { isStarving(it, now) }
        if (starving.isEmpty()) return emptyMap()
        val claimedCpus = HashMap<String, Double>()
        for (job in others.filter { it.waiting == 0 }) claimedCpus.merge(job.spec.team, wantedCpus(job), Double::plus)
        val fairShares = HashMap<Priority, FairShare>()
        val waits = LinkedHashMap<RunningJob, LargeJobWait>()
        var tasksBefore = 0
        for (job in starving) {
            val team = scheduler.teams[job.spec.team] ?: continue
            val claimed = (claimedCpus[job.spec.team] ?: 0.0) + wantedCpus(job)
            val fairShare = fairShares.getOrPut(job.priority) { FairShare(scheduler, job.priority) }
            val obstacle = obstacle(job, team, claimed <= fairShare.cpusOf(team), now)
            if (obstacle == null) {
                claimedCpus[job.spec.team] = claimed
                tasksBefore += job.waiting
            }
            val isDue = isDue(job, tasksBefore, maxReservations, now)
            waits[job] = obstacle ?: if (isDue) WAITS_FOR_RESERVATION else TIME_LEFT
        }
        return waits
    }

    /** Jobs whose tasks need as much as several of those that run now, the longest runnable first. */
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

    private fun wantedCpus(job: RunningJob): Double = (job.waiting + job.assigned.size) * job.resources.cpus

    /** What keeps the job back whether or not machines are reserved; null if nothing does. */
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

    /** Whether [tasks], its own and those of the jobs before it, need all the time that it has left to begin. */
    private fun isDue(
        job: RunningJob,
        tasks: Int,
        maxReservations: Int,
        now: Duration,
    ): Boolean {
        val rounds = (tasks + maxReservations - 1) / maxReservations
        return now >= job.runnableSince + BEGIN_WITHIN - EXPECTED_CLEARING * (rounds + SPARE_ROUNDS)
    }

    companion object {
        /** A reservation that takes longer met tasks that run too long; room further away is not waited for. */
        val RESERVATION_TIMEOUT = 60.seconds

        /** How long a reservation is expected to last: half of the longest that is waited for. */
        private val EXPECTED_CLEARING = RESERVATION_TIMEOUT / 2

        /** For reservations that time out, machines that are lost, and the start itself. */
        private const val SPARE_ROUNDS = 1

        /** The users' aim for the largest jobs. */
        private val BEGIN_WITHIN = 4.minutes

        /** From then on it is logged what a job waits for, and machines may be reserved. */
        private val STARVING_AFTER = 90.seconds

        /** A task that takes as much as so many others needs several of them to end before it finds room. */
        private const val LARGE_FACTOR = 2.0
    }
}
