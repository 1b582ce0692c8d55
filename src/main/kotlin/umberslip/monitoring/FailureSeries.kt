package umberslip.monitoring

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Failures of one kind with no success between them. Says which of them are worth a line of the log: the first, and
 * then one each half minute, so that a series that lasts does not fall silent. Pure.
 */
class FailureSeries {
    /** How many failures there have been since the last success. */
    var count = 0
        private set
    private var began = Duration.ZERO
    private var loggedAt = Duration.ZERO

    /** Counts a failure; true if it is to be logged. */
    fun countFailure(now: Duration): Boolean {
        count++
        if (count == 1) began = now
        if (count > 1 && now - loggedAt < REPEAT_INTERVAL) return false
        loggedAt = now
        return true
    }

    /** How long ago the series began. */
    fun duration(now: Duration): Duration = if (count == 0) Duration.ZERO else now - began

    /** Ends the series; the number of its failures. */
    fun reset(): Int = count.also { count = 0 }

    private companion object {
        val REPEAT_INTERVAL = 30.seconds
    }
}
