package umberslip.scheduling

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import umberslip.agents.ExitCause
import umberslip.agents.ReportedTask
import umberslip.core.TaskId
import umberslip.core.Term
import kotlin.random.Random
import kotlin.time.Duration.Companion.seconds

/** The state that a new leader loads from the records. */
class RecordLoaderTest {
    private val leader = TestScheduler()

    @Test
    fun `a new leader keeps recorded tasks assigned until their machine's heartbeat has its term`() {
        val job = leader.job()
        leader.heartbeat("m")
        leader.dispatch("m")
        leader.write()
        val next = leader.successor()
        val loaded = next.scheduler.jobs.getValue(job.spec.id)
        assertEquals(3, loaded.assigned.size)
        next.heartbeat("m", fencingToken = Term(5), sequenceNumber = 10)
        next.heartbeat("other", type = "large")
        next.dispatch("other")
        assertEquals(emptyList<TaskId>(), next.starts("other"))
        // The heartbeat shows that the start commands never arrived, so they are sent again to the same machine.
        next.heartbeat("m", sequenceNumber = 11)
        assertEquals(3, next.starts("m").size)
        next.now += 31.seconds
        next.heartbeat("other", type = "large")
        next.tick()
        next.write()
        next.now += 12.seconds
        next.tick()
        assertEquals(0, loaded.assigned.size)
    }

    @Test
    fun `a successor loads what was recorded in generated histories`() {
        for (seed in 1..40) {
            val random = Random(seed)
            val leader = TestScheduler()
            repeat(3) { leader.job { it.copy(tasks = random.nextInt(1, 90), cpus = 0.5, memoryGb = 0.1) } }
            repeat(30) {
                leader.now += 1.seconds
                val machineName = "m${random.nextInt(4)}"
                val recorded = leader.tasksOn(machineName).filter { it.recorded }
                val reported = recorded.map { runningOrEnded(it, random) }
                leader.heartbeat(machineName, *reported.toTypedArray(), type = "large")
                leader.dispatch(machineName)
                leader.write()
            }
            // Exits may not be recorded yet, but every start is loaded, and no task is loaded as done that is not.
            val next = leader.successor()
            for ((id, job) in leader.scheduler.jobs) {
                val loaded = next.scheduler.jobs.getValue(id)
                val expected = job.assigned.values.associate { it.index to (it.attempt to it.machineName) }
                assertEquals(
                    expected,
                    loaded.assigned.values
                        .filter { it.index in expected }
                        .associate { it.index to (it.attempt to it.machineName) },
                    "seed $seed",
                )
                assertTrue((0 until job.spec.tasks).all { job.isDone(it) || !loaded.isDone(it) }, "seed $seed")
                assertTrue(loaded.highestAttempt() >= job.assigned.values.maxOfOrNull { it.attempt } ?: 0, "seed $seed")
            }
        }
    }

    private fun runningOrEnded(
        assignment: Assignment,
        random: Random,
    ): ReportedTask {
        if (random.nextInt(3) > 0) return running(assignment)
        return ended(assignment, if (random.nextInt(5) == 0) ExitCause.STOPPED else ExitCause.DONE)
    }

    @Test
    fun `tasks whose zone is not known yet count against the zone limit of a job with spread`() {
        // Guards against a failover after which half of a job's tasks were placed in the zone of the other half, as
        // RulesTest found.
        val job = leader.job { it.copy(tasks = 4, spread = true) }
        leader.heartbeat("m", zone = "east")
        leader.dispatch("m")
        leader.write()
        assertEquals(2, job.assigned.size)
        val next = leader.successor()
        next.heartbeat("n", zone = "east")
        next.dispatch("n")
        assertEquals(
            2,
            next.scheduler.jobs
                .getValue(job.spec.id)
                .assigned.size,
        )
        next.heartbeat("m", zone = "east")
        next.now += 2.seconds
        next.heartbeat("o", zone = "west")
        next.dispatch("o")
        assertEquals(
            mapOf("east" to 2, "west" to 2),
            next.scheduler.jobs
                .getValue(job.spec.id)
                .zones,
        )
    }
}
