package umberslip.agents

/** The names of the protocol between controllers and workers. Nothing outside this package's codecs holds them. */
internal object WorkerProtocol {
    // A heartbeat, and the response to it.
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

    // A task on a machine.
    const val TASK = "piece"
    const val ATTEMPT = "try"
    const val STATE = "status"
    const val EXIT_CAUSE = "cause"
    const val SAVED = "saved"

    // A command.
    const val VERB = "verb"
    const val VERB_START = "start"
    const val VERB_STOP = "stop"
    const val VERB_CLEAR = "clear"
    const val GRACE_PERIOD_SECONDS = "wind_down_s"

    /** Null for a state that the protocol does not have. */
    fun taskState(name: String): TaskState? =
        when (name) {
            "fetching" -> TaskState.FETCHING
            "gathering" -> TaskState.WAITING_FOR_GANG
            "running" -> TaskState.RUNNING
            "saving" -> TaskState.CHECKPOINTING
            "ended" -> TaskState.EXITED
            else -> null
        }

    /** A cause from a later protocol, or none, counts as a failure of no known kind. */
    fun exitCause(name: String?): ExitCause =
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
