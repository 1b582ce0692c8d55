package umberslip.sim

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * The controllers' own code against stand-ins of everything outside, with generated crashes, cuts,
 * hangs, delays, repeats and outages; the protocol's rules are checked all the time.
 */
class RulesTest {
    @ParameterizedTest
    @ValueSource(ints = [1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16])
    fun `rules hold whatever fails`(seed: Int) = check(seed, 1.0, ::anyFault)

    /** Controllers of the cut zone renew leases; the cloud is away at times, so nothing is sure by a release. */
    @ParameterizedTest
    @ValueSource(ints = [101, 102, 103, 104, 105, 106, 107, 108, 109, 110, 111, 112])
    fun `rules hold while zones cannot reach each other`(seed: Int) = check(seed, 6.0, ::zoneCuts)

    /** Alone, and mixed with all the others, on few machines and on many. */
    @ParameterizedTest
    @ValueSource(ints = [201, 202, 203, 204, 205, 206, 207, 208, 209, 210, 211, 212, 213, 214, 215, 216])
    fun `rules hold with lost responses, late copies, isolated controllers and quick returns`(seed: Int) {
        val faults = listOf(::lostResponses, ::isolatedControllers, ::quickRestarts)
        val mixed = { cluster: SimulatedCluster, random: Random ->
            faults.random(random)(cluster, random)
            if (random.nextInt(3) == 0) anyFault(cluster, random)
        }
        check(
            seed,
            if (seed % 2 == 0) 1.0 else 4.0,
            faults.getOrElse(seed % 5) { mixed },
            copied = 0.05,
            machines = if (seed % 3 == 0) 9 else 3,
        )
    }

    private fun check(
        seed: Int,
        runTimeFactor: Double,
        anyFault: (SimulatedCluster, Random) -> Unit,
        copied: Double = 0.0,
        machines: Int = 3,
    ) {
        val random = Random(seed)
        val cluster =
            SimulatedCluster(
                seed,
                FaultRates(lossy = 0.01, late = 0.01, copied = copied),
                ClusterSize(machines),
                Fixtures::settingsJson,
            )
        for (i in 0..2) cluster.startController(i)
        var nextNumber = 0
        var nextSubmission = Duration.ZERO
        while (cluster.now() < 150.seconds) {
            if (cluster.now() >= nextSubmission) {
                cluster.submit(
                    Fixtures.job(random, nextNumber++).let {
                        it.copy(expectedSeconds = it.expectedSeconds * runTimeFactor, tasks = minOf(it.tasks, 30))
                    },
                    if (random.nextInt(5) == 0) random.nextInt(1, 40).seconds else null,
                )
                nextSubmission = cluster.now() + random.nextInt(1, 8).seconds * 3 / machines
            }
            anyFault(cluster, random)
            cluster.run(1.seconds)
        }
        // Left in peace, everything that was accepted comes to its end.
        cluster.store.out = false
        cluster.isCloudUnavailable = false
        while (cluster.finishedJobs + cluster.cancelledJobs < cluster.acceptedJobs && cluster.now() < 3000.seconds) {
            cluster.run(20.seconds)
        }
        cluster.end()
        assertEquals(emptyList<String>(), cluster.violations.take(5))
        assertTrue(cluster.starts > 20, "only ${cluster.starts} tasks started")
        val ended = cluster.finishedJobs + cluster.cancelledJobs
        assertEquals(cluster.acceptedJobs, ended, "jobs that ended; ${cluster.describe()}")
    }

    private fun zoneCuts(
        cluster: SimulatedCluster,
        random: Random,
    ) {
        when (random.nextInt(40)) {
            0, 1 -> cluster.cutZones(random.nextInt(20, 120).seconds)
            2, 3 -> cluster.upMachines().randomOrNull(random)?.let { cluster.hang(it, random.nextInt(5, 40).seconds) }
            4 -> restart(cluster, random.nextInt(3), random)
            5, 6 -> cluster.isCloudUnavailable = true
            7 -> cluster.isCloudUnavailable = false
        }
    }

    private fun lostResponses(
        cluster: SimulatedCluster,
        random: Random,
    ) {
        if (random.nextInt(12) == 0) {
            cluster.upMachines().randomOrNull(random)?.let { cluster.loseResponses(it, random.nextInt(5, 90).seconds) }
        }
    }

    private fun isolatedControllers(
        cluster: SimulatedCluster,
        random: Random,
    ) {
        val controller = random.nextInt(3)
        val time = random.nextInt(5, 90).seconds
        when (random.nextInt(50)) {
            0, 1 -> cluster.isolate(controller, time)
            // It loses its workers only.
            2 -> listOf("east", "west").forEach { cluster.cut(controller, it, time) }
        }
    }

    private fun quickRestarts(
        cluster: SimulatedCluster,
        random: Random,
    ) {
        val controller = random.nextInt(3)
        when (random.nextInt(20)) {
            0 -> {
                cluster.stopController(controller)
                cluster.run(random.nextInt(20, 900).milliseconds)
                cluster.startController(controller)
            }
            1 -> cluster.upMachines().randomOrNull(random)?.let { cluster.reboot(it, random.nextBoolean()) }
        }
    }

    private fun anyFault(
        cluster: SimulatedCluster,
        random: Random,
    ) {
        val zone = if (random.nextBoolean()) "east" else "west"
        val controller = random.nextInt(3)
        val time = random.nextInt(1, 40).seconds
        when (random.nextInt(60)) {
            0, 1 -> restart(cluster, controller, random)
            2 -> (0..2).forEach { restart(cluster, it, random) }
            3, 4 -> cluster.upMachines().randomOrNull(random)?.let(cluster::kill)
            5, 6 -> cluster.upMachines().randomOrNull(random)?.let { cluster.hang(it, time) }
            7, 8, 9 -> cluster.cut(controller, zone, time)
            10, 11 -> cluster.cutFromStore(controller, time)
            12 -> cluster.store.out = true
            17, 18 -> cluster.cutZones(random.nextInt(5, 60).seconds)
            13, 14, 15, 16 -> cluster.store.out = false
        }
    }

    private fun restart(
        cluster: SimulatedCluster,
        controller: Int,
        random: Random,
    ) {
        cluster.stopController(controller)
        cluster.run(random.nextInt(100, 6000).milliseconds)
        cluster.startController(controller)
    }
}
