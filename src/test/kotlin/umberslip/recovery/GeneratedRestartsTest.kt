package umberslip.recovery

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource
import umberslip.settings.RecoveryTuning
import umberslip.settings.Tuning
import umberslip.sim.ClusterSize
import umberslip.sim.FaultRates
import umberslip.sim.Fixtures
import umberslip.sim.SimulatedCluster
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * All controllers are stopped repeatedly, for a fraction of a second to well past every lease expiry, and are restarted
 * while other failures occur. The protocol's rules are checked throughout, and in the end every job must have finished.
 */
class GeneratedRestartsTest {
    private class Restarts(
        seed: Int,
    ) {
        val random = Random(seed)
        val cluster =
            SimulatedCluster(
                seed,
                FaultRates(lossy = 0.005, late = 0.005, copied = 0.05),
                ClusterSize(5),
                Fixtures::settingsJson,
                { Tuning(recovery = RecoveryTuning(track = true, returnMissing = true)) },
            )
        private var createdJobs = 0

        /** Runs the cluster for [seconds] and submits a job in about every third of them. */
        fun runAndSubmit(seconds: Int) =
            repeat(seconds) {
                if (random.nextInt(3) == 0) {
                    val job = Fixtures.job(random, createdJobs++)
                    val longerJob = job.copy(expectedSeconds = job.expectedSeconds * 5, tasks = minOf(job.tasks, 8))
                    cluster.submit(longerJob, null)
                }
                cluster.run(1.seconds)
            }

        /** Returns a time between a fraction of a second and more than a cancellation may take. */
        private fun randomOutage(): Duration =
            when (random.nextInt(4)) {
                0 -> random.nextInt(100, 1000).milliseconds
                1 -> random.nextInt(1, 9).seconds
                // Leases have expired, or are just about to.
                2 -> random.nextInt(9_000, 11_500).milliseconds
                else -> random.nextInt(12, 60).seconds
            }

        /** Stops all controllers for a while and starts them again. */
        fun restartAll() {
            if (random.nextBoolean()) cancelSome(4)
            (0..2).forEach(cluster::stopController)
            if (random.nextInt(3) == 0) cluster.store.out = true
            val outage = randomOutage()
            cluster.run(outage / 2)
            injectFailure()
            cluster.run(outage / 2)
            if (random.nextInt(3) == 0) cluster.lateWrites = 0.15
            startControllers()
            cluster.store.out = false
            runAndSubmit(random.nextInt(1, 6))
            cancelSome(2)
        }

        private fun cancelSome(count: Int) =
            cluster
                .runningJobs()
                .shuffled(random)
                .take(count)
                .forEach(cluster::cancel)

        private fun injectFailure() {
            val machines = cluster.upMachines().shuffled(random)
            when (random.nextInt(6)) {
                0 -> machines.take(machines.size * 2 / 3).forEach(cluster::kill)
                1 -> machines.take(machines.size / 3).forEach { cluster.hang(it, random.nextInt(3, 30).seconds) }
                2 ->
                    machines.take(machines.size / 2).forEach {
                        cluster.loseHeartbeats(it, random.nextInt(5, 40).seconds)
                    }
                3 -> machines.take(3).forEach { cluster.reboot(it, forgetsEpoch = random.nextBoolean()) }
                4 -> cluster.cutZones(random.nextInt(5, 45).seconds)
                else -> machines.take(3).forEach { cluster.loseResponses(it, random.nextInt(5, 30).seconds) }
            }
        }

        /** Starts the controllers in random order, far apart or nearly at once, and restarts some of them. */
        private fun startControllers() {
            val maxMillisApart = if (random.nextBoolean()) 15_000 else 500
            for (controller in (0..2).shuffled(random)) {
                cluster.startController(controller)
                cluster.run(random.nextInt(50, maxMillisApart).milliseconds)
                if (random.nextInt(4) > 0) continue
                cluster.stopController(controller)
                cluster.run(random.nextInt(50, 1500).milliseconds)
                cluster.startController(controller)
            }
        }
    }

    @ParameterizedTest
    @MethodSource("seeds")
    fun `no protocol rule is broken and every job finishes`(seed: Int) {
        val restarts = Restarts(seed)
        val cluster = restarts.cluster
        for (i in 0..2) cluster.startController(i)
        restarts.runAndSubmit(40)
        repeat(3) {
            restarts.restartAll()
            restarts.runAndSubmit(restarts.random.nextInt(5, 30))
        }
        cluster.endFaults()
        val deadline = cluster.now() + 3000.seconds
        while (cluster.finishedJobs + cluster.cancelledJobs < cluster.acceptedJobs && cluster.now() < deadline) {
            cluster.run(5.seconds)
        }
        val completedAfterSeconds =
            cluster
                .leaderMetrics()
                ?.find(RecoveryMetrics.COMPLETED)
                ?.gauge()
                ?.value() ?: Double.NaN
        cluster.end()
        assertEquals(emptyList<String>(), cluster.violations.take(5))
        val terminatedJobs = cluster.finishedJobs + cluster.cancelledJobs
        assertEquals(cluster.acceptedJobs, terminatedJobs, "finished and cancelled jobs; ${cluster.describe()}")
        assertTrue(cluster.starts > 20, "only ${cluster.starts} tasks started")
        assertTrue(completedAfterSeconds.isFinite(), "the last recovery must be completed")
    }

    companion object {
        @JvmStatic
        fun seeds(): List<Int> = (1..24).toList()
    }
}
