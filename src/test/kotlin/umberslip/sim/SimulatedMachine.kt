package umberslip.sim

import umberslip.cloud.Offer
import umberslip.core.JobSpec
import umberslip.core.TaskId
import kotlin.time.Duration

/** The state of a task on a simulated machine, with its name in the worker protocol. */
enum class SimulatedTaskState(
    val wireName: String,
) {
    FETCHING("fetching"),
    RUNNING("running"),
    EXITED("ended"),
}

/** An attempt of a task on a simulated machine. */
class SimulatedTask(
    val id: TaskId,
    val attempt: Long,
    val spec: JobSpec,
    /** When its image has been fetched. */
    val imageReadyAt: Duration,
    /** When it completes, unless it is stopped. */
    val completesAt: Duration,
) {
    var state = SimulatedTaskState.FETCHING

    /** Why the task exited, in the terms of the worker protocol; null before. */
    var cause: String? = null

    val isRunning: Boolean get() = state == SimulatedTaskState.RUNNING
    val hasExited: Boolean get() = state == SimulatedTaskState.EXITED
}

/** A simulated machine and the state of its worker. */
class SimulatedMachine(
    val name: String,
    val offer: Offer,
    val provisionedAt: Duration,
    /** When the machine has booted and its worker begins to send heartbeats. */
    val upAt: Duration,
    /** Whether every task fails on this machine. */
    val isFaulty: Boolean,
) {
    var epoch = 1L
    var sequenceNumber = 0L
    var fencingToken = 0L

    /**
     * When the worker's lease was last renewed, which is when it sent the latest heartbeat that renewed it. Also set
     * when the lease expires or the machine reboots.
     */
    var leaseRenewedAt = upAt

    /** The controller that the worker sends its heartbeats to. */
    var target = 0
    var isTerminated = false

    /** When the machine was terminated. The cloud's lists that describe an earlier time still include the machine. */
    var terminatedAt = Duration.INFINITE
    var hungUntil = Duration.ZERO

    /** The time until which heartbeats arrive, but no response and hence no command reaches the machine. */
    var responsesLostUntil = Duration.ZERO

    /** The time until which the machine's heartbeats reach no controller. */
    var heartbeatsLostUntil = Duration.ZERO
    val tasks = LinkedHashMap<TaskId, SimulatedTask>()
}
