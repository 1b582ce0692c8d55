package umberslip.scheduling

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertNotNull
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import umberslip.agents.ExitCause
import umberslip.agents.WorkerCommand
import umberslip.core.TaskId
import kotlin.time.Duration.Companion.seconds

/** Tests which commands are sent to a worker, depending on the recorded starts and exits. */
class WorkerCommandsTest {
    private val leader = TestScheduler()

    @Test
    fun `a start is sent to the worker only once it is recorded`() {
        leader.job()
        leader.heartbeat("m")
        leader.dispatch("m")
        assertTrue(leader.scheduler.hasUnrecordedStarts(leader.machine("m")))
        assertEquals(emptyList<WorkerCommand>(), leader.commands("m"))
        leader.write()
        assertEquals(3, leader.starts("m").size)
        assertEquals(emptyList<TaskId>(), leader.commands("m", mayStart = false))
    }

    @Test
    fun `a start that did not arrive is sent again as the same attempt on the same machine`() {
        val job = leader.job()
        leader.heartbeat("m")
        leader.dispatch("m")
        leader.write()
        val first = leader.commands("m")
        leader.heartbeat("m")
        leader.dispatch("m")
        assertEquals(first, leader.commands("m"))
        assertEquals(3, job.assigned.size)
    }

    @Test
    fun `an exited task is cleared only once its exit is recorded`() {
        val job = leader.job()
        leader.startAll(job)
        val exited = job.placedTasks().first()
        val reported = job.placedTasks().map { if (it === exited) ended(it, ExitCause.DONE) else running(it) }
        leader.heartbeat("m", *reported.toTypedArray())
        assertFalse(leader.commands("m").any { it is WorkerCommand.Clear })
        leader.now += 5.seconds
        leader.write()
        leader.heartbeat("m", ended(exited, ExitCause.DONE), *job.placedTasks().map(::running).toTypedArray())
        assertEquals(listOf<WorkerCommand>(WorkerCommand.Clear(exited.id, exited.attempt)), leader.commands("m"))
    }

    @Test
    fun `a task is not started while the worker still lists its former attempt`() {
        // Found by the rules test: the worker refused such a start as busy, again and again.
        val job = leader.job { it.copy(tasks = 1) }
        leader.startAll(job)
        val first = job.placedTasks().single()
        leader.heartbeat("m", ended(first, ExitCause.STOPPED))
        leader.dispatch("m")
        assertEquals(emptyList<WorkerCommand>(), leader.commands("m"))
        leader.write()
        val commands = leader.commands("m")
        assertEquals(WorkerCommand.Clear(first.id, first.attempt), commands.first(), "a later attempt is recorded")
        assertTrue((commands.last() as WorkerCommand.Start).attempt > first.attempt)
    }

    @Test
    fun `no task of a cancelled job is started, and those on the machine are stopped until they are gone`() {
        val job = leader.job { it.copy(tasks = 6) }
        leader.startAll(job)
        leader.cancel(job)
        leader.heartbeat("m", *job.placedTasks().map(::running).toTypedArray())
        leader.dispatch("m")
        assertTrue(leader.commands("m").all { it is WorkerCommand.Stop && it.gracePeriodSeconds == 0.0 })
        leader.write()
        assertNotNull(leader.scheduler.jobs[job.spec.id], "its tasks are still on the machine")
        leader.heartbeat("m")
        leader.write()
        assertNull(leader.scheduler.jobs[job.spec.id])
    }
}
