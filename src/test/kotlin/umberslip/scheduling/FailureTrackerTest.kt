package umberslip.scheduling

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import umberslip.core.Priority
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Jobs with a mistake fail on every machine until they are cancelled. On the operators' standard day such jobs had 58
 * healthy machines taken for sick, and all their tasks were started anew at every try.
 */
class FailureTrackerTest {
    private val t = TestScheduler()
    private val broken = HashSet<RunningJob>()
    private val faultyMachines = HashSet<String>()
    private val fleet =
        BusyCluster(t, machines = 8) { a -> if (a.job in broken || a.machineName.value in faultyMachines) FAILS_AFTER else null }

    private fun pass(seconds: Int) =
        repeat(seconds) {
            t.now += 1.seconds
            fleet.step()
        }

    private fun brokenJob(tasks: Int) = t.job { it.copy(tasks = tasks, priority = Priority.HIGH) }.also { broken += it }

    private fun sick() =
        t.scheduler.machines.values
            .filter { it.isQuarantined }
            .map { it.name.value }

    @Test
    fun `jobs that fail everywhere make no machine sick, and others run on`() {
        repeat(4) { brokenJob(tasks = 20 + it) }
        val sound = List(10) { t.job { job -> job.copy(tasks = 30) } }
        pass(120)
        assertEquals(emptyList<String>(), sick())
        assertTrue(sound.all { it.finished }, "sound jobs are done")
    }

    @Test
    fun `a job that fails everywhere is tried one task at a time, ever more rarely, and never given up`() {
        val job = brokenJob(tasks = 60)
        pass(30)
        val startsOfFirstWave = fleet.starts
        assertTrue(startsOfFirstWave <= 130, "$startsOfFirstWave starts in the first wave")
        pass(300)
        assertTrue(fleet.starts - startsOfFirstWave in 3..12, "${fleet.starts - startsOfFirstWave} further tries")
        broken.clear()
        pass(150)
        assertTrue(job.finished, "it runs once it no longer fails")
    }

    @Test
    fun `a job in doubt is a reason for one machine at most`() {
        val job = brokenJob(tasks = 200)
        pass(20)
        assertTrue(job.isQuarantined)
        t.now = job.retryAfter + 1.seconds
        val waiting = ClusterSnapshot.of(t.scheduler, t.now).waiting
        assertTrue(waiting.sumOf { it.tasks } <= 1, "$waiting")
    }

    @Test
    fun `machines that fail the tasks of all jobs are told apart, also before any job has succeeded`() {
        faultyMachines += listOf("m2", "m5")
        val jobs = List(6) { t.job { job -> job.copy(tasks = 20, expectedSeconds = 40.0) } }
        pass(30)
        assertEquals(listOf("m2", "m5"), sick().sorted())
        pass(300)
        assertTrue(jobs.all { it.finished }, "all jobs are done")
        assertEquals(listOf("m2", "m5"), sick().sorted())
    }

    @Test
    fun `a task that keeps running shows that its job is sound`() {
        faultyMachines += listOf("m0", "m1")
        val job = t.job { it.copy(tasks = 3, cpus = 16.0, expectedSeconds = 200.0) }
        pass(60)
        assertFalse(job.isQuarantined)
        assertEquals(3, job.assigned.size, "the failed tasks are tried again beside the one that runs")
    }

    private companion object {
        val FAILS_AFTER: Duration = 3.seconds
    }
}
