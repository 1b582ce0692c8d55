package umberslip.leadership

import io.micrometer.core.instrument.MeterRegistry
import umberslip.core.Clock
import umberslip.monitoring.publishGauge
import kotlin.time.Duration
import kotlin.time.DurationUnit

/**
 * Publishes the term of a leading controller, whether it may start tasks, and the ages of the lease renewal and of the
 * read on which that permission depends.
 */
class LeadershipMetrics(
    private val leaderLease: LeaderLease,
    private val clock: Clock,
    private val metrics: MeterRegistry,
) {
    /** Registers the gauges. To be called once. */
    fun register() {
        metrics.publishGauge(TERM) { leaderLease.term?.value?.toDouble() ?: 0.0 }
        metrics.publishGauge(MAY_START) { if (leaderLease.mayStart(clock.now())) 1.0 else 0.0 }
        metrics.publishGauge(RENEWAL_AGE) { ageSeconds(leaderLease.renewedAt) }
        metrics.publishGauge(READ_AGE) { ageSeconds(leaderLease.readAt) }
    }

    private fun ageSeconds(time: Duration): Double = (clock.now() - time).toDouble(DurationUnit.SECONDS)

    companion object {
        /** The term under which this controller leads; 0 while it does not lead. */
        const val TERM = "umberslip.leader.term"

        /** 1 while the leader may start tasks, else 0. */
        const val MAY_START = "umberslip.leader.may.start"

        /** The time since the newest successful renewal of the leader's lease was sent. */
        const val RENEWAL_AGE = "umberslip.leader.renewal.age.seconds"

        /** The time since the newest confirmed read of the records began. */
        const val READ_AGE = "umberslip.records.read.age.seconds"
    }
}
