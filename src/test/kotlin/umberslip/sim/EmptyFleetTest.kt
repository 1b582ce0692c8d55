package umberslip.sim

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import umberslip.core.JobSpec
import kotlin.random.Random
import kotlin.time.Duration.Companion.seconds

/**
 * Guards against an incident (docs/incidents/nothing-started.md): jobs with several placement constraints were
 * submitted to a deployment without machines. Their constraints added up to a request that the cloud refused, so no job
 * started.
 */
class EmptyFleetTest {
    @Test
    fun `jobs with several placement constraints start on an empty fleet`() = (1..6).forEach(::runScenario)

    private fun runScenario(seed: Int) {
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

    /** Returns a job of 100 tasks. Only jobs with an even [number] may use spot instances. */
    private fun job(
        random: Random,
        number: Int,
    ): JobSpec = Fixtures.fleetJob(random, number, listOf("sole")).copy(tasks = 100, spot = number % 2 == 0)
}
