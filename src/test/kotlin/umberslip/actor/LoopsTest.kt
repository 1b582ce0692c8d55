package umberslip.actor

import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import kotlinx.coroutines.test.StandardTestDispatcher
import kotlinx.coroutines.test.TestCoroutineScheduler
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import org.slf4j.LoggerFactory
import kotlin.time.Duration.Companion.seconds

/** A loop continues after a failed iteration and ends with its scope. */
@OptIn(ExperimentalCoroutinesApi::class)
class LoopsTest {
    private val scheduler = TestCoroutineScheduler()
    private val scope = CoroutineScope(StandardTestDispatcher(scheduler) + SupervisorJob())
    private val log = LoggerFactory.getLogger("umberslip.actor")

    @Test
    fun `a failed iteration is followed by the next one`() {
        var iterations = 0
        val loop =
            scope.launchLoop("test", log) {
                iterations++
                delay(1.seconds)
                when (iterations) {
                    2 -> error("an unexpected failure")
                    4 -> throw CancellationException("cancellation of something that the iteration waited for")
                }
            }
        scheduler.advanceTimeBy(10.seconds)
        scheduler.runCurrent()
        assertEquals(9, iterations, "eight in ten seconds with two failure delays, and one that has just begun")
        scope.cancel()
        scheduler.runCurrent()
        assertTrue(loop.isCompleted)
        scheduler.advanceTimeBy(10.seconds)
        assertEquals(9, iterations)
    }
}
