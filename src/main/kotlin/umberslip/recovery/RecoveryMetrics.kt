package umberslip.recovery

import io.micrometer.core.instrument.Gauge
import io.micrometer.core.instrument.MeterRegistry
import umberslip.monitoring.publishGauge
import kotlin.time.Duration
import kotlin.time.DurationUnit

/**
 * Publishes the recovery of the current term, which [currentSnapshot] returns, as metrics. The term is 0 while this
 * controller does not lead, and a time that has not been reached yet is NaN. The names of the metrics must not change:
 * operators' dashboards and [ControllerMetrics] read them.
 */
class RecoveryMetrics(
    private val metrics: MeterRegistry,
    private val currentSnapshot: () -> RecoverySnapshot?,
) {
    /** Registers the gauges; to be called once. They call [currentSnapshot] whenever the metrics are scraped. */
    fun register() {
        gauge(TERM) { it.term.value.toDouble() }
        gauge(PHASE) { it.phase.ordinal.toDouble() }
        gauge(ELAPSED) { seconds(it.elapsed) }
        gauge(RECORDED_TASKS) { it.recordedTasks.toDouble() }
        gauge(UNRECONCILED_MACHINES) { it.unreconciledMachines.toDouble() }
        gauge(UNRECONCILED_TASKS) { it.unreconciledTasks.toDouble() }
        gauge(LOST_TASKS) { it.lostTasks.toDouble() }
        gauge(FIRST_ADOPTION) { seconds(it.firstAdoptionAfter) }
        gauge(MOST_ACCOUNTED_FOR) { seconds(it.mostAccountedForAfter) }
        gauge(COMPLETED) { seconds(it.completedAfter) }
        for (finding in ReconciliationFinding.entries) {
            Gauge
                .builder(FINDINGS) { (currentSnapshot()?.findings?.get(finding) ?: 0).toDouble() }
                .tag(FINDING_TAG, finding.jsonName)
                .register(metrics)
        }
    }

    private fun gauge(
        name: String,
        value: (RecoverySnapshot) -> Double,
    ) {
        metrics.publishGauge(name) { currentSnapshot()?.let(value) ?: 0.0 }
    }

    private fun seconds(time: Duration?): Double = time?.toDouble(DurationUnit.SECONDS) ?: Double.NaN

    companion object {
        const val TERM = "umberslip.recovery.term"
        const val PHASE = "umberslip.recovery.phase"
        const val ELAPSED = "umberslip.recovery.elapsed.seconds"
        const val RECORDED_TASKS = "umberslip.recovery.recorded.tasks"
        const val UNRECONCILED_MACHINES = "umberslip.recovery.unheard.machines"
        const val UNRECONCILED_TASKS = "umberslip.recovery.unheard.tasks"
        const val LOST_TASKS = "umberslip.recovery.lost.tasks"
        const val FIRST_ADOPTION = "umberslip.recovery.first.adoption.seconds"
        const val MOST_ACCOUNTED_FOR = "umberslip.recovery.most.accounted.seconds"
        const val COMPLETED = "umberslip.recovery.settled.seconds"

        /** There is one gauge for each [ReconciliationFinding], identified by [FINDING_TAG]. */
        const val FINDINGS = "umberslip.recovery.findings"
        const val FINDING_TAG = "finding"
    }
}
