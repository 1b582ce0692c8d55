package umberslip.agents

import umberslip.core.MachineName
import umberslip.core.TaskId
import umberslip.core.Term
import umberslip.http.DocumentReader
import umberslip.http.Documents
import umberslip.http.MalformedMessageException

/**
 * Decodes heartbeats. Hundreds arrive every second, each with all tasks of a machine, so they are decoded in one pass
 * without intermediate maps. Unknown fields are skipped.
 */
object HeartbeatCodec {
    /** @throws MalformedMessageException naming the invalid field by its name in the protocol */
    fun parse(body: ByteArray): Heartbeat = Documents.readCbor(body, ::readHeartbeat)

    private fun readHeartbeat(input: DocumentReader): Heartbeat {
        var machineName: String? = null
        var type: String? = null
        var zone: String? = null
        var spot = false
        var agentEpoch: Long? = null
        var sequenceNumber: Long? = null
        var fencingToken: Long? = null
        var noticeSeconds: Double? = null
        val tasks = ArrayList<ReportedTask>()
        input.map { name ->
            when (name) {
                WorkerProtocol.MACHINE -> machineName = input.text(name)
                WorkerProtocol.INSTANCE_TYPE -> type = input.text(name)
                WorkerProtocol.ZONE -> zone = input.text(name)
                WorkerProtocol.SPOT -> if (!input.isNull) spot = input.flag(name)
                WorkerProtocol.AGENT_EPOCH -> agentEpoch = input.long(name)
                WorkerProtocol.SEQUENCE_NUMBER -> sequenceNumber = input.long(name)
                WorkerProtocol.FENCING_TOKEN -> fencingToken = input.long(name)
                WorkerProtocol.INTERRUPTION_NOTICE_SECONDS -> if (!input.isNull) noticeSeconds = input.number(name)
                WorkerProtocol.TASKS -> input.list { tasks += readTask(input) }
                else -> input.skip()
            }
        }
        return Heartbeat(
            parseMachineName(required(machineName, WorkerProtocol.MACHINE)),
            required(type, WorkerProtocol.INSTANCE_TYPE),
            required(zone, WorkerProtocol.ZONE),
            spot,
            HeartbeatVersion(
                required(agentEpoch, WorkerProtocol.AGENT_EPOCH),
                required(sequenceNumber, WorkerProtocol.SEQUENCE_NUMBER),
            ),
            Term(required(fencingToken, WorkerProtocol.FENCING_TOKEN)),
            noticeSeconds,
            tasks,
        )
    }

    private fun parseMachineName(name: String): MachineName {
        if (name.isEmpty()) throw MalformedMessageException("${WorkerProtocol.MACHINE} is empty")
        return MachineName(name)
    }

    private fun readTask(input: DocumentReader): ReportedTask {
        var task: TaskId? = null
        var attempt: Long? = null
        var state: TaskState? = null
        var cause: String? = null
        var saved = false
        input.map { name ->
            when (name) {
                WorkerProtocol.TASK -> task = parseTaskId(input.text(name))
                WorkerProtocol.ATTEMPT -> attempt = input.long(name)
                WorkerProtocol.STATE -> state = parseTaskState(input.text(name))
                WorkerProtocol.EXIT_CAUSE -> if (!input.isNull) cause = input.text(name)
                WorkerProtocol.SAVED -> if (!input.isNull) saved = input.flag(name)
                else -> input.skip()
            }
        }
        val requiredState = required(state, WorkerProtocol.STATE)
        return ReportedTask(
            required(task, WorkerProtocol.TASK),
            required(attempt, WorkerProtocol.ATTEMPT),
            requiredState,
            if (requiredState == TaskState.EXITED) WorkerProtocol.parseExitCause(cause) else null,
            saved,
        )
    }

    private fun parseTaskId(text: String): TaskId {
        val task = TaskId.parse(text)
        return task ?: throw MalformedMessageException("${WorkerProtocol.TASK} is not a task id")
    }

    private fun parseTaskState(name: String): TaskState =
        WorkerProtocol.parseTaskState(name)
            ?: throw MalformedMessageException("unknown ${WorkerProtocol.STATE} of a ${WorkerProtocol.TASK}")

    private fun <T : Any> required(
        value: T?,
        name: String,
    ): T = value ?: throw MalformedMessageException("$name is missing")
}
