package umberslip.recovery

import io.micrometer.core.instrument.MeterRegistry
import umberslip.core.Clock
import umberslip.core.Term
import umberslip.scheduling.LeaderTermListener
import kotlin.time.Duration

/**
 * Tracks the recovery in each term in which this controller leads, and publishes the recovery of the current term as
 * metrics.
 */
class RecoveryMonitor(
    private val clock: Clock,
    metrics: MeterRegistry,
) : LeaderTermListener {
    /** Null while this controller does not lead. */
    private var currentTracker: RecoveryTracker? = null

    init {
        RecoveryMetrics(metrics) { currentTracker?.snapshot(clock.now()) }.register()
    }

    override fun elected(
        term: Term,
        now: Duration,
    ): RecoveryTracker = RecoveryTracker(term, now).also { currentTracker = it }

    override fun steppedDown() {
        currentTracker = null
    }
}
