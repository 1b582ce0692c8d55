package umberslip.provisioning

import io.micrometer.core.instrument.Counter
import io.micrometer.core.instrument.MeterRegistry
import umberslip.core.Clock
import umberslip.monitoring.publishGauge
import kotlin.time.Duration
import kotlin.time.DurationUnit

/**
 * Publishes the outcomes of provisioning requests, the number and age of unresolved requests, how long work has been
 * waiting for machines, and how long jobs have been waiting for their first task.
 */
internal class ProvisioningMetrics(
    private val clock: Clock,
    private val metrics: MeterRegistry,
) {
    private val requests: Map<ProvisioningOutcome, Counter> =
        ProvisioningOutcome.entries.associateWith {
            metrics.counter(REQUESTS, OUTCOME_TAG, it.name.lowercase())
        }

    /** Counts a request with this outcome. */
    fun count(outcome: ProvisioningOutcome) = requests.getValue(outcome).increment()

    /** Registers the gauges; to be called once. A function for a time returns null if there is nothing to measure. */
    fun register(
        unresolvedCount: () -> Int,
        unresolvedSince: () -> Duration?,
        unprovisionedSince: () -> Duration?,
        oldestUnstartedSince: () -> Duration?,
    ) {
        metrics.publishGauge(UNRESOLVED) { unresolvedCount().toDouble() }
        metrics.publishGauge(OLDEST_UNRESOLVED) { secondsSince(unresolvedSince()) }
        metrics.publishGauge(UNPROVISIONED) { secondsSince(unprovisionedSince()) }
        metrics.publishGauge(OLDEST_UNSTARTED) { secondsSince(oldestUnstartedSince()) }
    }

    private fun secondsSince(time: Duration?): Double {
        val passed = if (time == null) Duration.ZERO else clock.now() - time
        return passed.toDouble(DurationUnit.SECONDS)
    }

    companion object {
        const val REQUESTS = "umberslip.provisioning.requests"
        const val OUTCOME_TAG = "outcome"
        const val UNRESOLVED = "umberslip.provisioning.unresolved"
        const val OLDEST_UNRESOLVED = "umberslip.provisioning.oldest.unresolved.seconds"

        /** How long work has waited while no machine was provisioned for it; intended for alerts. */
        const val UNPROVISIONED = "umberslip.provisioning.unprovisioned.seconds"

        /**
         * How long the oldest job without a started task has been runnable, whatever the reason for the wait; intended
         * for alerts.
         */
        const val OLDEST_UNSTARTED = "umberslip.jobs.oldest.unstarted.seconds"
    }
}
