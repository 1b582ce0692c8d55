package umberslip.sim

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import umberslip.core.JobSpec
import kotlin.random.Random
import kotlin.time.Duration.Companion.seconds

/** Jobs of several placement constraints meet a deployment without a machine (docs/incidents/nothing-started.md). */
class EmptyFleetTest {
    @Test
    fun `nothing is started since constraints add up to a request that the cloud refuses`() = (1..6).forEach(::play)

    private fun play(seed: Int) {
        val size = ClusterSize(machinesPerOffer = 100, members = 7, pageItems = 500, changesKept = 10_000)
        val cluster = SimulatedCluster(seed, FaultRates(lossy = 0.0, late = 0.0), size, Fixtures::largeFleetJson)
        repeat(size.members, cluster::startController)
        val random = Random(seed)
        repeat(60) { number -> cluster.submit(job(random, number), cancelAfter = null) }
        cluster.run(45.seconds)
        repeat(size.members, cluster::stopController)
        cluster.run(8.seconds)
        repeat(size.members, cluster::startController)
        cluster.run(67.seconds)
        cluster.store.out = true
        cluster.run(14.seconds)
        cluster.endFaults()
        cluster.run(60.seconds)
        cluster.end()
        assertEquals(emptyList<String>(), cluster.violations.take(5), "seed $seed")
        assertTrue(cluster.starts > 1000, "only ${cluster.starts} tasks started")
    }

    /** Every second job may not use spot instances. */
    private fun job(
        random: Random,
        number: Int,
    ): JobSpec = Fixtures.fleetJob(random, number, listOf("sole")).copy(tasks = 100, spot = number % 2 == 0)
}
