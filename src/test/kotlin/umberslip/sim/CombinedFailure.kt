package umberslip.sim

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import umberslip.core.JobSpec
import umberslip.settings.RecoveryTuning
import umberslip.settings.Tuning
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Changes the sample jobs to fit a failure. */
typealias JobAdapter = (JobSpec, Random) -> JobSpec

/** Some jobs have many small tasks, so that their progress outgrows a small value. */
val SOME_WITH_MANY_TASKS: JobAdapter = { job, random ->
    if (random.nextInt(4) == 0) {
        job.copy(tasks = 150, cpus = 0.1, memoryGb = 0.1, instanceTypes = null, zone = null, team = "green")
    } else {
        job
    }
}

/**
 * Two faults that meet, brought about on purpose from the fortieth second on. The protocol's rules are checked all the
 * time; once the faults are over, nothing may be left waiting and every job has to finish.
 *
 * @param number goes into the seed, so it never changes
 */
class CombinedFailure(
    private val number: Int,
    private val name: String,
    private val faultRates: FaultRates = FaultRates(lossy = 0.005, late = 0.005),
    /** How much longer than the samples' the run times of tasks are. */
    val runTimeFactor: Double = 4.0,
    /** Whether jobs depend on earlier ones from the start. */
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

    /** In every other run the recovery is switched on, and not on all controllers. */
    private fun tuning(
        controller: Int,
        seed: Int,
    ): Tuning {
        val on = seed % 2 == 0 && controller != 1
        return Tuning(recovery = RecoveryTuning(track = on, returnMissing = on))
    }

    companion object {
        /** Each failure is played with two seeds. */
        fun withSeeds(vararg failures: CombinedFailure): List<Array<Any>> {
            val seeds = 1..2
            return failures.flatMap { failure -> seeds.map { arrayOf<Any>(failure, it) } }
        }
    }
}
