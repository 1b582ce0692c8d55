package umberslip.scheduling

import io.kotest.property.arbitrary.long
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test
import umberslip.core.MachineName
import umberslip.core.Priority
import kotlin.time.Duration.Companion.seconds

/** Work is placed where its image is, as far as it has time to wait for that. */
class ImagePlacementTest {
    private val leader = TestScheduler()

    @Test
    fun `new work waits a moment for a machine that has its image`() {
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
        assertEquals(MachineName("n"), other.placedTasks().single().machineName, "but not for long")
    }

    @Test
    fun `a machine fetches one image at a time, and urgent work is placed anywhere`() {
        // Found on the fleet's days: a third of all processors waited for fetches that shared a machine's bandwidth.
        fun of(
            image: String,
            priority: Priority = Priority.NORMAL,
        ) = leader.job { it.copy(image = image, imageGb = 6.0, priority = priority, tasks = 1) }
        val first = of("one")
        leader.heartbeat("m")
        leader.dispatch("m")
        assertEquals(1, first.assigned.size)
        val other = of("two")
        leader.now += 2.seconds
        leader.dispatch("m")
        assertEquals(0, other.assigned.size, "it would wait for the first one's image, and then for its own")
        val urgent = of("three", Priority.HIGH)
        leader.dispatch("m")
        assertEquals(1, urgent.assigned.size)
        leader.write()
        leader.heartbeat("m", *(first.placedTasks() + urgent.placedTasks()).map(::running).toTypedArray())
        leader.dispatch("m")
        assertEquals(1, other.assigned.size, "all that was fetched is there")
    }

    @Test
    fun `work whose image is present goes first while the first in order has time, and not for long`() {
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
        assertEquals(1, first.assigned.size, "it has waited long enough")
    }
}
