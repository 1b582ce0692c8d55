package umberslip.sim

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import umberslip.core.Priority
import kotlin.random.Random
import kotlin.time.Duration.Companion.seconds

/**
 * Runs one job while the only machine that is up fails every task. Only an attempt on another machine can show whether
 * the job or the machine is faulty.
 */
class LoneFaultyMachineTest {
    @Test
    fun `a job is tried for ever on the only machine, which fails every task`() {
        val outcomes = (1..40).mapNotNull(::finishesOnFaultyMachine)
        assertTrue(outcomes.size >= 2, "only ${outcomes.size} of the seeds begin with a faulty machine")
        assertEquals(outcomes.size, outcomes.count { it }, "jobs that finished within four minutes")
    }

    /** Returns whether the job finishes, or null if the first machine of this seed is not faulty. */
    private fun finishesOnFaultyMachine(seed: Int): Boolean? {
        val cluster =
            SimulatedCluster(seed, FaultRates(lossy = 0.0, late = 0.0), ClusterSize(5), Fixtures::settingsJson)
        repeat(3, cluster::startController)
        cluster.run(10.seconds)
        val job = Fixtures.unboundJob(Random(seed), seed).copy(tasks = 4, priority = Priority.NORMAL)
        cluster.submit(job.copy(expectedSeconds = 5.0), cancelAfter = null)
        cluster.run(30.seconds)
        val isFaulty = cluster.upMachines().singleOrNull()?.isFaulty == true
        cluster.run(240.seconds)
        cluster.end()
        return if (isFaulty) cluster.finishedJobs == 1 else null
    }
}
