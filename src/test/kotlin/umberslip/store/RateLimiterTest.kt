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

/** Requests to the key-value store keep to its rate limit, and low-priority requests never delay the others. */
@OptIn(ExperimentalCoroutinesApi::class)
class RateLimiterTest {
    private fun TestScope.rateLimiter(rate: Double) = RateLimiter(rate, Clock { currentTime.milliseconds })

    @Test
    fun `many low-priority requests delay no other request`() =
        runTest {
            val rateLimiter = rateLimiter(40.0)
            val lowPriorityRequests = List(400) { async { rateLimiter.tryTakeLowPriority(1, 500.milliseconds) } }
            testScheduler.runCurrent()
            repeat(10) { rateLimiter.take(1, urgent = false) }
            assertEquals(0L, currentTime, "other requests do not wait for low-priority requests")
            val served = lowPriorityRequests.awaitAll().count { it }
            assertTrue(served in 28..50, "$served low-priority requests were served")
            assertTrue(currentTime <= 500, "the others were refused within the maximum wait: $currentTime ms")
        }

    @Test
    fun `low-priority requests get their guaranteed share while others use up the rate`() =
        runTest {
            val rateLimiter = rateLimiter(20.0)
            val otherRequests =
                launch {
                    while (true) rateLimiter.take(1, urgent = false)
                }
            delay(3.seconds)
            var served = 0
            val began = currentTime
            while (currentTime - began < 4000) {
                if (rateLimiter.tryTakeLowPriority(1, 500.milliseconds)) served++ else delay(50.milliseconds)
            }
            otherRequests.cancel()
            assertTrue(served in 16..24, "$served low-priority requests were served in 4 s")
        }

    @Test
    fun `low-priority requests are served again as the rate allows`() =
        runTest {
            val rateLimiter = rateLimiter(40.0)
            while (rateLimiter.tryTakeLowPriority(1, 0.milliseconds)) Unit
            val before = currentTime
            repeat(20) { assertTrue(rateLimiter.tryTakeLowPriority(1, 500.milliseconds)) }
            assertTrue(currentTime - before in 450..550, "${currentTime - before} ms")
        }
}
