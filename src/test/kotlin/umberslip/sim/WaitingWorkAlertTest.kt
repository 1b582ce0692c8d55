package umberslip.sim

import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import umberslip.core.Priority
import kotlin.random.Random
import kotlin.time.Duration.Companion.seconds

/** Checks the metrics that page operators while jobs wait for machines (docs/operations.md). */
class WaitingWorkAlertTest {
    @Test
    fun `operators are paged for jobs that wait in an outage of the cloud while some machines are up`() {
        val cluster = SimulatedCluster(3, FaultRates(lossy = 0.0, late = 0.0), ClusterSize(20), Fixtures::settingsJson)
        repeat(3, cluster::startController)
        cluster.run(10.seconds)
        submit(cluster, number = 1, tasks = 4)
        cluster.run(20.seconds)
        assertTrue(cluster.upMachines().isNotEmpty())
        cluster.isCloudUnavailable = true
        repeat(10) { submit(cluster, number = 10 + it, tasks = 60) }
        cluster.run(80.seconds)
        val metrics = checkNotNull(cluster.leaderMetrics())
        val oldestUnstarted = metrics["umberslip.jobs.oldest.unstarted.seconds"].gauge().value()
        val unprovisioned = metrics["umberslip.provisioning.unprovisioned.seconds"].gauge().value()
        cluster.end()
        assertTrue(oldestUnstarted > PAGED_AFTER_SECONDS, "oldest unstarted job: $oldestUnstarted s")
        assertTrue(unprovisioned > PAGED_AFTER_SECONDS, "unprovisioned: $unprovisioned s")
    }

    private fun submit(
        cluster: SimulatedCluster,
        number: Int,
        tasks: Int,
    ) {
        val job = Fixtures.unboundJob(Random(number), number).copy(tasks = tasks, priority = Priority.NORMAL)
        cluster.submit(job.copy(cpus = 4.0, expectedSeconds = 60.0), cancelAfter = null)
    }

    private companion object {
        const val PAGED_AFTER_SECONDS = 60.0
    }
}
