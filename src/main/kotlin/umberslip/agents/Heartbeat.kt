package umberslip.agents

import umberslip.core.MachineName
import umberslip.core.TaskId
import umberslip.core.Term
import umberslip.http.DocumentReader
import umberslip.http.Documents
import umberslip.http.MalformedMessageException

enum class TaskState(
    val word: String,
) {
    FETCHING("fetching"),
    WAITING_FOR_GANG("gathering"),
    RUNNING("running"),
    CHECKPOINTING("saving"),
    EXITED("ended"),
    ;

    companion object {
        fun of(word: String): TaskState? = entries.find { it.word == word }
    }
}

enum class ExitCause(
    val word: String,
) {
    DONE("done"),
    STOPPED("halted"),
    GANG_MEMBER_LOST("peers"),
    GANG_INCOMPLETE("alone"),
    ERROR("error"),
    MACHINE_FULL("full"),
    ALREADY_PRESENT("busy"),
    UNKNOWN("unknown"),
    ;

    companion object {
        /** A cause from a later protocol counts as a failure of no known kind. */
        fun of(word: String?): ExitCause = entries.find { it.word == word } ?: ERROR
    }
}

data class ReportedTask(
    val task: TaskId,
    val attempt: Long,
    val status: TaskState,
    val cause: ExitCause?,
    val saved: Boolean,
)

/** Which report of its machine one is: a session, and a number within it. The larger is the newer. */
data class HeartbeatVersion(
    val session: Long,
    val sequenceNumber: Long,
) : Comparable<HeartbeatVersion> {
    override fun compareTo(other: HeartbeatVersion): Int = compareValuesBy(this, other, HeartbeatVersion::session, HeartbeatVersion::sequenceNumber)

    /** The worker sent nothing in between. */
    fun follows(other: HeartbeatVersion): Boolean = session == other.session && sequenceNumber == other.sequenceNumber + 1
}

/** What a worker says of its machine. */
data class Heartbeat(
    val machineName: MachineName,
    val type: String,
    val zone: String,
    val spot: Boolean,
    val heartbeatVersion: HeartbeatVersion,
    val fencingToken: Term,
    val warningSeconds: Double?,
    val tasks: List<ReportedTask>,
) {
    companion object {
        /** Hundreds come every second, each with all that is on a machine, so they are read as they stream by. */
        fun parse(body: ByteArray): Heartbeat = Documents.readCbor(body, ::read)

        private fun read(s: DocumentReader): Heartbeat {
            var machineName: String? = null
            var type: String? = null
            var zone: String? = null
            var spot = false
            var session: Long? = null
            var sequenceNumber: Long? = null
            var fencingToken: Long? = null
            var warning: Double? = null
            val tasks = ArrayList<ReportedTask>()
            s.map { name ->
                when (name) {
                    "host" -> machineName = s.text(name)
                    "hosttype" -> type = s.text(name)
                    "hall" -> zone = s.text(name)
                    "reclaimable" -> if (!s.isNull) spot = s.flag(name)
                    "shift" -> session = s.long(name)
                    "counter" -> sequenceNumber = s.long(name)
                    "warrant" -> fencingToken = s.long(name)
                    "warning_s" -> if (!s.isNull) warning = s.number(name)
                    "pieces" -> s.list { tasks += piece(s) }
                    else -> s.skip()
                }
            }
            return Heartbeat(
                MachineName(there(machineName, "host").ifEmpty { throw MalformedMessageException("host is empty") }),
                there(type, "hosttype"),
                there(zone, "hall"),
                spot,
                HeartbeatVersion(there(session, "shift"), there(sequenceNumber, "counter")),
                Term(there(fencingToken, "warrant")),
                warning,
                tasks,
            )
        }

        private fun piece(s: DocumentReader): ReportedTask {
            var task: TaskId? = null
            var attempt: Long? = null
            var status: TaskState? = null
            var cause: String? = null
            var saved = false
            s.map { name ->
                when (name) {
                    "piece" -> task = TaskId.parse(s.text(name)) ?: throw MalformedMessageException("piece is not a task id")
                    "try" -> attempt = s.long(name)
                    "status" -> status = TaskState.of(s.text(name)) ?: throw MalformedMessageException("unknown status of a piece")
                    "cause" -> if (!s.isNull) cause = s.text(name)
                    "saved" -> if (!s.isNull) saved = s.flag(name)
                    else -> s.skip()
                }
            }
            val state = there(status, "status")
            return ReportedTask(
                there(task, "piece"),
                there(attempt, "try"),
                state,
                if (state == TaskState.EXITED) ExitCause.of(cause) else null,
                saved,
            )
        }

        private fun <T : Any> there(
            value: T?,
            name: String,
        ): T = value ?: throw MalformedMessageException("$name is missing")
    }
}
