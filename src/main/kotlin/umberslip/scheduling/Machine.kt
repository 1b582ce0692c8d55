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
import kotlin.time.Duration.Companion.seconds

/** A machine as its heartbeats and the records show it. Mutable; used on the leader actor's thread only. */
class Machine(
    val name: MachineName,
    /** Label of the instance type; empty before the first heartbeat of a machine that only the records name. */
    var type: String,
    /** Empty before the first heartbeat of a machine that only the records name. */
    var zone: String,
    var spot: Boolean,
) {
    // ---- tasks and resources ----

    /** Null until the cloud's list of instance types has [type]; nothing is placed before. */
    var instanceType: InstanceType? = null
        set(value) {
            field = value
            capacity = value?.resources
        }

    /** All resources of the machine; null as long as [instanceType] is. */
    var capacity: Resources? = null
        private set
    private val assigned = LinkedHashMap<TaskId, Assignment>()
    val assignments: Map<TaskId, Assignment> get() = assigned

    /** The resources of its [assignments]; updated with each of them, since every heartbeat asks for it. */
    var used: Resources = Resources.NONE
        private set

    /** Exited tasks stay in heartbeats until their exit is stored; only then may the worker clear them. */
    val awaitingClear = HashMap<TaskId, TaskExit>()

    /** The tasks in the newest heartbeat that carried the leader's own term. */
    var reported: Map<TaskId, ReportedTask> = emptyMap()

    /** The images of its tasks. */
    val images = MachineImages()
    private val heartbeatSize = HeartbeatSize()

    // ---- contact ----

    /** That of the newest heartbeat; null before the first. */
    var heartbeatVersion: HeartbeatVersion? = null

    /** Whether a heartbeat with the leader's own term has shown what is on the machine. */
    var isReconciled = false

    /** Whether the newest heartbeat shows that the response to the one before arrived; else commands may be lost. */
    var receivesResponses = false

    /** When the first heartbeat with the leader's own term was received. */
    var firstContact: Duration? = null

    /** When the machine was last known to receive responses; a heartbeat alone is no sign of life. */
    var lastContact: Duration? = null

    /** When a follower was last known to have renewed its lease; a hint, as followers report it with a delay. */
    var renewedByFollowerAt: Duration? = null

    /** When its records were loaded; zero for a machine that the records did not name. */
    var loadedAt: Duration = Duration.ZERO

    /** From then on, every lease that the leader or a former one can have renewed has expired. */
    var leaseExpiry: Duration = Duration.ZERO

    /** Since when it is certain that no follower renews its lease; null where one may. */
    var renewalRevokedAt: Duration? = null

    // ---- what keeps tasks away ----

    /** When the cloud interrupts this spot instance; null without a notice. */
    var interruptionAt: Duration? = null

    /** The provisioning plan has no use for the machine: it is terminated once it is empty. */
    var isDraining = false

    /** Its termination was requested: it gets no commands any more. */
    var isTerminating = false

    /** It fails tasks of healthy jobs, so nothing more is placed on it. */
    var isQuarantined = false

    /** Reserves the machine for a starving job; null where any may be placed. */
    var reservation: Reservation? = null
        private set

    /** The job that the machine is reserved for. */
    val reservedFor: RunningJob? get() = reservation?.job

    /** Nothing is placed before then, since the worker refused a task for lack of resources. */
    var noPlacementUntil: Duration = Duration.ZERO

    /** The failures here of each job since the last success of any. */
    val failures = HashMap<JobId, MachineFailures>()

    /** Whether nothing forbids work here, except that the machine may be draining. */
    val acceptsWork: Boolean
        get() = isReconciled && receivesResponses && !isTerminating && !isQuarantined && interruptionAt == null

    /** Whether any work may be placed here. */
    val isUsable: Boolean get() = acceptsWork && !isDraining

    /** Reserves the machine for a starving job. */
    fun reserve(reservation: Reservation) {
        this.reservation = reservation
    }

    /** Ends the reservation, which the machine must have, for [reason]. */
    fun endReservation(
        reason: String,
        now: Duration,
    ) {
        reservation?.logEnd(name, reason, now)
        reservation = null
    }

    /**
     * How long until enough tasks are expected to have ended for [request] to fit, if nothing else is placed; null if
     * it never fits. A task that runs longer than expected counts as ending soon.
     */
    fun timeUntilFree(
        request: Resources,
        now: Duration,
    ): Duration? {
        var free = freeResources() ?: return null
        if (free.covers(request)) return Duration.ZERO
        val endings = assignments.values.map { it.expectedEnd(now) to it.resources }.sortedBy { (end, _) -> end }
        for ((end, resources) in endings) {
            free += resources
            if (free.covers(request)) return end
        }
        return null
    }

    private fun Assignment.expectedEnd(now: Duration): Duration {
        val remaining = remainingRunTime(now) ?: job.expectedRunTime
        return remaining.coerceAtLeast(MIN_EXPECTED_REMAINING)
    }

    /** Counts the task against the machine; one that is there already has no effect. */
    fun add(assignment: Assignment) {
        if (assigned.put(assignment.id, assignment) != null) return
        val spec = assignment.job.spec
        used += assignment.resources
        heartbeatSize.taskAdded(spec)
        images.taskAdded(spec.image)
    }

    /** Reverses [add]; an assignment that was replaced meanwhile has no effect. */
    fun remove(assignment: Assignment) {
        if (!assigned.remove(assignment.id, assignment)) return
        val spec = assignment.job.spec
        // Once empty, it starts from zero again, so that rounding errors do not add up.
        used = if (assigned.isEmpty()) Resources.NONE else used - assignment.resources
        heartbeatSize.taskRemoved(spec)
        images.taskRemoved(spec.image)
    }

    /** A heartbeat shows that a task runs here with this image. */
    fun imageFetched(image: String) = images.imageFetched(image)

    /** Null as long as [capacity] is. */
    fun freeResources(): Resources? = capacity?.minus(used)

    /** Whether heartbeats stay within the protocol's size with one more task of the job. */
    fun fitsInHeartbeat(spec: JobSpec): Boolean = heartbeatSize.fits(spec, awaitingClear.size)

    /** How long the job's image takes to fetch if nothing else is fetched, in seconds; zero where that is unknown. */
    fun fetchSeconds(spec: JobSpec): Double = instanceType?.let { spec.imageGb / it.fetchGbPerSecond } ?: 0.0

    /**
     * How long a draining machine has to stay for the tasks that run on it; another task that ends within that time
     * costs nothing more. Zero where it need not stay, or where it is not draining.
     */
    fun remainingDrainTime(now: Duration): Duration {
        if (!acceptsWork || !isDraining) return Duration.ZERO
        return assignments.values.maxOfOrNull { timeToDrain(it, now) } ?: Duration.ZERO
    }

    private fun timeToDrain(
        assignment: Assignment,
        now: Duration,
    ): Duration {
        if (assignment.gracePeriod != null || assignment.job.spec.shape != Shape.ARRAY) return Duration.ZERO
        return assignment.remainingRunTime(now) ?: Duration.ZERO
    }

    /** How long ago the machine last had contact with any controller, as far as that is known. */
    fun timeSinceContact(now: Duration): Duration {
        val withLeader = lastContact ?: loadedAt
        return now - maxOf(withLeader, renewedByFollowerAt ?: Duration.ZERO)
    }

    private companion object {
        /** A task that runs longer than expected ends at an unknown time; it is taken to be at its end. */
        val MIN_EXPECTED_REMAINING = 5.seconds
    }
}

/** How many bytes the tasks on a machine take in its heartbeats. */
private class HeartbeatSize {
    private var taskBytes = 0

    fun taskAdded(spec: JobSpec) {
        taskBytes += bytes(spec)
    }

    fun taskRemoved(spec: JobSpec) {
        taskBytes -= bytes(spec)
    }

    /** [exitedTasks] were removed, and are listed until they are cleared. */
    fun fits(
        spec: JobSpec,
        exitedTasks: Int,
    ): Boolean = taskBytes + exitedTasks * LONGEST_TASK_BYTES + bytes(spec) <= MAX_HEARTBEAT_BYTES

    private fun bytes(spec: JobSpec): Int = spec.id.value.length + TASK_BYTES

    private companion object {
        /** The protocol's 64 KiB, less what a heartbeat contains besides its tasks. */
        const val MAX_HEARTBEAT_BYTES = 63 * 1024

        /** A task in a heartbeat without its job's id: index, attempt, state, cause and names of fields. */
        const val TASK_BYTES = 100
        const val LONGEST_TASK_BYTES = TASK_BYTES + JobId.MAX_LENGTH
    }
}
