package umberslip.agents

import umberslip.core.TaskId
import umberslip.core.Term

/** A command to a worker. It may be sent repeatedly until a heartbeat shows that the worker carried it out. */
sealed interface WorkerCommand {
    /** The action, by its name in the protocol. */
    val verb: String
    val task: TaskId

    /** The number that distinguishes one start of the task from another. */
    val attempt: Long

    /** Returns the command in the form of the protocol. */
    fun toMap(): Map<String, Any?> =
        mapOf(
            WorkerProtocol.VERB to verb,
            WorkerProtocol.TASK to task.toString(),
            WorkerProtocol.ATTEMPT to attempt,
        )

    /** Starts a task under an attempt number that the worker has not received before. */
    data class Start(
        override val task: TaskId,
        override val attempt: Long,
    ) : WorkerCommand {
        override val verb get() = WorkerProtocol.VERB_START
    }

    /** Stops a task. A task that saves checkpoints has [gracePeriodSeconds] to save the last one. */
    data class Stop(
        override val task: TaskId,
        override val attempt: Long,
        val gracePeriodSeconds: Double,
    ) : WorkerCommand {
        override val verb get() = WorkerProtocol.VERB_STOP

        override fun toMap() = super.toMap() + (WorkerProtocol.GRACE_PERIOD_SECONDS to gracePeriodSeconds)
    }

    /** Removes an exited task from the worker's heartbeats. */
    data class Clear(
        override val task: TaskId,
        override val attempt: Long,
    ) : WorkerCommand {
        override val verb get() = WorkerProtocol.VERB_CLEAR
    }
}

/** A response that renews a worker's lease if [term] is not lower than the fencing token that the worker has seen. */
data class HeartbeatResponse(
    val term: Term,
    val commands: List<WorkerCommand> = emptyList(),
) {
    /** Returns the response in the form of the protocol. */
    fun toMap(): Map<String, Any?> =
        mapOf(
            WorkerProtocol.FENCING_TOKEN to term.value,
            WorkerProtocol.COMMANDS to commands.map { it.toMap() },
        )
}
