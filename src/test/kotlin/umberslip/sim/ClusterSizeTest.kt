package umberslip.sim

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import umberslip.cloud.InstanceType
import umberslip.core.JobSpec
import umberslip.settings.RecoveryTuning
import umberslip.settings.Tuning
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Runs the actual controllers with as many machines as the largest fleets have, under faults that hit many of them. */
class ClusterSizeTest {
    @Test
    fun `all jobs of six teams end despite mass losses of machines and a restart of all controllers`() {
        val size = ClusterSize(61, 3, 500, 10_000, instanceTypes(32.0, 64.0))
        runWithFaults(7, size, Fixtures::teamsFleetJson, 6.0) { random, n ->
            Fixtures.fleetJob(random, n, Fixtures.TEAMS)
        }
    }

    @Test
    fun `all jobs of a fleet with 1600 machines and seven controllers end despite the same faults`() =
        runWithFaults(
            8,
            ClusterSize(206, 7, 500, 10_000, instanceTypes(4.0, 8.0)),
            Fixtures::largeFleetJson,
            2.0,
        ) { random, n ->
            Fixtures.fleetJob(random, n, listOf("sole"))
        }

    /** All machines send heartbeats to a new leader at once, and again when all controllers continue after a freeze. */
    @Test
    fun `no heartbeat of four thousand machines is dropped and no lease is lost`() {
        val size = ClusterSize(500, 7, 500, 10_000, instanceTypes(4.0, 8.0))
        val cluster =
            SimulatedCluster(
                9,
                FaultRates(0.0, 0.0),
                size,
                { Fixtures.largeFleetJson(it).replace(""""sockets":200""", """"sockets":5000""") },
                { RECOVERY_TUNING },
            )
        repeat(size.members) { cluster.startController(it) }
        val random = Random(9)
        repeat(130) { number ->
            val spec = Fixtures.fleetJob(random, number, listOf("sole"))
            cluster.submit(spec.copy(tasks = 50, cpus = 4.0, memoryGb = 4.0, expectedSeconds = 900.0), null)
        }
        while (cluster.upMachines().size < 4000 && cluster.now() < 300.seconds) cluster.run(1.seconds)
        assertEquals(4000, cluster.upMachines().size)
        cluster.run(5.seconds)
        val epochs = cluster.upMachines().associateWith { it.epoch }
        cluster.leader()?.let { leader ->
            cluster.stopController(leader)
            cluster.run(4.seconds)
            cluster.startController(leader)
        }
        cluster.run(10.seconds)
        repeat(size.members) { cluster.freeze(it, 3500.milliseconds) }
        cluster.run(20.seconds)
        cluster.end()
        assertEquals(0, cluster.heartbeatsDropped)
        assertEquals(emptyList<String>(), cluster.violations.take(5))
        assertEquals(0, epochs.count { (machine, epoch) -> machine.epoch != epoch }, "machines that lost their lease")
    }

    private fun instanceTypes(
        small: Double,
        large: Double,
    ) = listOf("small" to small, "large" to large).map { (name, cpus) ->
        InstanceType(name, cpus, 0.0, cpus * 2, 1.0, cpus / 25, cpus / 50, 8.seconds, listOf("east", "west"))
    }

    private fun runWithFaults(
        seed: Int,
        size: ClusterSize,
        settings: (String) -> String,
        jobsPerSecond: Double,
        newJob: (Random, Int) -> JobSpec,
    ) {
        val random = Random(seed)
        val faultRates = FaultRates(lossy = 0.002, late = 0.002, copied = 0.02)
        val cluster = SimulatedCluster(seed, faultRates, size, settings, { RECOVERY_TUNING })
        repeat(size.members) { cluster.startController(it) }
        var number = 0
        var dueJobs = 60.0
        for (second in 0 until 100) {
            dueJobs += jobsPerSecond
            while (dueJobs >= 1) {
                val spec = newJob(random, number++)
                val cancelAfter = if (random.nextInt(20) == 0) random.nextInt(1, 40).seconds else null
                cluster.submit(spec, cancelAfter)
                dueJobs--
            }
            injectFaults(cluster, random, second, size)
            cluster.run(1.seconds)
        }
        val deadline = cluster.now() + 600.seconds
        while (cluster.finishedJobs + cluster.cancelledJobs < cluster.acceptedJobs && cluster.now() < deadline) {
            cluster.run(10.seconds)
        }
        cluster.end()
        assertEquals(emptyList<String>(), cluster.violations.take(5))
        assertEquals(cluster.acceptedJobs, cluster.finishedJobs + cluster.cancelledJobs, "jobs that ended")
        assertTrue(cluster.starts > 10_000, "only ${cluster.starts} tasks started")
    }

    private fun injectFaults(
        cluster: SimulatedCluster,
        random: Random,
        second: Int,
        size: ClusterSize,
    ) {
        when (second) {
            30 -> cluster.upMachines().shuffled(random).let { up -> up.take(up.size / 4).forEach(cluster::kill) }
            45 -> {
                cluster.upMachines().shuffled(random).let { up ->
                    up.take(up.size / 10).forEach { cluster.hang(it, 30.seconds) }
                }
                repeat(size.members) { cluster.stopController(it) }
                cluster.run(300.milliseconds)
                repeat(size.members) { cluster.startController(it) }
            }
            // Restarts within a fraction of a second, in the middle of the election.
            48 -> {
                cluster.stopController(0)
                cluster.run(100.milliseconds)
                cluster.startController(0)
            }
            60 -> cluster.cutZones(25.seconds)
            70 -> cluster.stopController(1)
            76 -> cluster.startController(1)
        }
    }

    private companion object {
        val RECOVERY_TUNING = Tuning(recovery = RecoveryTuning(track = true, returnMissing = true))
    }
}
