package umberslip.scheduling

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

/** The expected run time of a job's tasks: a moving average over completed tasks, or at first the user's estimate. */
internal class RunTimeEstimate(
    expectedSeconds: Double,
) {
    private var isObserved = false

    var seconds: Double = expectedSeconds.coerceAtLeast(MIN_EXPECTED_SECONDS)
        private set

    /** [seconds] as a duration; cached, since it is read for every task that is considered for placement. */
    var duration: Duration = seconds.seconds
        private set

    /** Includes the run time of a task that has completed. */
    fun add(runTime: Duration) {
        val newest = runTime.toDouble(DurationUnit.SECONDS)
        seconds = if (isObserved) seconds * (1 - NEWEST_WEIGHT) + newest * NEWEST_WEIGHT else newest
        isObserved = true
        duration = seconds.seconds
    }

    private companion object {
        /** Users may state a shorter run time, but no task starts and ends in less than this. */
        const val MIN_EXPECTED_SECONDS = 1.0

        /** High enough to follow a change within a few tasks; low enough that one outlier does not dominate. */
        const val NEWEST_WEIGHT = 0.3
    }
}
