package umberslip.recovery

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import umberslip.settings.RecoveryTuning
import umberslip.settings.Tuning
import umberslip.sim.ClusterSize
import umberslip.sim.FaultRates
import umberslip.sim.Fixtures
import umberslip.sim.SimulatedCluster
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Most machines are lost while all controllers are stopped. Since less than half of the machines remain, the lost ones
 * look like a partitioned zone. Without the cloud's list, their tasks wait until every lease must have expired.
 */
class LossWithoutLeaderTest {
    private class Outcome(
        val lostTasks: Double,
        val adoptedTasks: Double,
        val completedAfter: Duration,
    )

    @ParameterizedTest
    @ValueSource(ints = [1, 2, 3, 4, 5, 6])
    fun `lost tasks are requeued once the cloud's list must show the loss, and no rule is broken`(seed: Int) {
        val withoutList = runScenario(seed, returnMissing = false)
        val withList = runScenario(seed, returnMissing = true)
        assertTrue(withList.lostTasks > 50, "only ${withList.lostTasks} tasks were lost")
        assertTrue(withList.adoptedTasks > 20, "only ${withList.adoptedTasks} tasks were adopted")
        assertEquals(withoutList.lostTasks, withList.lostTasks, "only tasks that are really lost may count as lost")
        assertTrue(withList.completedAfter <= LOSS_DETECTION, "completed after ${withList.completedAfter}")
        assertTrue(withoutList.completedAfter > LOSS_DETECTION * 3, "without list after ${withoutList.completedAfter}")
    }

    private fun runScenario(
        seed: Int,
        returnMissing: Boolean,
    ): Outcome {
        val tuning = Tuning(recovery = RecoveryTuning(track = true, returnMissing = returnMissing))
        val cluster = SimulatedCluster(seed, FaultRates(0.0, 0.0), ClusterSize(20), Fixtures::settingsJson, { tuning })
        for (i in 0..2) cluster.startController(i)
        val random = Random(seed)
        repeat(12) { cluster.submit(longJob(random, it), null) }
        cluster.run(45.seconds)
        (0..2).forEach(cluster::stopController)
        val machines = cluster.upMachines().shuffled(random)
        machines.take(machines.size * 3 / 4).forEach(cluster::kill)
        cluster.run(4.seconds)
        (0..2).forEach(cluster::startController)
        var completedAfter = Double.NaN
        while (completedAfter.isNaN() && cluster.now() < 400.seconds) {
            cluster.run(1.seconds)
            completedAfter = gauge(cluster, RecoveryMetrics.COMPLETED) ?: Double.NaN
        }
        val outcome =
            Outcome(
                gauge(cluster, RecoveryMetrics.LOST_TASKS) ?: 0.0,
                gauge(cluster, RecoveryMetrics.FINDINGS, ReconciliationFinding.ADOPTED) ?: 0.0,
                completedAfter.seconds,
            )
        cluster.run(60.seconds)
        cluster.end()
        assertEquals(emptyList<String>(), cluster.violations.take(5))
        return outcome
    }

    private fun longJob(
        random: Random,
        number: Int,
    ) = Fixtures.unboundJob(random, number).copy(tasks = 12, expectedSeconds = 120.0)

    /** Returns null while no controller leads, or if the term is the one before the controllers were stopped. */
    private fun gauge(
        cluster: SimulatedCluster,
        name: String,
        finding: ReconciliationFinding? = null,
    ): Double? {
        val metrics = cluster.leaderMetrics() ?: return null
        val term = metrics.find(RecoveryMetrics.TERM).gauge()?.value() ?: return null
        if (term < 2) return null
        val search = metrics.find(name)
        if (finding != null) search.tag(RecoveryMetrics.FINDING_TAG, finding.jsonName)
        return search.gauge()?.value()
    }

    private companion object {
        /** Covers twice the list's lag, the margin, the interval between lists and the cloud's response time. */
        val LOSS_DETECTION = 20.seconds
    }
}
