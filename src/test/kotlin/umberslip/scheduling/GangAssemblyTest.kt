package umberslip.scheduling

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import umberslip.core.Shape
import umberslip.core.TaskId
import kotlin.time.Duration.Companion.seconds

/** Tests that the tasks of a gang start together or not at all. */
class GangAssemblyTest {
    private val leader = TestScheduler()

    @Test
    fun `a gang starts as a whole under one attempt, or releases its resources and doubles its timeout`() {
        val gang = leader.job { it.copy(shape = Shape.GANG, tasks = 6) }
        leader.heartbeat("m")
        leader.dispatch("m")
        leader.write()
        assertEquals(4, gang.assigned.size)
        assertEquals(emptyList<TaskId>(), leader.starts("m"))
        val timeout = gang.assemblyTimeout
        leader.now += timeout + 1.seconds
        leader.tick()
        assertEquals(0, gang.assigned.size)
        assertEquals(timeout * 2, gang.assemblyTimeout)
        leader.now += timeout
        for (machineName in listOf("m", "n")) {
            leader.heartbeat(machineName)
            leader.dispatch(machineName)
        }
        leader.write()
        assertEquals(6, leader.starts("m").size + leader.starts("n").size)
        assertEquals(
            1,
            gang.assigned.values
                .map { it.attempt }
                .toSet()
                .size,
        )
        gang.placedTasks().first().requestStop(4.seconds)
        assertTrue(gang.assigned.values.all { it.gracePeriod == 4.seconds }, "stopped together, to save a checkpoint")
    }
}
