package umberslip.sim

import umberslip.cloud.Offer
import umberslip.core.JobSpec
import umberslip.core.TaskId
import kotlin.time.Duration

/** The states of a task that a simulated worker reports, as the protocol names them. */
enum class SimulatedTaskState(
    val wireName: String,
) {
    FETCHING("fetching"),
    RUNNING("running"),
    EXITED("ended"),
}

/** A task on a machine, as the machine sees it. */
class SimulatedTask(
    val id: TaskId,
    val attempt: Long,
    val spec: JobSpec,
    /** When its image is there. */
    val imageReadyAt: Duration,
    /** When it completes, unless it is stopped. */
    val completesAt: Duration,
) {
    var state = SimulatedTaskState.FETCHING

    /** Why it exited, as the protocol names it. */
    var cause: String? = null

    val isRunning: Boolean get() = state == SimulatedTaskState.RUNNING
    val hasExited: Boolean get() = state == SimulatedTaskState.EXITED
}

/** A machine with its worker. */
class SimulatedMachine(
    val name: String,
    val offer: Offer,
    val provisionedAt: Duration,
    /** When it has booted and its worker begins to send heartbeats. */
    val upAt: Duration,
    /** It fails every task. */
    val isFaulty: Boolean,
) {
    var epoch = 1L
    var sequenceNumber = 0L
    var fencingToken = 0L

    /** When the last heartbeat that was answered was sent. */
    var leaseRenewedAt = upAt

    /** The member that it sends its heartbeats to. */
    var target = 0
    var isTerminated = false

    /** The cloud's list shows it until then, as of the time that the list describes. */
    var terminatedAt = Duration.INFINITE
    var hungUntil = Duration.ZERO

    /** Its heartbeats arrive until then, but no response and no command reaches it. */
    var responsesLostUntil = Duration.ZERO

    /** It reaches no controller until then. */
    var heartbeatsLostUntil = Duration.ZERO
    val tasks = LinkedHashMap<TaskId, SimulatedTask>()
}
