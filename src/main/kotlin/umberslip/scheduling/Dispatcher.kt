package umberslip.scheduling

import umberslip.core.Priority
import umberslip.core.Resources
import umberslip.core.Shape
import umberslip.settings.TeamSettings
import java.util.TreeSet
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * A team's dispatcher: orders its waiting jobs and decides which of them a machine gets next. The leader has one for
 * each team. Used on the leader actor's thread only.
 */
class Dispatcher(
    val team: TeamSettings,
    /** Images with which a task of any team was placed on some machine; grows as tasks are placed. */
    private val cachedImages: Set<String> = emptySet(),
) {
    val quota = TeamQuota(team)

    /** Jobs with tasks to place, in order; others are not looked at for every heartbeat. */
    private val queue = TreeSet(QUEUE_ORDER)
    val waiting: Collection<RunningJob> get() = queue

    /** The running credit of the smooth weighted round-robin, in processors. */
    var credit = 0.0

    /** How often a job was considered for a machine's free resources: the work that heartbeats cost. */
    var jobsConsidered = 0L
        private set

    /** No waiting task takes less of any resource; null until it is computed again. */
    private var smallestRequest: Resources? = null

    private var firstInOrder: RunningJob? = null
    private var firstInOrderSince: Duration = Duration.ZERO

    /** Puts the job into the queue, or takes it out, by whether it has tasks to place. */
    fun refresh(job: RunningJob) {
        val isChanged = if (job.waiting > 0) queue.add(job) else queue.remove(job)
        if (isChanged) smallestRequest = null
    }

    /** The job has ended. */
    fun remove(job: RunningJob) {
        if (queue.remove(job)) smallestRequest = null
    }

    /** Changes something that the job's position in the queue depends on. */
    fun reinsert(
        job: RunningJob,
        change: () -> Unit,
    ) {
        val isQueued = queue.remove(job)
        change()
        if (isQueued) queue.add(job)
    }

    /** Moves jobs in the queue whose next deadline has become unreachable with time. */
    fun reorder(now: Duration) {
        for (job in queue.filter { it.nextReachableDeadline != it.nextReachableDeadlineAt(now) }) {
            reinsert(job) { job.nextReachableDeadline = job.nextReachableDeadlineAt(now) }
        }
    }

    /** The job that would be placed first, if it has been so without a placement since before [since]; else null. */
    fun blockedHeadSince(
        since: Duration,
        now: Duration,
    ): RunningJob? {
        val first = queue.firstOrNull { isPlaceableWithResources(it, now) }
        if (first !== firstInOrder) {
            firstInOrder = first
            firstInOrderSince = now
        }
        return first?.takeIf { firstInOrderSince < since && it.lastPlaced < since }
    }

    private fun isPlaceableWithResources(
        job: RunningJob,
        now: Duration,
    ): Boolean =
        job.spec.shape != Shape.GANG &&
            !job.isQuarantined &&
            job.retryAfter <= now &&
            quota.isWithinLimit(job.resources)

    /** The first in order has had its chance; it counts as blocked only after as long again. */
    fun restartHeadTimer(now: Duration) {
        firstInOrderSince = now
    }

    /**
     * The first job, in order, that may be placed on [free]; but while that one has time, rather the first of its
     * priority whose image the machine has. Resources allocated to a task that waits for a fetch do nothing, and under
     * load every machine would fetch every image for one or two tasks at a time.
     */
    fun nextJob(free: FreeCapacity): RunningJob? {
        if (queue.isEmpty()) return null
        // Most heartbeats come from machines that are full; they must not cost a look at every waiting job.
        if (!free.resources.covers(smallestRequest())) return null
        val images = free.machine.images
        var first: RunningJob? = null
        for (job in queue) {
            if (first != null && job.priority != first.priority) break
            jobsConsidered++
            val hasImage = job.spec.image in images
            if ((first != null && !hasImage) || !mayPlace(job, free)) continue
            if (hasImage || !mayWaitForImage(job, free.now)) return job
            first = job
        }
        return first
    }

    private fun smallestRequest(): Resources =
        smallestRequest
            ?: Resources(
                queue.minOf { it.resources.cpus },
                queue.minOf { it.resources.gpus },
                queue.minOf { it.resources.memoryGb },
            ).also { smallestRequest = it }

    /** Its deadline leaves time to wait for a machine with its image, and others did not go first for long. */
    private fun mayWaitForImage(
        job: RunningJob,
        now: Duration,
    ): Boolean =
        now - job.lastPlaced < MAX_PASSED_OVER &&
            job.nextReachableDeadline - now - job.expectedRunTime > MIN_SLACK_TO_WAIT

    /** Whether a task of this team's [job] may be placed on [free] now. */
    fun mayPlace(
        job: RunningJob,
        free: FreeCapacity,
    ): Boolean {
        val machine = free.machine
        if (!fits(job, free) || !mayStartNow(job, free.now)) return false
        if (!job.mayRunOn(machine) || !quota.isWithinLimit(job.resources) || job.nextTask() == null) return false
        if (job.spec.image !in machine.images && shouldWaitForImage(job, machine, free.now)) return false
        return !hasFailedRecently(job, machine, free.now)
    }

    private fun fits(
        job: RunningJob,
        free: FreeCapacity,
    ): Boolean {
        if (!free.resources.covers(job.resources)) return false
        if (free.machine.reservation?.admits(job, quota) == false) return false
        return free.machine.fitsInHeartbeat(job.spec) && endsBeforeTermination(job, free)
    }

    /** Whether the job itself allows another task, wherever that is placed. */
    private fun mayStartNow(
        job: RunningJob,
        now: Duration,
    ): Boolean {
        if (job.retryAfter > now) return false
        if (job.isQuarantined && job.assigned.isNotEmpty()) return false
        return job.spec.shape != Shape.GANG || mayAssemble(job, now)
    }

    /**
     * On a draining machine only what ends while it stays anyway, without a fetch, is placed. But the provisioning plan
     * may count on a machine that cannot take the job just now; a job does not wait for ever beside one that can.
     */
    private fun endsBeforeTermination(
        job: RunningJob,
        free: FreeCapacity,
    ): Boolean {
        if (free.availableFor.isInfinite() || free.now - job.lastPlaced >= MAX_WAIT_BESIDE_DRAINING) return true
        return job.expectedRunTime <= free.availableFor && job.spec.image in free.machine.images
    }

    /** Whether another machine is likely to start the job sooner than this one, which does not have its image. */
    private fun shouldWaitForImage(
        job: RunningJob,
        machine: Machine,
        now: Duration,
    ): Boolean {
        if (isBusyFetching(machine, job)) return true
        // A fetch takes longer than until the next machine that has the image is free.
        return now - job.waitingSince < IMAGE_WAIT && job.spec.image in cachedImages
    }

    /**
     * Long fetches share the machine's bandwidth or wait for one another: resources that would wait for the second are
     * better left to what need not. Urgent work is started wherever it can be.
     */
    private fun isBusyFetching(
        machine: Machine,
        job: RunningJob,
    ): Boolean =
        machine.images.fetchCount > 0 &&
            job.priority > Priority.HIGH &&
            machine.reservedFor !== job &&
            machine.fetchSeconds(job.spec) >= LONG_FETCH_SECONDS

    /**
     * One gang at a time is assembled, and none while tasks of its former attempt are still on machines: they have
     * another attempt number.
     */
    private fun mayAssemble(
        job: RunningJob,
        now: Duration,
    ): Boolean {
        if (job.nextAssemblyAt > now) return false
        if (job.assigned.values.any { !it.reserved }) return false
        return queue.none { it !== job && it.assemblingSince != null }
    }

    private fun hasFailedRecently(
        job: RunningJob,
        machine: Machine,
        now: Duration,
    ): Boolean {
        val failures = machine.failures[job.spec.id] ?: return false
        return now - failures.last < FAILURE_AVOIDANCE
    }

    private companion object {
        val QUEUE_ORDER = compareBy<RunningJob>({ it.priority }, { it.nextReachableDeadline }, { it.spec.id.value })

        /** A machine that failed a job's task gets no more of that job for so long; others have time to try it. */
        val FAILURE_AVOIDANCE = 20.seconds

        /** What found no machine for so long goes to draining ones, too. */
        val MAX_WAIT_BESIDE_DRAINING = 60.seconds

        /** With less time than this left until its deadline, a job waits for no image. */
        val MIN_SLACK_TO_WAIT = 20.seconds

        /** A job waits for no image either once others went first for so long. */
        val MAX_PASSED_OVER = 8.seconds

        /** A shorter fetch ends before the machine's heartbeats show it. */
        const val LONG_FETCH_SECONDS = 4.0

        /** New work waits for a machine that has its image for this long. */
        val IMAGE_WAIT = 1500.milliseconds
    }
}
