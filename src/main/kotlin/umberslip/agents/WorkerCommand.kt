package umberslip.agents

import umberslip.core.TaskId
import umberslip.core.Term

private const val VERB = "verb"
private const val TASK = "piece"
private const val ATTEMPT = "try"
private const val GRACE_PERIOD_SECONDS = "wind_down_s"
private const val FENCING_TOKEN = "warrant"
private const val COMMANDS = "orders"

/** A command to a worker. The same command may be given again until a heartbeat shows that it was carried out. */
sealed interface WorkerCommand {
    val task: TaskId
    val attempt: Long

    /** The command as the protocol has it. */
    fun toMap(): Map<String, Any?>

    /** Starts a task under an attempt number that the worker has not had yet. */
    data class Start(
        override val task: TaskId,
        override val attempt: Long,
    ) : WorkerCommand {
        override fun toMap() = mapOf(VERB to "start", TASK to task.toString(), ATTEMPT to attempt)
    }

    /** Stops a task; one that saves checkpoints gets [gracePeriodSeconds] to save the last one. */
    data class Stop(
        override val task: TaskId,
        override val attempt: Long,
        val gracePeriodSeconds: Double,
    ) : WorkerCommand {
        override fun toMap() =
            mapOf(
                VERB to "stop",
                TASK to task.toString(),
                ATTEMPT to attempt,
                GRACE_PERIOD_SECONDS to gracePeriodSeconds,
            )
    }

    /** Removes an exited task from the worker's heartbeats. */
    data class Clear(
        override val task: TaskId,
        override val attempt: Long,
    ) : WorkerCommand {
        override fun toMap() = mapOf(VERB to "clear", TASK to task.toString(), ATTEMPT to attempt)
    }
}

/** The answer that renews a worker's lease, if [term] is not lower than the fencing token that the worker has seen. */
data class HeartbeatResponse(
    val term: Term,
    val commands: List<WorkerCommand> = emptyList(),
) {
    /** The answer as the protocol has it. */
    fun toMap(): Map<String, Any?> = mapOf(FENCING_TOKEN to term.value, COMMANDS to commands.map { it.toMap() })
}
