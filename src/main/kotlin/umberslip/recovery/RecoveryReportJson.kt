package umberslip.recovery

import umberslip.http.Documents
import kotlin.time.Duration
import kotlin.time.DurationUnit

/** Renders a [RecoveryReport] as JSON for programs. `recovery.schema.json` describes the format. */
object RecoveryReportJson {
    /** Incremented when a field changes its meaning or is removed. New fields may be added under the same version. */
    const val FORMAT_VERSION = 1

    private const val SCHEMA_RESOURCE = "/umberslip/recovery/recovery.schema.json"

    /** Returns the report as one JSON document. */
    fun render(report: RecoveryReport): String =
        Documents.writeJson(
            mapOf(
                "version" to FORMAT_VERSION,
                "status" to report.status.jsonName,
                "records" to recordsMap(report.records),
                "controllers" to report.controllers.map(::controllerMap),
            ),
        )

    /** Returns the JSON Schema of the documents that [render] returns. */
    fun schema(): String =
        requireNotNull(RecoveryReportJson::class.java.getResource(SCHEMA_RESOURCE)) { "$SCHEMA_RESOURCE is missing" }
            .readText()

    private fun recordsMap(records: RecordsAnswer): Map<String, Any?> =
        when (records) {
            is RecordsAnswer.Unreadable -> mapOf("error" to records.reason)
            is RecordsAnswer.Read ->
                mapOf(
                    "owner" to records.work.leader,
                    "term" to records.work.term.value,
                    "unfinished_jobs" to records.work.unfinishedJobs,
                    "cancelled_jobs" to records.work.cancelledJobs.size,
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
            is ControllerAnswer.Unreachable -> address + mapOf("state" to "unreachable", "error" to controller.reason)
            is ControllerAnswer.Leader ->
                address + mapOf("state" to "owner", "recovery" to snapshotMap(controller.snapshot))
        }
    }

    private fun snapshotMap(snapshot: RecoverySnapshot): Map<String, Any?> =
        mapOf(
            "term" to snapshot.term.value,
            "phase" to snapshot.phase.jsonName,
            "elapsed_s" to seconds(snapshot.elapsed),
            "recorded_tasks" to snapshot.recordedTasks,
            "unheard_machines" to snapshot.unreconciledMachines,
            "unheard_tasks" to snapshot.unreconciledTasks,
            "lost_tasks" to snapshot.lostTasks,
            "first_adoption_s" to seconds(snapshot.firstAdoptionAfter),
            "most_accounted_for_s" to seconds(snapshot.mostAccountedForAfter),
            "settled_s" to seconds(snapshot.completedAfter),
            "findings" to snapshot.findings.mapKeys { it.key.jsonName },
        )

    private fun seconds(time: Duration?): Double? = time?.toDouble(DurationUnit.SECONDS)
}
