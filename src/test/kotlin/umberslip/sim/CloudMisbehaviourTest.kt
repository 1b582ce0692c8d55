package umberslip.sim

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.EnumSource
import umberslip.core.Priority
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Checks that jobs finish if the cloud provisions any machines, whatever protocol violations it commits. */
class CloudMisbehaviourTest {
    @ParameterizedTest
    @EnumSource(names = ["REJECTS_ALL"], mode = EnumSource.Mode.EXCLUDE)
    fun `jobs finish and idle machines are terminated despite a misbehaving cloud`(misbehaviour: CloudMisbehaviour) {
        val cluster = cluster(seed = 3)
        cluster.run(10.seconds)
        cluster.cloudMisbehaviour = misbehaviour
        submitWaves(cluster, waves = 4)
        assertAllFinish(cluster, within = 300.seconds)
        // All idle machines are terminated, except for one if its termination is rejected.
        cluster.run(120.seconds)
        assertTrue(cluster.upMachines().size <= 1, "\n${cluster.describe()}")
        cluster.end()
        assertEquals(emptyList<String>(), cluster.violations.take(5))
    }

    @ParameterizedTest
    @EnumSource(names = ["REJECTS_ALL"])
    fun `rejected provisioning requests are retried`(misbehaviour: CloudMisbehaviour) {
        val cluster = cluster(seed = 4)
        cluster.cloudMisbehaviour = misbehaviour
        submitWaves(cluster, waves = 1)
        cluster.run(80.seconds)
        // Each of the eight offers is requested after 0, 15 and 45 seconds, and possibly after 75 seconds.
        assertTrue(cluster.provisioningRequests in 8..32, "${cluster.provisioningRequests} requests")
        cluster.cloudMisbehaviour = null
        assertAllFinish(cluster, within = 300.seconds)
        cluster.end()
        assertEquals(emptyList<String>(), cluster.violations.take(5))
    }

    private fun cluster(seed: Int): SimulatedCluster {
        val cluster =
            SimulatedCluster(seed, FaultRates(lossy = 0.0, late = 0.0), ClusterSize(20), Fixtures::settingsJson)
        repeat(3, cluster::startController)
        return cluster
    }

    private fun submitWaves(
        cluster: SimulatedCluster,
        waves: Int,
    ) {
        val random = Random(waves)
        repeat(waves) { wave ->
            repeat(3) { cluster.submit(job(random, wave * 10 + it), cancelAfter = null) }
            cluster.run(25.seconds)
        }
    }

    private fun job(
        random: Random,
        number: Int,
    ) = Fixtures.unboundJob(random, number).copy(
        tasks = 60,
        cpus = 2.0,
        priority = Priority.NORMAL,
        spot = number % 2 == 0,
        expectedSeconds = 5.0,
    )

    private fun assertAllFinish(
        cluster: SimulatedCluster,
        within: Duration,
    ) {
        val deadline = cluster.now() + within
        while (cluster.openJobs().isNotEmpty() && cluster.now() < deadline) cluster.run(5.seconds)
        assertEquals(emptyList<String>(), cluster.openJobs(), cluster.describe())
        assertTrue(cluster.finishedJobs > 0)
    }
}
