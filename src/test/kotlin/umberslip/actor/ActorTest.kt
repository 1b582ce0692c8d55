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
        val seen = ArrayList<Int>()

        override suspend fun receive(message: Int) {
            seen += message
        }
    }

    @Test
    fun `what comes from outside is refused when the mailbox is full, and what is owed never`() =
        runTest {
            // Found by reading: with every worker reporting at once after a stall, the outcome of a write or the
            // news of a cancellation had no room in the mailbox and was gone.
            val actor = Collector(this)
            assertTrue(listOf(1, 2, 3).all(actor::trySend))
            assertFalse(actor.trySend(4))
            assertTrue(actor.enqueue(5))
            assertFalse(actor.trySend(6))
            actor.start()
            testScheduler.runCurrent()
            assertEquals(listOf(1, 2, 3, 5), actor.seen)
            assertTrue(actor.trySend(7), "there is room again")
            testScheduler.runCurrent()
            assertEquals(listOf(1, 2, 3, 5, 7), actor.seen)
            coroutineContext.cancelChildren()
        }
}
