package umberslip.scheduling

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

/** The expected run time of a job's tasks: a moving average of those that completed, before that the user's figure. */
internal class RunTimeEstimate(
    expectedSeconds: Double,
) {
    private var isObserved = false

    var seconds: Double = expectedSeconds.coerceAtLeast(MIN_EXPECTED_SECONDS)
        private set

    /** [seconds] as a duration; stored, since it is read for every task that is considered. */
    var duration: Duration = seconds.seconds
        private set

    /** A task completed after [runTime]. */
    fun observed(runTime: Duration) {
        val newest = runTime.toDouble(DurationUnit.SECONDS)
        seconds = if (isObserved) seconds * (1 - NEWEST_WEIGHT) + newest * NEWEST_WEIGHT else newest
        isObserved = true
        duration = seconds.seconds
    }

    private companion object {
        /** Users may state less, but no task starts and ends in less. */
        const val MIN_EXPECTED_SECONDS = 1.0

        /** High enough to follow a change within a few tasks, low enough that one odd task does not decide. */
        const val NEWEST_WEIGHT = 0.3
    }
}
