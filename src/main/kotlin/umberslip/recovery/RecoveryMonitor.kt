package umberslip.recovery

import io.micrometer.core.instrument.MeterRegistry
import umberslip.core.Clock
import umberslip.core.Term
import umberslip.scheduling.LeaderTermListener
import kotlin.time.Duration

/** Tracks the recovery of each term that this controller leads, and publishes that of the present one as metrics. */
class RecoveryMonitor(
    private val clock: Clock,
    metrics: MeterRegistry,
) : LeaderTermListener {
    /** Null while this controller does not lead. */
    private var current: RecoveryTracker? = null

    init {
        RecoveryMetrics(metrics) { current?.snapshot(clock.now()) }.register()
    }

    override fun elected(
        term: Term,
        now: Duration,
    ): RecoveryTracker = RecoveryTracker(term, now).also { current = it }

    override fun steppedDown() {
        current = null
    }
}
