package umberslip.agents

/** The names of the protocol between controllers and workers. Only the codecs of this package use them. */
internal object WorkerProtocol {
    // Fields of a heartbeat and of its response.
    const val MACHINE = "host"
    const val INSTANCE_TYPE = "hosttype"
    const val ZONE = "hall"
    const val SPOT = "reclaimable"
    const val AGENT_EPOCH = "shift"
    const val SEQUENCE_NUMBER = "counter"
    const val FENCING_TOKEN = "warrant"
    const val INTERRUPTION_NOTICE_SECONDS = "warning_s"
    const val TASKS = "pieces"
    const val COMMANDS = "orders"

    // Fields of a reported task.
    const val TASK = "piece"
    const val ATTEMPT = "try"
    const val STATE = "status"
    const val EXIT_CAUSE = "cause"
    const val SAVED = "saved"

    // Fields and verbs of a command.
    const val VERB = "verb"
    const val VERB_START = "start"
    const val VERB_STOP = "stop"
    const val VERB_CLEAR = "clear"
    const val GRACE_PERIOD_SECONDS = "wind_down_s"

    /** Returns the state with this [name] in the protocol, or null if there is none. */
    fun parseTaskState(name: String): TaskState? =
        when (name) {
            "fetching" -> TaskState.FETCHING
            "gathering" -> TaskState.WAITING_FOR_GANG
            "running" -> TaskState.RUNNING
            "saving" -> TaskState.CHECKPOINTING
            "ended" -> TaskState.EXITED
            else -> null
        }

    /** Returns [ExitCause.ERROR] if the cause is missing or comes from a later version of the protocol. */
    fun parseExitCause(name: String?): ExitCause =
        when (name) {
            "done" -> ExitCause.DONE
            "halted" -> ExitCause.STOPPED
            "peers" -> ExitCause.GANG_MEMBER_LOST
            "alone" -> ExitCause.GANG_INCOMPLETE
            "full" -> ExitCause.MACHINE_FULL
            "busy" -> ExitCause.ALREADY_PRESENT
            "unknown" -> ExitCause.UNKNOWN
            else -> ExitCause.ERROR
        }
}
