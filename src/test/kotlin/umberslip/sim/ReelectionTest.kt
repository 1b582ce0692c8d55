package umberslip.sim

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import umberslip.core.Priority
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * A controller steps down and is elected again while calls of its previous term are in progress.
 *
 * A call to the cloud may last for 5 s, longer than the leader's lease of 4 s. The first such call that succeeded ended
 * the provisioner's loop (see ProvisioningRequestsTest): the log line `machines provisioned` did not appear again, and
 * jobs that were submitted later waited for machines indefinitely.
 */
class ReelectionTest {
    @ParameterizedTest
    @ValueSource(ints = [1, 2, 3, 4, 5, 6, 7, 8])
    fun `machines are provisioned after every re-election during a call to the cloud`(seed: Int) {
        val random = Random(seed)
        val cluster =
            SimulatedCluster(seed, FaultRates(lossy = 0.0, late = 0.0), ClusterSize(5), Fixtures::settingsJson)
        cluster.startController(0)
        cluster.run(15.seconds)
        cluster.provisioningSlow = true
        repeat(8) { round ->
            repeat(3) { submit(cluster, random, round * 10 + it) }
            cluster.upMachines().take(10).forEach(cluster::kill)
            cluster.run(random.nextInt(1800, 4500).milliseconds)
            cluster.cutFromStore(0, 4500.milliseconds)
            cluster.run(40.seconds)
        }
        cluster.provisioningSlow = false
        cluster.endFaults()
        cluster.upMachines().forEach(cluster::kill)
        submit(cluster, random, 999)
        cluster.run(900.seconds)
        cluster.end()
        assertEquals(emptyList<String>(), cluster.violations.take(5))
        assertEquals(cluster.acceptedJobs, cluster.finishedJobs, cluster.describe())
    }

    private fun submit(
        cluster: SimulatedCluster,
        random: Random,
        number: Int,
    ) {
        val spec =
            Fixtures.unboundJob(random, number).copy(
                tasks = 40,
                cpus = 2.0,
                priority = Priority.NORMAL,
                expectedSeconds = 5.0,
            )
        cluster.submit(spec, cancelAfter = null)
    }
}
