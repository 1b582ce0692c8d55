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

/** What a new leader loads from the records. */
class RecordLoaderTest {
    private val leader = TestScheduler()

    @Test
    fun `a new leader holds recorded tasks until their machine's heartbeat carries its term`() {
        val job = leader.job()
        leader.heartbeat("m")
        leader.dispatch("m")
        leader.write()
        val next = leader.successor()
        val taken = next.scheduler.jobs.getValue(job.spec.id)
        assertEquals(3, taken.assigned.size)
        next.heartbeat("m", fencingToken = Term(5), sequenceNumber = 10)
        next.heartbeat("other", type = "large")
        next.dispatch("other")
        assertEquals(emptyList<TaskId>(), next.starts("other"))
        // The heartbeat shows that the start never arrived: it is sent again, here.
        next.heartbeat("m", sequenceNumber = 11)
        assertEquals(3, next.starts("m").size)
        next.now += 31.seconds
        next.heartbeat("other", type = "large")
        next.tick()
        next.write()
        next.now += 12.seconds
        next.tick()
        assertEquals(0, taken.assigned.size)
    }

    @Test
    fun `a successor loads what was recorded, through generated histories`() {
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
            // Progress may be written later, but every start is there, and nothing is done that is not.
            val next = leader.successor()
            for ((id, job) in leader.scheduler.jobs) {
                val loaded = next.scheduler.jobs.getValue(id)
                val certain = job.assigned.values.associate { it.index to (it.attempt to it.machineName) }
                assertEquals(
                    certain,
                    loaded.assigned.values
                        .filter { it.index in certain }
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
    fun `tasks whose zone is not known yet count against a job's spread`() {
        // Found by the rules test: after a failover, half of a job's tasks were placed beside the other half.
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
