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
 * Guards against the quarantine of healthy machines because of faulty jobs, which fail on every machine until they are
 * cancelled. On the operators' standard day, such jobs had caused the quarantine of 58 healthy machines, and all their
 * tasks were restarted at every try.
 */
class FailureTrackerTest {
    private val leader = TestScheduler()
    private val faultyJobs = HashSet<RunningJob>()
    private val faultyMachines = HashSet<String>()
    private val cluster =
        BusyCluster(leader, machines = 8) { task ->
            val fails = task.job in faultyJobs || task.machineName.value in faultyMachines
            if (fails) FAILS_AFTER else null
        }

    private fun advance(seconds: Int) =
        repeat(seconds) {
            leader.now += 1.seconds
            cluster.step()
        }

    private fun faultyJob(tasks: Int): RunningJob {
        val job = leader.job { it.copy(tasks = tasks, priority = Priority.HIGH) }
        faultyJobs += job
        return job
    }

    private fun quarantinedMachines() =
        leader.scheduler.machines.values
            .filter { it.isQuarantined }
            .map { it.name.value }

    @Test
    fun `jobs that fail everywhere cause no machine to be quarantined, and other jobs complete`() {
        repeat(4) { faultyJob(tasks = 20 + it) }
        val healthy = List(10) { leader.job { job -> job.copy(tasks = 30) } }
        advance(120)
        assertEquals(emptyList<String>(), quarantinedMachines())
        assertTrue(healthy.all { it.finished }, "healthy jobs are done")
    }

    @Test
    fun `a job that fails everywhere is retried one task at a time, at growing intervals, without end`() {
        val job = faultyJob(tasks = 60)
        advance(30)
        val startsOfFirstWave = cluster.starts
        assertTrue(startsOfFirstWave <= 130, "$startsOfFirstWave starts in the first wave")
        advance(300)
        assertTrue(cluster.starts - startsOfFirstWave in 3..12, "${cluster.starts - startsOfFirstWave} further tries")
        faultyJobs.clear()
        advance(150)
        assertTrue(job.finished, "the job runs once it no longer fails")
    }

    @Test
    fun `the pending work contains at most one task of a quarantined job`() {
        val job = faultyJob(tasks = 200)
        advance(20)
        assertTrue(job.isQuarantined)
        leader.now = job.retryAfter + 1.seconds
        val waiting = ClusterSnapshot.of(leader.scheduler, leader.now).waiting
        assertTrue(waiting.sumOf { it.tasks } <= 1, "$waiting")
    }

    @Test
    fun `machines on which the tasks of all jobs fail are quarantined, even before any job has succeeded`() {
        faultyMachines += listOf("m2", "m5")
        val jobs = List(6) { leader.job { job -> job.copy(tasks = 20, expectedSeconds = 40.0) } }
        advance(30)
        assertEquals(listOf("m2", "m5"), quarantinedMachines().sorted())
        advance(300)
        assertTrue(jobs.all { it.finished }, "all jobs are done")
        assertEquals(listOf("m2", "m5"), quarantinedMachines().sorted())
    }

    @Test
    fun `a task that keeps running shows that its job is healthy`() {
        faultyMachines += listOf("m0", "m1")
        val job = leader.job { it.copy(tasks = 3, cpus = 16.0, expectedSeconds = 200.0) }
        advance(60)
        assertFalse(job.isQuarantined)
        assertEquals(3, job.assigned.size, "the failed tasks are retried while one is running")
    }

    @Test
    fun `a machine on which every task fails is distinguished from a job that fails everywhere`() {
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
        assertTrue(faulty.retryAfter > leader.now, "the job is backed off")
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
        // Both jobs may be faulty; they get time to show it by their next tries on other machines.
        assertFalse(leader.machine("z").isQuarantined)
        leader.now += 4.seconds
        leader.tick()
        assertTrue(leader.machine("z").isQuarantined)
    }

    private companion object {
        val FAILS_AFTER: Duration = 3.seconds
    }
}
