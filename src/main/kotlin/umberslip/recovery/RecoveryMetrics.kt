package umberslip.recovery

import io.micrometer.core.instrument.Gauge
import io.micrometer.core.instrument.MeterRegistry
import kotlin.time.Duration
import kotlin.time.DurationUnit

/**
 * Publishes the recovery of the present term. A controller that does not own shows term 0; a time that has not come yet
 * is not a number.
 */
class RecoveryMetrics(
    private val metrics: MeterRegistry,
    private val current: () -> RecoverySnapshot?,
) {
    fun register() {
        gauge(TERM) { it.term.value.toDouble() }
        gauge(PHASE) { it.phase.ordinal.toDouble() }
        gauge(ELAPSED) { seconds(it.elapsed) }
        gauge(RECORDED_TASKS) { it.recordedTasks.toDouble() }
        gauge(UNHEARD_MACHINES) { it.unheardMachines.toDouble() }
        gauge(UNHEARD_TASKS) { it.unheardTasks.toDouble() }
        gauge(LOST_TASKS) { it.lostTasks.toDouble() }
        gauge(FIRST_ADOPTION) { seconds(it.firstAdoption) }
        gauge(MOST_ACCOUNTED_FOR) { seconds(it.mostAccountedFor) }
        gauge(SETTLED) { seconds(it.settled) }
        for (finding in ReconciliationFinding.entries) {
            Gauge
                .builder(FINDINGS) { (current()?.findings?.get(finding) ?: 0).toDouble() }
                .tag(FINDING_TAG, finding.name.lowercase())
                .register(metrics)
        }
    }

    private fun gauge(
        name: String,
        value: (RecoverySnapshot) -> Double,
    ) {
        Gauge.builder(name) { current()?.let(value) ?: 0.0 }.register(metrics)
    }

    private fun seconds(time: Duration?): Double = time?.toDouble(DurationUnit.SECONDS) ?: Double.NaN

    companion object {
        const val TERM = "umberslip.recovery.term"
        const val PHASE = "umberslip.recovery.phase"
        const val ELAPSED = "umberslip.recovery.elapsed.seconds"
        const val RECORDED_TASKS = "umberslip.recovery.recorded.tasks"
        const val UNHEARD_MACHINES = "umberslip.recovery.unheard.machines"
        const val UNHEARD_TASKS = "umberslip.recovery.unheard.tasks"
        const val LOST_TASKS = "umberslip.recovery.lost.tasks"
        const val FIRST_ADOPTION = "umberslip.recovery.first.adoption.seconds"
        const val MOST_ACCOUNTED_FOR = "umberslip.recovery.most.accounted.seconds"
        const val SETTLED = "umberslip.recovery.settled.seconds"
        const val FINDINGS = "umberslip.recovery.findings"
        const val FINDING_TAG = "finding"
    }
}
