package umberslip.monitoring

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test
import kotlin.time.Duration.Companion.seconds

class FailureSeriesTest {
    private val series = FailureSeries()

    @Test
    fun `a continuing series is logged again every half minute`() {
        val logged = (0..100).filter { series.countFailure(it.seconds) }
        assertEquals(listOf(0, 30, 60, 90), logged)
        assertEquals(100.seconds, series.duration(100.seconds))
    }

    @Test
    fun `the first failure after a success is logged at once`() {
        series.countFailure(1.seconds)
        series.countFailure(2.seconds)
        assertEquals(2, series.reset())
        assertEquals(0, series.reset())
        assertEquals(true, series.countFailure(3.seconds))
        assertEquals(1.seconds, series.duration(4.seconds))
    }
}
