package umberslip.sim

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import umberslip.core.JobSpec
import umberslip.settings.RecoveryTuning
import umberslip.settings.Tuning
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Adapts a sample job to the scenario. */
typealias JobAdapter = (JobSpec, Random) -> JobSpec

/** Gives some jobs many small tasks, so that their progress exceeds a small limit on the size of values. */
val SOME_WITH_MANY_TASKS: JobAdapter = { job, random ->
    if (random.nextInt(4) == 0) {
        job.copy(tasks = 150, cpus = 0.1, memoryGb = 0.1, instanceTypes = null, zone = null, team = "green")
    } else {
        job
    }
}

/**
 * A scenario of faults that coincide, injected from second 40 on. The protocol's rules are checked throughout. Once the
 * faults are over, no job may be left waiting and every job has to end.
 *
 * @param number part of the random seed, so it must never change
 */
class CombinedFailure(
    private val number: Int,
    private val name: String,
    private val faultRates: FaultRates = FaultRates(lossy = 0.005, late = 0.005),
    /** The factor by which the run times of the sample jobs' tasks are multiplied. */
    val runTimeFactor: Double = 4.0,
    /** Whether submitted jobs depend on earlier ones from the start. */
    val withDependencies: Boolean = false,
    private val settingsJson: (String) -> String = Fixtures::settingsJson,
    val adaptJob: JobAdapter = { job, _ -> job },
    private val play: FailureScenario.() -> Unit,
) {
    override fun toString(): String = name

    fun check(seed: Int) {
        val random = Random(seed * 100 + number)
        val cluster = SimulatedCluster(seed, faultRates, ClusterSize(5), settingsJson, { tuning(it, seed) })
        for (controller in 0..2) cluster.startController(controller)
        val scenario = FailureScenario(this, cluster, random)
        scenario.pause(40)
        scenario.play()
        scenario.pause(5)
        cluster.endFaults()
        var waited = Duration.ZERO
        while (cluster.finishedJobs + cluster.cancelledJobs < cluster.acceptedJobs && waited < 3000.seconds) {
            cluster.run(5.seconds)
            waited += 5.seconds
        }
        cluster.end()
        assertEquals(emptyList<String>(), cluster.violations.take(5))
        val ended = cluster.finishedJobs + cluster.cancelledJobs
        assertEquals(cluster.acceptedJobs, ended, "jobs that ended; ${cluster.describe()}")
        assertTrue(cluster.starts > 20, "only ${cluster.starts} tasks started")
        if (name.startsWith("CANCELLATION_GAP")) {
            assertTrue(scenario.cancelledInGap > 0, "nothing was cancelled in the gap")
        }
    }

    /** Switches the recovery on for every other seed, but not on all controllers. */
    private fun tuning(
        controller: Int,
        seed: Int,
    ): Tuning {
        val isRecoveryOn = seed % 2 == 0 && controller != 1
        return Tuning(recovery = RecoveryTuning(track = isRecoveryOn, returnMissing = isRecoveryOn))
    }

    companion object {
        /** Returns the arguments of a parameterized test that plays each failure with two seeds. */
        fun withSeeds(vararg failures: CombinedFailure): List<Array<Any>> {
            val seeds = 1..2
            return failures.flatMap { failure -> seeds.map { arrayOf<Any>(failure, it) } }
        }
    }
}
