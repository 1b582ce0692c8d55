package umberslip.monitoring

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * A series of failures of one kind without a success between them. It decides which failures are logged: the first, and
 * then one every half minute, so that a long series remains visible in the log. Pure: time is an input.
 */
class FailureSeries {
    /** The number of failures since the last success. */
    var count = 0
        private set
    private var startedAt = Duration.ZERO
    private var lastLoggedAt = Duration.ZERO

    /** Counts a failure and returns whether it should be logged. */
    fun countFailure(now: Duration): Boolean {
        count++
        if (count == 1) startedAt = now
        if (count > 1 && now - lastLoggedAt < REPEAT_INTERVAL) return false
        lastLoggedAt = now
        return true
    }

    /** Returns the time since the first failure of the series, or zero if there is no failure. */
    fun duration(now: Duration): Duration = if (count == 0) Duration.ZERO else now - startedAt

    /** Ends the series after a success and returns the number of its failures. */
    fun reset(): Int = count.also { count = 0 }

    private companion object {
        val REPEAT_INTERVAL = 30.seconds
    }
}
