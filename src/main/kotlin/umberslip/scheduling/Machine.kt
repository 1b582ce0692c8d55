package umberslip.scheduling

import umberslip.agents.HeartbeatVersion
import umberslip.agents.ReportedTask
import umberslip.cloud.InstanceType
import umberslip.core.JobId
import umberslip.core.JobSpec
import umberslip.core.MachineName
import umberslip.core.Resources
import umberslip.core.Shape
import umberslip.core.TaskId
import kotlin.time.Duration

/** How often tasks of a job failed on a machine since something succeeded there, and when they first and last did. */
class Failures(
    val count: Int,
    val first: Duration,
    val last: Duration,
)

/** A machine as its heartbeats and our records show it. */
class Machine(
    val name: MachineName,
    var type: String,
    var zone: String,
    var spot: Boolean,
) {
    /** Null until the machine type is known; nothing is placed before. */
    var instanceType: InstanceType? = null
        set(value) {
            field = value
            capacity = value?.resources
        }
    var capacity: Resources? = null
        private set
    private val held = LinkedHashMap<TaskId, Assignment>()
    val assignments: Map<TaskId, Assignment> get() = held

    /** What its assignments take; kept up to date, since every heartbeat asks for it. */
    var used: Resources = Resources.NONE
        private set

    /** Ended tasks stay in heartbeats until their result is written; only then may they be cleared. */
    val awaitingClear = HashMap<TaskId, TaskExit>()

    /** Tasks in the newest heartbeat that carried the leader's own term. */
    var reported: Map<TaskId, ReportedTask> = emptyMap()

    /** That of the newest heartbeat; null before the first. */
    var heartbeatVersion: HeartbeatVersion? = null

    /** A heartbeat with the leader's own term has shown what is on the machine. */
    var isReconciled = false

    /** The newest heartbeat shows that an answer to it arrived; without, what is told to it may be lost. */
    var receivesResponses = false
    var firstContact: Duration? = null

    /** When it was last known to hear; a heartbeat alone is no sign of life. */
    var lastContact: Duration? = null

    /** When another controller was last known to have answered it; a hint, no proof of anything. */
    var renewedByFollowerAt: Duration? = null

    /** When its records were taken over. */
    var loadedAt: Duration = Duration.ZERO

    /** From then on, every lease that any controller can have renewed has run out. */
    var leaseExpiry: Duration = Duration.ZERO

    /** Since when it is certain that no other controller renews its lease; null where one may. */
    var renewalRevokedAt: Duration? = null
    var interruptionAt: Duration? = null

    /** Being emptied, to be returned. */
    var isDraining = false

    /** Its release was asked for: nothing is told to it any more. */
    var isTerminating = false
    var isQuarantined = false

    /** Takes tasks of this job only, since its tasks found no machine empty enough for long. */
    var reservedFor: RunningJob? = null
        private set
    var reservedSince: Duration = Duration.ZERO
        private set

    fun reserveFor(
        job: RunningJob?,
        now: Duration,
    ) {
        reservedFor = job
        reservedSince = now
    }

    var fullUntil: Duration = Duration.ZERO

    /** Jobs that failed here since the last success. */
    val failures = HashMap<JobId, Failures>()

    /** Images that tasks here have been started with. */
    val images = HashSet<String>()

    /** Images with which a task has run here, and how many tasks wait for each of the others. */
    private val ready = HashSet<String>()
    private val awaited = HashMap<String, Int>()

    /** What its tasks take of a heartbeat; that of ended ones until they are cleared. */
    private var heldBytes = 0

    /** A heartbeat must stay within the protocol's size, however small the tasks are. */
    fun fitsInHeartbeat(spec: JobSpec): Boolean {
        val endedBytes = awaitingClear.size * LONGEST_TASK_BYTES
        return heldBytes + endedBytes + statusBytes(spec) <= MAX_HEARTBEAT_BYTES
    }

    private fun statusBytes(spec: JobSpec): Int = spec.id.value.length + TASK_BYTES

    /** How many images are fetched, or in turn to be. */
    val fetches: Int get() = awaited.size

    /** How long it fetches a job's image, with nothing else to fetch. */
    fun fetchSeconds(spec: JobSpec): Double = instanceType?.let { spec.imageGb / it.fetchGbPerSecond } ?: 0.0

    fun ran(image: String) {
        if (ready.add(image)) awaited.remove(image)
    }

    val usable: Boolean get() = acceptsWork && !isDraining

    /** Nothing forbids work here but that the fleet's plan has no use for the machine. */
    val acceptsWork: Boolean get() = isReconciled && receivesResponses && !isTerminating && !isQuarantined && interruptionAt == null

    /**
     * For how long a machine that is being emptied has to stay for what runs on it; tasks that end
     * within that time cost nothing more. Zero where there is no such time.
     */
    fun remainingDrainTime(now: Duration): Duration {
        if (!acceptsWork || !isDraining) return Duration.ZERO
        val left =
            assignments.values.maxOfOrNull { a ->
                if (a.gracePeriod != null || a.job.spec.shape != Shape.ARRAY) {
                    Duration.ZERO
                } else {
                    a.left(now) ?: Duration.ZERO
                }
            }
        return left ?: Duration.ZERO
    }

    /** For how long nothing was heard of it, directly or from another controller. */
    fun timeSinceContact(now: Duration): Duration = now - maxOf(lastContact ?: loadedAt, renewedByFollowerAt ?: Duration.ZERO)

    fun add(a: Assignment) {
        if (held.put(a.id, a) != null) return
        used += a.resources
        heldBytes += statusBytes(a.job.spec)
        if (a.job.spec.image !in ready) awaited.merge(a.job.spec.image, 1, Int::plus)
    }

    fun drop(a: Assignment) {
        // Emptied, it starts from zero again, so that rounding does not add up.
        if (!held.remove(a.id, a)) return
        used = if (held.isEmpty()) Resources.NONE else used - a.resources
        heldBytes -= statusBytes(a.job.spec)
        awaited.computeIfPresent(a.job.spec.image) { _, n -> if (n > 1) n - 1 else null }
    }

    fun free(): Resources? = capacity?.minus(used)

    private companion object {
        /** The protocol's 64 KiB, less what a heartbeat says besides its tasks. */
        const val MAX_HEARTBEAT_BYTES = 63 * 1024

        /** A task in a heartbeat, but for its job's id: number, attempt, state, cause and names of fields. */
        const val TASK_BYTES = 100
        const val LONGEST_TASK_BYTES = TASK_BYTES + JobId.MAX_LENGTH
    }
}
