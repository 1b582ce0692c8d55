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
 * A team's dispatcher: its waiting jobs in order, and what its tasks hold of the machines.
 * One is hosted by the leader for each team.
 */
class Dispatcher(
    val team: TeamSettings,
    private val images: Set<String> = emptySet(),
) {
    /** Jobs with tasks to place, in order; others are not looked at for every heartbeat. */
    private val queue = TreeSet(ORDER)
    val waiting: Collection<RunningJob> get() = queue

    var usedCpus = 0.0
        private set
    var usedGpus = 0.0
        private set

    /** The smooth weighted round-robin's running credit. */
    var credit = 0.0

    /** Without a guarantee a team still has a share: that of the smallest unit. */
    val weight: Double = team.cpus.coerceAtLeast(1.0)

    /** How many jobs were looked at for machines' free room: the work that heartbeats cost. */
    var considered = 0L
        private set

    /** No waiting task takes less of anything; null until asked for again. */
    private var least: Resources? = null

    fun refresh(job: RunningJob) {
        if (if (job.waiting > 0) queue.add(job) else queue.remove(job)) least = null
    }

    fun remove(job: RunningJob) {
        if (queue.remove(job)) least = null
    }

    /** Its place in the queue goes by what [change] changes. */
    fun reinsert(
        job: RunningJob,
        change: () -> Unit,
    ) {
        val queued = queue.remove(job)
        change()
        if (queued) queue.add(job)
    }

    /** As time passes, targets move out of reach. */
    fun reorder(now: Duration) {
        for (job in queue.filter { it.nextReachableDeadline != it.nextReachableDeadlineAt(now) }) {
            queue.remove(job)
            job.nextReachableDeadline = job.nextReachableDeadlineAt(now)
            queue.add(job)
        }
    }

    fun take(resources: Resources) {
        usedCpus += resources.cpus
        usedGpus += resources.gpus
    }

    fun give(resources: Resources) {
        usedCpus -= resources.cpus
        usedGpus -= resources.gpus
    }

    fun withinLimit(resources: Resources): Boolean =
        (team.cpusMax == null || usedCpus + resources.cpus <= team.cpusMax + EPSILON) &&
            (team.gpusMax == null || usedGpus + resources.gpus <= team.gpusMax + EPSILON)

    fun withinGuarantee(resources: Resources): Boolean =
        (team.cpus > 0 || team.gpus > 0) &&
            usedCpus + resources.cpus <= team.cpus + EPSILON &&
            usedGpus + resources.gpus <= team.gpus + EPSILON

    private var head: RunningJob? = null
    private var headSince: Duration = Duration.ZERO

    /** The job that would be placed first, if it has been so and found no place since [since]. */
    fun blockedHeadSince(
        since: Duration,
        now: Duration,
    ): RunningJob? {
        val first =
            queue.firstOrNull {
                it.spec.shape != Shape.GANG && !it.isQuarantined && it.retryAfter <= now && withinLimit(it.resources)
            }
        if (first !== head) {
            head = first
            headSince = now
        }
        return first?.takeIf { headSince < since && it.lastPlaced < since }
    }

    /** The first in order has had its chance; it counts as stuck only after as long again. */
    fun restartHeadTimer(now: Duration) {
        headSince = now
    }

    /**
     * The first job, in order, that has a task for this machine's free room; but while that one has time,
     * rather the first of its priority whose image the machine has. A slot that waits for a fetch does
     * nothing, and under load every machine would fetch every image for one or two tasks at a time.
     */
    fun pick(
        machine: Machine,
        free: Resources,
        now: Duration,
        within: Duration = Duration.INFINITE,
    ): RunningJob? {
        if (queue.isEmpty()) return null
        // Most heartbeats come from machines that are full; they are not to cost a look at every job that waits.
        val least =
            least
                ?: Resources(
                    queue.minOf { it.resources.cpus },
                    queue.minOf { it.resources.gpus },
                    queue.minOf { it.resources.memoryGb },
                ).also { least = it }
        if (!free.covers(least)) return null
        var first: RunningJob? = null
        for (job in queue) {
            if (first != null && job.priority != first.priority) break
            considered++
            if (first != null && job.spec.image !in machine.images) continue
            if (!mayPlace(job, machine, free, now, within)) continue
            if (job.spec.image in machine.images || !hasTime(job, now)) return job
            first = job
        }
        return first
    }

    /** It can wait for a machine that has its image, and has not waited long since the last of its tasks was placed. */
    private fun hasTime(
        job: RunningJob,
        now: Duration,
    ): Boolean = now - job.lastPlaced < PASSED_OVER && job.nextReachableDeadline - now - job.expectedRunTime > TIGHT

    /** Whether a task of this job may be placed on that machine now; [within] is how long the machine stays. */
    fun mayPlace(
        job: RunningJob,
        machine: Machine,
        free: Resources,
        now: Duration,
        within: Duration,
    ): Boolean {
        if (machine.reservedFor.let { it != null && it !== job }) return false
        if (job.retryAfter > now || !free.covers(job.resources)) return false
        if (job.isQuarantined && job.assigned.isNotEmpty()) return false
        if (!machine.fitsInHeartbeat(job.spec)) return false
        // The plan may count on a machine that cannot take the job just now; it is not to wait for ever beside one with
        // room.
        if (
            within.isFinite() &&
            now - job.lastPlaced < OVERDUE &&
            (job.expectedRunTime > within || job.spec.image !in machine.images)
        ) {
            return false
        }
        if (job.spec.shape == Shape.GANG && !mayAssemble(job, now)) return false
        if (!allowed(job, machine) || !withinLimit(job.resources) || job.peek() == null) return false
        if (job.spec.image !in machine.images && isBusyFetching(machine, job)) return false
        // A fetch takes longer than the next machine that has the image takes to find room.
        if (now - job.waitingSince < HOLD && job.spec.image in images && job.spec.image !in machine.images) return false
        return machine.failures[job.spec.id].let { it == null || now - it.last >= AVOID }
    }

    /**
     * Long fetches share the machine's rate or wait for one another: a slot that would wait for the second
     * had better stay free for what need not. Urgent work is started wherever it can be.
     */
    private fun isBusyFetching(
        machine: Machine,
        job: RunningJob,
    ): Boolean =
        machine.fetches > 0 &&
            job.priority > Priority.HIGH &&
            machine.reservedFor !== job &&
            machine.fetchSeconds(job.spec) >= LONG_FETCH

    /**
     * One gang at a time gathers slots, and none while tasks of its former attempt are still about:
     * they would have another attempt number.
     */
    private fun mayAssemble(
        job: RunningJob,
        now: Duration,
    ): Boolean {
        if (job.nextAssemblyAt > now) return false
        if (job.assigned.values.any { !it.reserved }) return false
        return queue.none { it !== job && it.assemblingSince != null }
    }

    companion object {
        private const val EPSILON = 1e-6

        /** A machine that failed a job's task gets no more of that job for so long. */
        private val AVOID = 20.seconds

        /** What found no place for so long goes to machines that are being emptied too. */
        private val OVERDUE = 60.seconds

        /** With less time than this left, a job waits for no image; nor after it was passed over for so long. */
        private val TIGHT = 20.seconds
        private val PASSED_OVER = 8.seconds

        /** In seconds; a shorter fetch is over before the machine heartbeats again. */
        private const val LONG_FETCH = 4.0

        /** New work waits for a machine that has its image for this long. */
        private val HOLD = 1500.milliseconds
        private val ORDER = compareBy<RunningJob>({ it.priority }, { it.nextReachableDeadline }, { it.spec.id.value })

        /** Whether a job's task may be on a machine at all, and given where the job's other tasks are. */
        fun allowed(
            job: RunningJob,
            machine: Machine,
        ): Boolean {
            val spec = job.spec
            if (spec.instanceTypes != null && machine.type !in spec.instanceTypes) return false
            if (spec.zone != null && machine.zone != spec.zone) return false
            if (machine.spot && !spec.spot) return false
            if (spec.oneZone && job.zones.isNotEmpty() && machine.zone !in job.zones) return false
            // Where the records' machines are is not known before they report: they may be in this zone.
            return !spec.spread || (job.zones[machine.zone] ?: 0) + (job.zones[""] ?: 0) < spec.maxPerZone
        }
    }
}
