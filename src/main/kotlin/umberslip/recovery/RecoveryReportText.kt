package umberslip.recovery

import kotlin.time.Duration
import kotlin.time.DurationUnit

/** Renders a [RecoveryReport] as lines for people, in the terms of the operators' documentation. */
object RecoveryReportText {
    /** Returns the lines, without a line break after the last one. */
    fun render(report: RecoveryReport): String =
        buildList {
            add("status: ${report.status.jsonName.replace('_', ' ')}")
            addAll(recordsLines(report.records))
            for (controller in report.controllers) addAll(controllerLines(controller))
        }.joinToString("\n")

    private fun recordsLines(records: RecordsAnswer): List<String> =
        when (records) {
            is RecordsAnswer.Unreadable -> listOf("records: cannot be read: ${records.reason}")
            is RecordsAnswer.Read -> records.work.toText()
        }

    private fun controllerLines(controller: ControllerAnswer): List<String> =
        when (controller) {
            is ControllerAnswer.NotLeader -> listOf("${controller.address}: does not own")
            is ControllerAnswer.NotTracked ->
                listOf("${controller.address}: recovery is not tracked there (recovery.track)")
            is ControllerAnswer.Unreachable -> listOf("${controller.address}: unreachable: ${controller.reason}")
            is ControllerAnswer.Leader -> leaderLines(controller.address, controller.snapshot)
        }

    private fun leaderLines(
        address: String,
        snapshot: RecoverySnapshot,
    ): List<String> =
        listOf(
            "$address: owns under term ${snapshot.term.value}, ${snapshot.phase.jsonName}, " +
                "took over ${seconds(snapshot.elapsed)} ago",
            "  ${snapshot.recordedTasks} started tasks taken over, ${snapshot.unreconciledTasks} on " +
                "${snapshot.unreconciledMachines} machines not heard yet, " +
                "${snapshot.lostTasks} lost with their machines",
            "  first adopted after ${seconds(snapshot.firstAdoptionAfter)}, nine tenths accounted for after " +
                "${seconds(snapshot.mostAccountedForAfter)}, settled after ${seconds(snapshot.completedAfter)}",
        ) + snapshot.findings.map { (finding, tasks) -> "  ${finding.jsonName}: $tasks" }

    private fun seconds(time: Duration?): String = time?.toString(DurationUnit.SECONDS, 1) ?: "(not yet)"
}
