package umberslip.scheduling

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import umberslip.agents.ExitCause
import umberslip.core.Priority
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Faulty jobs fail on every machine until they are cancelled. On the operators' standard day such jobs had 58 healthy
 * machines quarantined, and all their tasks were started anew at every try.
 */
class FailureTrackerTest {
    private val leader = TestScheduler()
    private val broken = HashSet<RunningJob>()
    private val faultyMachines = HashSet<String>()
    private val cluster =
        BusyCluster(leader, machines = 8) { task ->
            val fails = task.job in broken || task.machineName.value in faultyMachines
            if (fails) FAILS_AFTER else null
        }

    private fun pass(seconds: Int) =
        repeat(seconds) {
            leader.now += 1.seconds
            cluster.step()
        }

    private fun brokenJob(tasks: Int): RunningJob {
        val job = leader.job { it.copy(tasks = tasks, priority = Priority.HIGH) }
        broken += job
        return job
    }

    private fun quarantinedMachines() =
        leader.scheduler.machines.values
            .filter { it.isQuarantined }
            .map { it.name.value }

    @Test
    fun `jobs that fail everywhere quarantine no machine, and others run on`() {
        repeat(4) { brokenJob(tasks = 20 + it) }
        val healthy = List(10) { leader.job { job -> job.copy(tasks = 30) } }
        pass(120)
        assertEquals(emptyList<String>(), quarantinedMachines())
        assertTrue(healthy.all { it.finished }, "healthy jobs are done")
    }

    @Test
    fun `a job that fails everywhere is tried one task at a time, ever more rarely, and never given up`() {
        val job = brokenJob(tasks = 60)
        pass(30)
        val startsOfFirstWave = cluster.starts
        assertTrue(startsOfFirstWave <= 130, "$startsOfFirstWave starts in the first wave")
        pass(300)
        assertTrue(cluster.starts - startsOfFirstWave in 3..12, "${cluster.starts - startsOfFirstWave} further tries")
        broken.clear()
        pass(150)
        assertTrue(job.finished, "it runs once it no longer fails")
    }

    @Test
    fun `a quarantined job is a reason for one machine at most`() {
        val job = brokenJob(tasks = 200)
        pass(20)
        assertTrue(job.isQuarantined)
        leader.now = job.retryAfter + 1.seconds
        val waiting = ClusterSnapshot.of(leader.scheduler, leader.now).waiting
        assertTrue(waiting.sumOf { it.tasks } <= 1, "$waiting")
    }

    @Test
    fun `machines that fail the tasks of all jobs are quarantined, also before any job has succeeded`() {
        faultyMachines += listOf("m2", "m5")
        val jobs = List(6) { leader.job { job -> job.copy(tasks = 20, expectedSeconds = 40.0) } }
        pass(30)
        assertEquals(listOf("m2", "m5"), quarantinedMachines().sorted())
        pass(300)
        assertTrue(jobs.all { it.finished }, "all jobs are done")
        assertEquals(listOf("m2", "m5"), quarantinedMachines().sorted())
    }

    @Test
    fun `a task that keeps running shows that its job is healthy`() {
        faultyMachines += listOf("m0", "m1")
        val job = leader.job { it.copy(tasks = 3, cpus = 16.0, expectedSeconds = 200.0) }
        pass(60)
        assertFalse(job.isQuarantined)
        assertEquals(3, job.assigned.size, "the failed tasks are tried again beside the one that runs")
    }

    @Test
    fun `a machine that fails everything is distinguished from a job that fails everywhere`() {
        val healthy = leader.job()
        leader.startAll(healthy)
        val reported = healthy.placedTasks().map { if (it.index == 0) ended(it, ExitCause.DONE) else running(it) }
        leader.heartbeat("m", *reported.toTypedArray())
        val faulty = leader.job { it.copy(tasks = 1) }
        for (machineName in listOf("x", "y")) {
            leader.now += 2.seconds
            leader.heartbeat(machineName)
            leader.dispatch(machineName)
            leader.write()
            faulty.placedTasks().forEach { leader.heartbeat(machineName, ended(it, ExitCause.ERROR)) }
        }
        assertFalse(leader.machine("x").isQuarantined || leader.machine("y").isQuarantined)
        assertTrue(faulty.retryAfter > leader.now, "the job waits")
        leader.heartbeat("z")
        leader.dispatch("z")
        assertEquals(0, faulty.assigned.size)

        val one = leader.job { it.copy(tasks = 1) }
        val two = leader.job { it.copy(tasks = 1) }
        leader.now += 2.seconds
        leader.dispatch("z")
        leader.write()
        val failed = (one.placedTasks() + two.placedTasks()).map { ended(it, ExitCause.ERROR) }
        leader.heartbeat("z", *failed.toTypedArray())
        // Both jobs may be faulty; their next tries elsewhere have time to show it.
        assertFalse(leader.machine("z").isQuarantined)
        leader.now += 4.seconds
        leader.tick()
        assertTrue(leader.machine("z").isQuarantined)
    }

    private companion object {
        val FAILS_AFTER: Duration = 3.seconds
    }
}
