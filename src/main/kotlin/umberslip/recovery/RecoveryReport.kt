package umberslip.recovery

import umberslip.http.Documents
import kotlin.time.Duration
import kotlin.time.DurationUnit

/** What an operator learns of the recovery as a whole, and the exit code that says the same to a script. */
@Suppress("MagicNumber") // Each exit code is named by its constant, and documented for operators.
enum class RecoveryStatus(
    val exitCode: Int,
) {
    /** The leader has accounted for every start that it took over. */
    SETTLED(0),

    /** The leader still waits for machines. */
    RECOVERING(3),

    /** The records name no leader: nothing is started until a controller takes over. */
    NO_OWNER(4),

    /** The records name an leader that was not asked, does not answer, or does not track its recovery. */
    OWNER_NOT_HEARD(5),

    /** Neither the records nor an leader could be read. */
    UNKNOWN(6),
}

/** The records as read, or why they could not be. */
sealed interface RecordsAnswer {
    data class Read(
        val work: RecordedWork,
    ) : RecordsAnswer

    data class Unreadable(
        val why: String,
    ) : RecordsAnswer
}

/** The answers of the key-value store and of the controllers, side by side. */
class RecoveryReport(
    private val records: RecordsAnswer,
    private val controllers: List<ControllerAnswer>,
) {
    /** Of several that say they own, one has not yet noticed its successor: the highest term counts. */
    private val leader: ControllerAnswer.Leader? =
        controllers.filterIsInstance<ControllerAnswer.Leader>().maxByOrNull { it.snapshot.term }

    val status: RecoveryStatus =
        when {
            leader != null && !isSuperseded(leader) ->
                if (leader.snapshot.phase == RecoveryPhase.SETTLED) RecoveryStatus.SETTLED else RecoveryStatus.RECOVERING
            records is RecordsAnswer.Unreadable -> RecoveryStatus.UNKNOWN
            (records as RecordsAnswer.Read).work.leader == null -> RecoveryStatus.NO_OWNER
            else -> RecoveryStatus.OWNER_NOT_HEARD
        }

    private fun isSuperseded(leader: ControllerAnswer.Leader): Boolean =
        when (records) {
            is RecordsAnswer.Read -> records.work.term > leader.snapshot.term
            is RecordsAnswer.Unreadable -> false
        }

    fun toText(): String =
        buildList {
            add("status: ${status.name.lowercase().replace('_', ' ')}")
            addAll(recordsText())
            for (controller in controllers) addAll(controllerText(controller))
        }.joinToString("\n")

    private fun recordsText(): List<String> =
        when (records) {
            is RecordsAnswer.Unreadable -> listOf("records: cannot be read: ${records.why}")
            is RecordsAnswer.Read -> records.work.toText()
        }

    private fun controllerText(controller: ControllerAnswer): List<String> =
        when (controller) {
            is ControllerAnswer.NotLeader -> listOf("${controller.address}: does not own")
            is ControllerAnswer.NotTracked ->
                listOf("${controller.address}: recovery is not tracked there (recovery.track)")
            is ControllerAnswer.Unreachable -> listOf("${controller.address}: unreachable: ${controller.why}")
            is ControllerAnswer.Leader -> leaderText(controller.address, controller.snapshot)
        }

    private fun leaderText(
        address: String,
        snapshot: RecoverySnapshot,
    ): List<String> =
        listOf(
            "$address: owns under term ${snapshot.term.value}, ${snapshot.phase.name.lowercase()}, " +
                "took over ${seconds(snapshot.elapsed)} ago",
            "  ${snapshot.recordedTasks} started tasks taken over, ${snapshot.unheardTasks} on " +
                "${snapshot.unheardMachines} machines not heard yet, ${snapshot.lostTasks} lost with their machines",
            "  first adopted after ${seconds(snapshot.firstAdoption)}, nine tenths accounted for after " +
                "${seconds(snapshot.mostAccountedFor)}, settled after ${seconds(snapshot.settled)}",
        ) + snapshot.findings.map { (finding, tasks) -> "  ${finding.name.lowercase()}: $tasks" }

    private fun seconds(time: Duration?): String = time?.toString(DurationUnit.SECONDS, 1) ?: "(not yet)"

    /** As `recovery.schema.json` describes it. */
    fun toJson(): String = Documents.writeJson(toMap())

    private fun toMap(): Map<String, Any?> =
        mapOf(
            "version" to FORMAT_VERSION,
            "status" to status.name.lowercase(),
            "records" to recordsMap(),
            "controllers" to controllers.map(::controllerMap),
        )

    private fun recordsMap(): Map<String, Any?> =
        when (records) {
            is RecordsAnswer.Unreadable -> mapOf("error" to records.why)
            is RecordsAnswer.Read ->
                mapOf(
                    "owner" to records.work.leader,
                    "term" to records.work.term.value,
                    "unfinished_jobs" to records.work.unfinishedJobs,
                    "cancelled_jobs" to records.work.cancelled.size,
                    "started_tasks" to records.work.starts.size,
                    "machines_with_tasks" to records.work.machinesWithTasks,
                    "unreadable" to records.work.unreadable.sorted(),
                )
        }

    private fun controllerMap(controller: ControllerAnswer): Map<String, Any?> {
        val address = mapOf("address" to controller.address)
        return when (controller) {
            is ControllerAnswer.NotLeader -> address + ("state" to "not_owner")
            is ControllerAnswer.NotTracked -> address + ("state" to "not_tracked")
            is ControllerAnswer.Unreachable -> address + mapOf("state" to "unreachable", "error" to controller.why)
            is ControllerAnswer.Leader -> address + ("state" to "owner") + ("recovery" to leaderMap(controller.snapshot))
        }
    }

    private fun leaderMap(snapshot: RecoverySnapshot): Map<String, Any?> =
        mapOf(
            "term" to snapshot.term.value,
            "phase" to snapshot.phase.name.lowercase(),
            "elapsed_s" to number(snapshot.elapsed),
            "recorded_tasks" to snapshot.recordedTasks,
            "unheard_machines" to snapshot.unheardMachines,
            "unheard_tasks" to snapshot.unheardTasks,
            "lost_tasks" to snapshot.lostTasks,
            "first_adoption_s" to number(snapshot.firstAdoption),
            "most_accounted_for_s" to number(snapshot.mostAccountedFor),
            "settled_s" to number(snapshot.settled),
            "findings" to snapshot.findings.mapKeys { it.key.name.lowercase() },
        )

    private fun number(time: Duration?): Double? = time?.toDouble(DurationUnit.SECONDS)

    companion object {
        /** Rises when a field changes its meaning or goes; new fields may come at any time. */
        const val FORMAT_VERSION = 1

        private const val SCHEMA_RESOURCE = "/umberslip/recovery/recovery.schema.json"

        /** The JSON Schema of [toJson]. */
        fun schema(): String =
            requireNotNull(RecoveryReport::class.java.getResource(SCHEMA_RESOURCE)) { "$SCHEMA_RESOURCE is missing" }
                .readText()
    }
}
