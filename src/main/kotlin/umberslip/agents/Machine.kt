package umberslip.agents

import umberslip.cloud.Flavor
import umberslip.cloud.HostName
import umberslip.dispatch.Assignment
import umberslip.dispatch.RunningJob
import umberslip.dispatch.TaskEnd
import umberslip.records.JobId
import umberslip.records.JobSpec
import umberslip.records.Shape
import umberslip.records.TaskId
import kotlin.time.Duration

/** What an amount of work takes of a machine, or a machine offers. */
data class Room(
    val cpus: Double,
    val gpus: Double,
    val memoryGb: Double,
) {
    fun covers(other: Room): Boolean =
        cpus + EPSILON >= other.cpus &&
            gpus + EPSILON >= other.gpus &&
            memoryGb + EPSILON >= other.memoryGb

    operator fun plus(other: Room) = Room(cpus + other.cpus, gpus + other.gpus, memoryGb + other.memoryGb)

    operator fun minus(other: Room) = Room(cpus - other.cpus, gpus - other.gpus, memoryGb - other.memoryGb)

    val isNone: Boolean get() = cpus < EPSILON && gpus < EPSILON || memoryGb < EPSILON

    /** How many times [task] fits. */
    fun times(task: Room): Int {
        var n = Double.MAX_VALUE
        if (task.cpus > 0) n = minOf(n, cpus / task.cpus)
        if (task.gpus > 0) n = minOf(n, gpus / task.gpus)
        if (task.memoryGb > 0) n = minOf(n, memoryGb / task.memoryGb)
        return (n + EPSILON).toInt().coerceAtLeast(0)
    }

    companion object {
        private const val EPSILON = 1e-6
        val NONE = Room(0.0, 0.0, 0.0)

        fun of(flavor: Flavor) = Room(flavor.cpus, flavor.gpus, flavor.memoryGb)
    }
}

/** How often tasks of a job failed on a machine since something succeeded there, and when they first and last did. */
class Failures(
    val count: Int,
    val first: Duration,
    val last: Duration,
)

/** A machine as its reports and our records show it. */
class Machine(
    val name: HostName,
    var type: String,
    var zone: String,
    var spot: Boolean,
) {
    /** Null until the machine type is known; nothing is placed before. */
    var flavor: Flavor? = null
        set(value) {
            field = value
            capacity = value?.let(Room::of)
        }
    var capacity: Room? = null
        private set
    private val held = LinkedHashMap<TaskId, Assignment>()
    val assignments: Map<TaskId, Assignment> get() = held

    /** What its assignments take; kept up to date, since every report asks for it. */
    var used: Room = Room.NONE
        private set

    /** Ended tasks stay in reports until their result is written; only then may they be cleared. */
    val awaitingClear = HashMap<TaskId, TaskEnd>()

    /** Tasks in the newest report that carried the owner's own term. */
    var reported: Map<TaskId, ReportedTask> = emptyMap()

    /** That of the newest report; null before the first. */
    var mark: Mark? = null

    /** A report with the owner's own term has shown what is on the machine. */
    var proven = false

    /** The newest report shows that an answer to it arrived; without, what is told to it may be lost. */
    var hearsAnswers = false
    var firstHeard: Duration? = null

    /** When it was last known to hear; a report alone is no sign of life. */
    var lastHeard: Duration? = null

    /** When another controller was last known to have answered it; a hint, no proof of anything. */
    var relayedAt: Duration? = null

    /** When its records were taken over. */
    var loadedAt: Duration = Duration.ZERO

    /** From then on, every lease that any controller can have renewed has run out. */
    var leaseEnd: Duration = Duration.ZERO

    /** Since when it is certain that no other controller renews its lease; null where one may. */
    var condemnedAt: Duration? = null
    var takenAt: Duration? = null

    /** Being emptied, to be returned. */
    var closing = false

    /** Its release was asked for: nothing is told to it any more. */
    var releasing = false
    var sick = false

    /** Takes tasks of this job only, since its tasks found no machine empty enough for long. */
    var keptFor: RunningJob? = null
        private set
    var keptSince: Duration = Duration.ZERO
        private set

    fun keepFor(
        job: RunningJob?,
        now: Duration,
    ) {
        keptFor = job
        keptSince = now
    }

    var noRoomUntil: Duration = Duration.ZERO

    /** Jobs that failed here since the last success. */
    val failures = HashMap<JobId, Failures>()

    /** Images that tasks here have been started with. */
    val images = HashSet<String>()

    /** Images with which a task has run here, and how many tasks wait for each of the others. */
    private val ready = HashSet<String>()
    private val awaited = HashMap<String, Int>()

    /** What its tasks take of a report; that of ended ones until they are cleared. */
    private var heldBytes = 0

    /** A report must stay within the protocol's size, however small the tasks are. */
    fun hasReportRoom(spec: JobSpec): Boolean {
        val endedBytes = awaitingClear.size * LONGEST_TASK_BYTES
        return heldBytes + endedBytes + reportBytes(spec) <= MAX_REPORT_BYTES
    }

    private fun reportBytes(spec: JobSpec): Int = spec.id.value.length + TASK_BYTES

    /** How many images are fetched, or in turn to be. */
    val fetches: Int get() = awaited.size

    /** How long it fetches a job's image, with nothing else to fetch. */
    fun fetchSeconds(spec: JobSpec): Double = flavor?.let { spec.imageGb / it.fetchGbPerSecond } ?: 0.0

    fun ran(image: String) {
        if (ready.add(image)) awaited.remove(image)
    }

    val usable: Boolean get() = mayStay && !closing

    /** Nothing forbids work here but that the fleet's plan has no use for the machine. */
    val mayStay: Boolean get() = proven && hearsAnswers && !releasing && !sick && takenAt == null

    /**
     * For how long a machine that is being emptied has to stay for what runs on it; tasks that end
     * within that time cost nothing more. Zero where there is no such time.
     */
    fun staysFor(now: Duration): Duration {
        if (!mayStay || !closing) return Duration.ZERO
        val left =
            assignments.values.maxOfOrNull { a ->
                if (a.windDown != null || a.job.spec.shape != Shape.ARRAY) {
                    Duration.ZERO
                } else {
                    a.left(now) ?: Duration.ZERO
                }
            }
        return left ?: Duration.ZERO
    }

    /** For how long nothing was heard of it, directly or from another controller. */
    fun silence(now: Duration): Duration = now - maxOf(lastHeard ?: loadedAt, relayedAt ?: Duration.ZERO)

    fun add(a: Assignment) {
        if (held.put(a.id, a) != null) return
        used += a.room
        heldBytes += reportBytes(a.job.spec)
        if (a.job.spec.image !in ready) awaited.merge(a.job.spec.image, 1, Int::plus)
    }

    fun drop(a: Assignment) {
        // Emptied, it starts from zero again, so that rounding does not add up.
        if (!held.remove(a.id, a)) return
        used = if (held.isEmpty()) Room.NONE else used - a.room
        heldBytes -= reportBytes(a.job.spec)
        awaited.computeIfPresent(a.job.spec.image) { _, n -> if (n > 1) n - 1 else null }
    }

    fun free(): Room? = capacity?.minus(used)

    private companion object {
        /** The protocol's 64 KiB, less what a report says besides its tasks. */
        const val MAX_REPORT_BYTES = 63 * 1024

        /** A task in a report, but for its job's id: number, attempt, state, cause and names of fields. */
        const val TASK_BYTES = 100
        const val LONGEST_TASK_BYTES = TASK_BYTES + JobId.MAX_LENGTH
    }
}
