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
 * Orders the waiting jobs of one team and selects the job that a machine gets next. The leader has one dispatcher per
 * team. Used on the leader actor's thread only.
 */
class Dispatcher(
    val team: TeamSettings,
    /** The images of all tasks, of any team, that were placed on a machine. The set grows as tasks are placed. */
    private val cachedImages: Set<String> = emptySet(),
) {
    val quota = TeamQuota(team)

    /** Jobs with tasks to place, in dispatch order. Heartbeats do not iterate over any other jobs. */
    private val queue = TreeSet(QUEUE_ORDER)
    val waiting: Collection<RunningJob> get() = queue

    /** The running credit of the smooth weighted round-robin, in processors. */
    var credit = 0.0

    /** How often a job was checked against a machine's free resources; a measure of the cost of heartbeats. */
    var jobsConsidered = 0L
        private set

    /** For each resource, the smallest amount that a job in the queue requests per task; null until recomputed. */
    private var smallestRequest: Resources? = null

    private var head: RunningJob? = null
    private var headSince: Duration = Duration.ZERO

    /** Adds the job to the queue if it has tasks to place; otherwise removes it. */
    fun refresh(job: RunningJob) {
        val isChanged = if (job.waiting > 0) queue.add(job) else queue.remove(job)
        if (isChanged) smallestRequest = null
    }

    /** Removes a job that has ended. */
    fun remove(job: RunningJob) {
        if (queue.remove(job)) smallestRequest = null
    }

    /** Applies [change], which may alter the job's position in the queue, and keeps the queue in order. */
    fun reinsert(
        job: RunningJob,
        change: () -> Unit,
    ) {
        val isQueued = queue.remove(job)
        change()
        if (isQueued) queue.add(job)
    }

    /** Moves the jobs in the queue whose next reachable deadline has changed with time. */
    fun reorder(now: Duration) {
        for (job in queue.filter { it.nextReachableDeadline != it.nextReachableDeadlineAt(now) }) {
            reinsert(job) { job.nextReachableDeadline = job.nextReachableDeadlineAt(now) }
        }
    }

    /**
     * Returns the first job in the queue that needs only resources, if it is blocked: it became the first one before
     * [since], and none of its tasks has been placed since then. Otherwise returns null.
     */
    fun headBlockedSince(
        since: Duration,
        now: Duration,
    ): RunningJob? {
        val currentHead = queue.firstOrNull { needsOnlyResources(it, now) }
        if (currentHead !== head) {
            head = currentHead
            headSince = now
        }
        return currentHead?.takeIf { headSince < since && it.lastPlaced < since }
    }

    /** Whether only a lack of resources, or a constraint on the machine, can prevent the placement of a task. */
    private fun needsOnlyResources(
        job: RunningJob,
        now: Duration,
    ): Boolean =
        job.spec.shape != Shape.GANG &&
            !job.isQuarantined &&
            job.retryAfter <= now &&
            quota.isWithinLimit(job.resources)

    /** Restarts the wait after which the head of the queue counts as blocked; called when a reservation ends unused. */
    fun restartHeadTimer(now: Duration) {
        headSince = now
    }

    /**
     * Returns the first job in queue order that may be placed on [free], or null if there is none.
     *
     * If the machine lacks that job's image and the job has time to wait, the first job of the same priority whose
     * image the machine has takes precedence. Resources allocated to a task are idle until its image is fetched, and
     * under load every machine would otherwise fetch every image for one or two tasks at a time.
     */
    fun nextJob(free: FreeCapacity): RunningJob? {
        if (queue.isEmpty()) return null
        // Most heartbeats come from full machines; iterating over every waiting job for them would be too expensive.
        if (!free.resources.covers(smallestRequest())) return null
        val images = free.machine.images
        var firstWithoutImage: RunningJob? = null
        for (job in queue) {
            if (firstWithoutImage != null && job.priority != firstWithoutImage.priority) break
            jobsConsidered++
            val hasImage = job.spec.image in images
            if ((firstWithoutImage != null && !hasImage) || !mayPlace(job, free)) continue
            if (hasImage || !mayWaitForImage(job, free.now)) return job
            firstWithoutImage = job
        }
        return firstWithoutImage
    }

    private fun smallestRequest(): Resources =
        smallestRequest
            ?: Resources(
                queue.minOf { it.resources.cpus },
                queue.minOf { it.resources.gpus },
                queue.minOf { it.resources.memoryGb },
            ).also { smallestRequest = it }

    /** Whether the job's deadline leaves time to wait for a machine with its image, and it has not waited too long. */
    private fun mayWaitForImage(
        job: RunningJob,
        now: Duration,
    ): Boolean =
        now - job.lastPlaced < MAX_TIME_PASSED_OVER &&
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
        return free.machine.fitsInHeartbeat(job.spec) && isAllowedWhileDraining(job, free)
    }

    /** Whether the state of the job allows another task to start, on whichever machine. */
    private fun mayStartNow(
        job: RunningJob,
        now: Duration,
    ): Boolean {
        if (job.retryAfter > now) return false
        if (job.isQuarantined && job.assigned.isNotEmpty()) return false
        return job.spec.shape != Shape.GANG || mayAssemble(job, now)
    }

    /**
     * Whether the job may be placed on the machine if the machine is draining. A draining machine takes only tasks that
     * need no image fetch and end within the time for which the machine is kept for its running tasks.
     *
     * A job without a placement for [MAX_WAIT_FOR_USABLE_MACHINE] may use any draining machine. The provisioning plan
     * may count on another machine that cannot take the job at present, and without this exception the job would wait
     * indefinitely although the draining machine can run it.
     */
    private fun isAllowedWhileDraining(
        job: RunningJob,
        free: FreeCapacity,
    ): Boolean {
        if (free.availableFor.isInfinite() || free.now - job.lastPlaced >= MAX_WAIT_FOR_USABLE_MACHINE) return true
        return job.expectedRunTime <= free.availableFor && job.spec.image in free.machine.images
    }

    /** Whether another machine is likely to start the job sooner than [machine], which lacks the job's image. */
    private fun shouldWaitForImage(
        job: RunningJob,
        machine: Machine,
        now: Duration,
    ): Boolean {
        if (isBusyFetching(machine, job)) return true
        // A machine that has the image is expected to become free sooner than this machine could fetch the image.
        return now - job.waitingSince < MAX_IMAGE_WAIT && job.spec.image in cachedImages
    }

    /**
     * Whether other fetches on the machine would delay a long fetch of the job's image. Long fetches share the
     * machine's bandwidth or wait for one another, so the resources are left to tasks that need not wait for a second
     * fetch. Urgent work is exempt: it may start on any machine.
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
     * Whether resources may be reserved for the gang. A team assembles one gang at a time. A gang is not assembled
     * while tasks of its former attempt are still on machines, because they have another attempt number.
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

        /** How long a machine that failed a task of a job gets no tasks of that job; other machines can try them. */
        val FAILURE_AVOIDANCE = 20.seconds

        /** A job without a placement for this long may be placed on draining machines, too. */
        val MAX_WAIT_FOR_USABLE_MACHINE = 60.seconds

        /** A job with less slack than this before its deadline does not wait for a machine with its image. */
        val MIN_SLACK_TO_WAIT = 20.seconds

        /** Jobs whose image is present are preferred to a job for at most this long after its last placement. */
        val MAX_TIME_PASSED_OVER = 8.seconds

        /** A shorter fetch ends before the machine's heartbeats show it. */
        const val LONG_FETCH_SECONDS = 4.0

        /** How long new work waits for a machine that has its image. */
        val MAX_IMAGE_WAIT = 1500.milliseconds
    }
}
