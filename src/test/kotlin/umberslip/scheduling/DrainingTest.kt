package umberslip.scheduling

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import umberslip.agents.WorkerCommand
import kotlin.time.Duration.Companion.seconds

/** Tests machines that are to be terminated, or interrupted by the cloud. */
class DrainingTest {
    private val leader = TestScheduler()

    @Test
    fun `work that found no machine for a minute is placed on a draining one`() {
        // Found by the combined-failures test: the plan counted on a machine that could not take the job,
        // and drained all others.
        leader.startAll(leader.job { it.copy(tasks = 1, expectedSeconds = 30.0) })
        leader.machine("m").isDraining = true
        val job = leader.job { it.copy(tasks = 1, expectedSeconds = 300.0) }
        leader.dispatch("m")
        assertTrue(job.assigned.isEmpty())
        leader.now += 61.seconds
        leader.dispatch("m")
        assertEquals(1, job.assigned.size)
    }

    @Test
    fun `a machine with an interruption notice gets no work and saves checkpoints in time`() {
        val job = leader.job { it.copy(checkpointIntervalSeconds = 30.0, checkpointSaveSeconds = 4.0) }
        leader.startAll(job)
        leader.heartbeat("m", *job.placedTasks().map(::running).toTypedArray(), noticeSeconds = 12.0)
        leader.tick()
        assertEquals(emptyList<WorkerCommand>(), leader.commands("m"))
        leader.now += 6.seconds
        leader.tick()
        assertEquals(List(3) { 4.0 }, leader.commands("m").map { (it as WorkerCommand.Stop).gracePeriodSeconds })
    }

    @Test
    fun `a draining machine takes only tasks that end before it can be terminated`() {
        val long = leader.job { it.copy(tasks = 1, expectedSeconds = 100.0) }
        leader.startAll(long)
        leader.machine("m").isDraining = true
        leader.job { it.copy(tasks = 1, expectedSeconds = 300.0) }
        val short = leader.job { it.copy(tasks = 1, expectedSeconds = 20.0) }
        leader.dispatch("m")
        assertEquals(
            setOf(long.spec.id, short.spec.id),
            leader.tasksOn("m").map { it.job.spec.id }.toSet(),
        )
    }
}
