package umberslip.scheduling

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import umberslip.agents.ExitCause
import umberslip.core.JobId
import umberslip.http.Documents
import kotlin.time.Duration.Companion.seconds

/** Tests which tasks a machine gets in a dispatch round, and in which order. */
class DispatchRoundsTest {
    private val leader = TestScheduler()

    @Test
    fun `a task that is done is not placed again`() {
        val job = leader.job { it.copy(tasks = 6) }
        leader.startAll(job)
        val first = job.placedTasks().first()
        val reported = job.placedTasks().map { if (it === first) ended(it, ExitCause.DONE) else running(it) }
        leader.heartbeat("m", *reported.toTypedArray())
        leader.dispatch("m")
        assertTrue(job.isDone(first.index))
        assertFalse(job.assigned.containsKey(first.index))
        assertEquals(job.spec.tasks, job.doneCount + job.assigned.size + job.waiting)
    }

    @Test
    fun `a machine gets no more tasks than fit in its heartbeats`() {
        val job = leader.job { it.copy(tasks = 5000, cpus = 0.001, memoryGb = 0.001, id = JobId("x".repeat(100))) }
        repeat(20) {
            leader.heartbeat("m", *job.placedTasks().map { running(it) }.toTypedArray())
            leader.dispatch("m")
            leader.write()
        }
        val tasks =
            job.placedTasks().map {
                mapOf(
                    "piece" to it.id.toString(),
                    "try" to Long.MAX_VALUE,
                    "status" to "ended",
                    "cause" to "unknown",
                    "saved" to true,
                )
            }
        assertTrue(tasks.size > 200, "${tasks.size} tasks")
        assertTrue(Documents.jsonSize(tasks) < 64 * 1024, "${Documents.jsonSize(tasks)} bytes")
    }

    @Test
    fun `a dispatch round that runs out of time continues where it stopped`() {
        val job = leader.job { it.copy(tasks = 10, cpus = 0.1) }
        leader.heartbeat("m")
        var rounds = 0
        while (!leader.scheduler.dispatch(leader.machine("m"), leader.now) { true }) rounds++
        assertEquals(10, rounds)
        assertEquals((0 until 10).toSet(), job.assigned.keys)
    }

    @Test
    fun `a job that can meet its deadline is placed before a job that has missed its deadline`() {
        val late = leader.job { it.copy(tasks = 1) }
        leader.now += 55.seconds
        leader.tick()
        val inTime = leader.job { it.copy(tasks = 4) }
        leader.heartbeat("m")
        leader.dispatch("m")
        assertEquals(4, inTime.assigned.size)
        assertEquals(0, late.assigned.size)
    }

    @Test
    fun `the cost of a full machine's heartbeat does not depend on the number of waiting jobs`() {
        leader.job { it.copy(tasks = 4, cpus = 1.0, memoryGb = 0.5) }
        leader.heartbeat("m")
        leader.now += 2.seconds
        leader.dispatch("m")
        repeat(500) { n -> leader.job { it.copy(tasks = 10, cpus = 1.0 + n % 3) } }
        val before =
            leader.scheduler.teams
                .getValue("green")
                .jobsConsidered
        repeat(20) {
            leader.heartbeat("m")
            leader.dispatch("m")
        }
        assertEquals(
            before,
            leader.scheduler.teams
                .getValue("green")
                .jobsConsidered,
        )
    }
}
