package umberslip.actor

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.cancelChildren
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

class ActorTest {
    private class Collector(
        scope: CoroutineScope,
    ) : Actor<Int>("test", scope, capacity = 3) {
        val received = ArrayList<Int>()

        override suspend fun receive(message: Int) {
            received += message
        }
    }

    @Test
    fun `a full mailbox refuses messages from outside the controller but not its own messages`() =
        runTest {
            // Found by reading the code: after a stall, the heartbeats of all workers filled the mailbox, and the
            // outcome of a write or the event of a cancellation was lost.
            val actor = Collector(this)
            assertTrue(listOf(1, 2, 3).all(actor::trySend))
            assertFalse(actor.trySend(4))
            assertTrue(actor.enqueue(5))
            assertFalse(actor.trySend(6))
            actor.start()
            testScheduler.runCurrent()
            assertEquals(listOf(1, 2, 3, 5), actor.received)
            assertTrue(actor.trySend(7), "the mailbox has been emptied")
            testScheduler.runCurrent()
            assertEquals(listOf(1, 2, 3, 5, 7), actor.received)
            coroutineContext.cancelChildren()
        }
}
