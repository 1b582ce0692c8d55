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

/** A machine as described by its heartbeats and the records. Mutable; used on the leader actor's thread only. */
class Machine(
    val name: MachineName,
    /** Label of the instance type; empty for a machine that only the records name until its first heartbeat. */
    var type: String,
    /** Empty for a machine that only the records name until its first heartbeat. */
    var zone: String,
    var spot: Boolean,
) {
    // ---- tasks and resources ----

    /** Null until the cloud's list of instance types includes [type]; nothing is placed on the machine before that. */
    var instanceType: InstanceType? = null
        set(value) {
            field = value
            capacity = value?.resources
        }

    /** The total resources of the machine; null while [instanceType] is null. */
    var capacity: Resources? = null
        private set
    private val assigned = LinkedHashMap<TaskId, Assignment>()
    val assignments: Map<TaskId, Assignment> get() = assigned

    /** The sum of the resources of all [assignments]. It is kept up to date, since every heartbeat needs it. */
    var used: Resources = Resources.NONE
        private set

    /**
     * The exits of tasks that the worker still lists. A worker lists an exited task until it is commanded to clear it,
     * which happens only once the exit is stored.
     */
    val exitsAwaitingClear = HashMap<TaskId, TaskExit>()

    /** The tasks in the newest heartbeat that carried the leader's own term. */
    var reported: Map<TaskId, ReportedTask> = emptyMap()

    /** The images of the machine's tasks, and the image fetches that are still expected. */
    val images = MachineImages()
    private val heartbeatSize = HeartbeatSize()

    // ---- contact ----

    /** The version of the newest heartbeat; null before the first. */
    var heartbeatVersion: HeartbeatVersion? = null

    /** Whether a heartbeat with the leader's own term has shown what is on the machine. */
    var isReconciled = false

    /** Whether the newest heartbeat shows that the worker receives responses. If not, commands may be lost. */
    var receivesResponses = false

    /** When the first heartbeat with the leader's own term was received. */
    var firstContactAt: Duration? = null

    /** When the machine was last known to receive responses. A heartbeat alone does not show that it is up. */
    var lastContactAt: Duration? = null

    /** When a follower last reported that it renewed the lease; only a hint, since these reports are delayed. */
    var renewedByFollowerAt: Duration? = null

    /** When the records that name the machine were loaded; zero if no record names it. */
    var loadedAt: Duration = Duration.ZERO

    /** The time by which every lease that this leader or a former one may have renewed has expired. */
    var leaseExpiry: Duration = Duration.ZERO

    /** The time since which it is certain that no follower renews the lease; null while a follower may. */
    var renewalRevokedAt: Duration? = null

    // ---- placement restrictions ----

    /** When the cloud will interrupt this spot instance; null without an interruption notice. */
    var interruptionAt: Duration? = null

    /** Whether the machine is to be terminated once it is empty, since the provisioning plan does not need it. */
    var isDraining = false

    /** Whether termination of the machine was requested. It gets no more commands from then on. */
    var isTerminating = false

    /** Whether tasks of healthy jobs fail on the machine, so that nothing more is placed on it. */
    var isQuarantined = false

    /** The reservation of the machine for one job; null if it is not reserved. */
    var reservation: Reservation? = null
        private set

    /** The job that the machine is reserved for; null if it is not reserved. */
    val reservedFor: RunningJob? get() = reservation?.job

    /** The time before which nothing is placed on the machine, set when the worker refuses a task. */
    var noPlacementUntil: Duration = Duration.ZERO

    /** The failures of each job on this machine since a task of any job last succeeded here. */
    val failures = HashMap<JobId, MachineFailures>()

    /** Whether tasks may be placed on the machine; if it is draining, further limits apply. */
    val acceptsWork: Boolean
        get() = isReconciled && receivesResponses && !isTerminating && !isQuarantined && interruptionAt == null

    /** Whether tasks may be placed on the machine without the limits of a draining one. */
    val isUsable: Boolean get() = acceptsWork && !isDraining

    /** Reserves the machine for the reservation's job. */
    fun reserve(reservation: Reservation) {
        this.reservation = reservation
    }

    /** Ends the reservation and logs its end with [reason]. */
    fun endReservation(
        reason: String,
        now: Duration,
    ) {
        reservation?.logEnd(name, reason, now)
        reservation = null
    }

    /**
     * Returns the time until enough tasks are expected to have ended for [request] to fit, if nothing else is placed.
     * Returns null if [request] never fits, or while [capacity] is null. A task that runs longer than expected is
     * assumed to end soon.
     */
    fun timeUntilFree(
        request: Resources,
        now: Duration,
    ): Duration? {
        var free = freeResources() ?: return null
        if (free.covers(request)) return Duration.ZERO
        val expectedEnds =
            assignments.values
                .map { it.expectedTimeLeft(now) to it.resources }
                .sortedBy { (timeLeft, _) -> timeLeft }
        for ((timeLeft, resources) in expectedEnds) {
            free += resources
            if (free.covers(request)) return timeLeft
        }
        return null
    }

    private fun Assignment.expectedTimeLeft(now: Duration): Duration {
        val remaining = remainingRunTime(now) ?: job.expectedRunTime
        return remaining.coerceAtLeast(MIN_EXPECTED_REMAINING)
    }

    /** Adds [assignment] and counts its resources. Has no effect if it was added before. */
    fun add(assignment: Assignment) {
        if (assigned.put(assignment.id, assignment) != null) return
        val spec = assignment.job.spec
        used += assignment.resources
        heartbeatSize.taskAdded(spec)
        images.taskAdded(spec.image)
    }

    /** Reverses [add]. Has no effect if another assignment has replaced [assignment]. */
    fun remove(assignment: Assignment) {
        if (!assigned.remove(assignment.id, assignment)) return
        val spec = assignment.job.spec
        // Reset to zero once the machine is empty, so that rounding errors do not accumulate.
        used = if (assigned.isEmpty()) Resources.NONE else used - assignment.resources
        heartbeatSize.taskRemoved(spec)
        images.taskRemoved(spec.image)
    }

    /** Notes that [image] is fetched, since a heartbeat shows a task that runs with it. */
    fun imageFetched(image: String) = images.imageFetched(image)

    /** Returns the resources that no assignment takes; null while [capacity] is null. */
    fun freeResources(): Resources? = capacity?.minus(used)

    /** Whether the machine's heartbeats stay within the protocol's size limit with one more task of the job. */
    fun fitsInHeartbeat(spec: JobSpec): Boolean = heartbeatSize.fits(spec, exitsAwaitingClear.size)

    /** Returns the seconds that fetching the job's image takes if nothing else is fetched; zero if unknown. */
    fun fetchSeconds(spec: JobSpec): Double = instanceType?.let { spec.imageGb / it.fetchGbPerSecond } ?: 0.0

    /**
     * Returns how long a draining machine has to be kept for the tasks that run on it. A further task that ends within
     * this time causes no additional cost. Returns zero if the machine is not draining or need not be kept.
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

    /** Returns the time since the last known contact with any controller, or since the records were loaded if none. */
    fun timeSinceContact(now: Duration): Duration {
        val leaderContactAt = lastContactAt ?: loadedAt
        return now - maxOf(leaderContactAt, renewedByFollowerAt ?: Duration.ZERO)
    }

    private companion object {
        /**
         * The shortest remaining run time that is assumed. A task that runs longer than expected ends at an unknown
         * time and is assumed to be near its end.
         */
        val MIN_EXPECTED_REMAINING = 5.seconds
    }
}

/** The size of a machine's tasks in its heartbeats, in bytes. */
private class HeartbeatSize {
    private var taskBytes = 0

    fun taskAdded(spec: JobSpec) {
        taskBytes += bytes(spec)
    }

    fun taskRemoved(spec: JobSpec) {
        taskBytes -= bytes(spec)
    }

    /**
     * Whether a further task of the job fits. [exitedTasks] is the number of exited tasks that heartbeats list until
     * they are cleared.
     */
    fun fits(
        spec: JobSpec,
        exitedTasks: Int,
    ): Boolean = taskBytes + exitedTasks * LONGEST_TASK_BYTES + bytes(spec) <= MAX_HEARTBEAT_BYTES

    private fun bytes(spec: JobSpec): Int = spec.id.value.length + TASK_BYTES

    private companion object {
        /** The protocol's limit of 64 KiB, less the part of a heartbeat that does not describe tasks. */
        const val MAX_HEARTBEAT_BYTES = 63 * 1024

        /** A task in a heartbeat without its job's id: its index, attempt, state, cause and field names. */
        const val TASK_BYTES = 100
        const val LONGEST_TASK_BYTES = TASK_BYTES + JobId.MAX_LENGTH
    }
}
