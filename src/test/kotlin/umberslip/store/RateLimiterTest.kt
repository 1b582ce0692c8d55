package umberslip.store

import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.currentTime
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import umberslip.core.Clock
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Requests to the key-value store keep to its rate, and look-ups for users never delay the others. */
@OptIn(ExperimentalCoroutinesApi::class)
class RateLimiterTest {
    private fun TestScope.rateLimiter(rate: Double) = RateLimiter(rate, Clock { currentTime.milliseconds })

    @Test
    fun `a flood of look-ups delays no other request`() =
        runTest {
            val rateLimiter = rateLimiter(40.0)
            val lookUps = List(400) { async { rateLimiter.takeSpare(1, 500.milliseconds) } }
            testScheduler.runCurrent()
            repeat(10) { rateLimiter.take(1, urgent = false) }
            assertEquals(0L, currentTime, "reads wait for no look-up")
            val served = lookUps.awaitAll().count { it }
            assertTrue(served in 28..50, "$served look-ups were served")
            assertTrue(currentTime <= 500, "the others were refused within their patience: $currentTime ms")
        }

    @Test
    fun `look-ups have their guaranteed share while others use up the rate`() =
        runTest {
            val rateLimiter = rateLimiter(20.0)
            val others =
                launch {
                    while (true) rateLimiter.take(1, urgent = false)
                }
            delay(3.seconds)
            var served = 0
            val began = currentTime
            while (currentTime - began < 4000) {
                if (rateLimiter.takeSpare(1, 500.milliseconds)) served++ else delay(50.milliseconds)
            }
            others.cancel()
            assertTrue(served in 16..24, "$served look-ups in 4 s")
        }

    @Test
    fun `look-ups are served again as the rate allows`() =
        runTest {
            val rateLimiter = rateLimiter(40.0)
            while (rateLimiter.takeSpare(1, 0.milliseconds)) Unit
            val before = currentTime
            repeat(20) { assertTrue(rateLimiter.takeSpare(1, 500.milliseconds)) }
            assertTrue(currentTime - before in 450..550, "${currentTime - before} ms")
        }
}
