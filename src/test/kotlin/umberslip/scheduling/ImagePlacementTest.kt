package umberslip.scheduling

import io.kotest.property.arbitrary.long
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test
import umberslip.core.MachineName
import umberslip.core.Priority
import kotlin.time.Duration.Companion.seconds

/** Tests that a job is placed on a machine with its image, as far as it has time to wait for one. */
class ImagePlacementTest {
    private val leader = TestScheduler()

    @Test
    fun `a new job waits a short time for a machine that has its image`() {
        val first = leader.job { it.copy(image = "one") }
        leader.startAll(first)
        val next = leader.job { it.copy(image = "one", tasks = 1) }
        leader.heartbeat("n")
        leader.dispatch("n")
        assertEquals(0, next.assigned.size)
        leader.heartbeat("m", *first.placedTasks().map(::running).toTypedArray())
        leader.dispatch("m")
        assertEquals(MachineName("m"), next.placedTasks().single().machineName)
        val other = leader.job { it.copy(image = "one", tasks = 1) }
        leader.now += 2.seconds
        leader.dispatch("n")
        assertEquals(MachineName("n"), other.placedTasks().single().machineName, "the wait is limited")
    }

    @Test
    fun `a machine fetches one image at a time, and urgent work is placed anywhere`() {
        // Guards against a fault: a third of all processors waited for fetches that shared a machine's bandwidth.
        fun submit(
            image: String,
            priority: Priority = Priority.NORMAL,
        ) = leader.job { it.copy(image = image, imageGb = 6.0, priority = priority, tasks = 1) }
        val first = submit("one")
        leader.heartbeat("m")
        leader.dispatch("m")
        assertEquals(1, first.assigned.size)
        val other = submit("two")
        leader.now += 2.seconds
        leader.dispatch("m")
        assertEquals(0, other.assigned.size, "the job would wait for the fetch of the first image and then for its own")
        val urgent = submit("three", Priority.HIGH)
        leader.dispatch("m")
        assertEquals(1, urgent.assigned.size)
        leader.write()
        leader.heartbeat("m", *(first.placedTasks() + urgent.placedTasks()).map(::running).toTypedArray())
        leader.dispatch("m")
        assertEquals(1, other.assigned.size, "all fetches have ended")
    }

    @Test
    fun `a job whose image is present goes first for a short time while the head of the queue has time`() {
        val present = leader.job { it.copy(image = "one", tasks = 1) }
        leader.startAll(present)
        leader.heartbeat("m", *present.placedTasks().map(::running).toTypedArray())
        val first = leader.job { it.copy(image = "two", tasks = 1, deadlineSeconds = 500.0) }
        val next = leader.job { it.copy(image = "one", tasks = 9, deadlineSeconds = 900.0) }
        leader.now += 2.seconds
        leader.dispatch("m")
        assertEquals(0, first.assigned.size)
        assertEquals(3, next.assigned.size)
        leader.now += 7.seconds
        leader.heartbeat("n")
        leader.dispatch("n")
        assertEquals(1, first.assigned.size, "the head of the queue has been passed over long enough")
    }
}
