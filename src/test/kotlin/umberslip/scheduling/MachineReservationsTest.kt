package umberslip.scheduling

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import umberslip.agents.ExitCause
import umberslip.core.Priority
import kotlin.time.Duration.Companion.seconds

/** Tests that a machine is reserved for a job that small tasks would otherwise starve. */
class MachineReservationsTest {
    private val leader = TestScheduler()

    @Test
    fun `the reservation of a machine ends if the job cannot use it`() {
        leader.startAll(leader.job { it.copy(tasks = 1, cpus = 1.0, expectedSeconds = 500.0) })
        val largeJob = leader.job { it.copy(tasks = 1, cpus = 4.0, priority = Priority.CRITICAL) }

        fun advance(seconds: Int) =
            repeat(seconds) {
                leader.now += 1.seconds
                val recorded = leader.tasksOn("m").filter { it.recorded }
                leader.heartbeat("m", *recorded.map(::running).toTypedArray())
                leader.tick()
            }
        advance(33)
        assertEquals(largeJob, leader.machine("m").reservedFor)
        advance(61)
        assertNull(leader.machine("m").reservedFor)
    }

    @Test
    fun `a large task is not starved by small ones`() {
        // Guards against a fault that RulesTest found: every gap was filled before a whole machine was free.
        val smallTasks = leader.job { it.copy(tasks = 100, priority = Priority.IDLE) }
        leader.heartbeat("m", type = "small")
        leader.dispatch("m")
        leader.write()
        val largeJob = leader.job { it.copy(tasks = 1, cpus = 4.0, priority = Priority.CRITICAL) }
        repeat(60) {
            leader.now += 1.seconds
            val recorded = leader.tasksOn("m").filter { it.recorded }.sortedBy { it.index }
            val reported = recorded.mapIndexed { n, task -> if (n == 0) ended(task, ExitCause.DONE) else running(task) }
            leader.heartbeat("m", *reported.toTypedArray())
            leader.dispatch("m")
            leader.write()
            leader.tick()
        }
        assertTrue(
            largeJob.doneCount + largeJob.assigned.size == 1,
            "large task not placed within 60 s; ${smallTasks.assigned.size} small tasks run",
        )
    }
}
