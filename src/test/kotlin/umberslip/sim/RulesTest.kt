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
 * Runs the actual controllers against simulated external systems, with generated crashes, network cuts, hangs, delays,
 * repeated messages and outages. The protocol's rules are checked all the time.
 */
class RulesTest {
    @ParameterizedTest
    @ValueSource(ints = [1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16])
    fun `rules hold under random faults`(seed: Int) = checkRules(seed, 1.0, ::injectAnyFault)

    /**
     * Controllers of the cut zone renew leases. The cloud is out at times, so a leader cannot always make sure that
     * tasks have stopped by terminating their machine.
     */
    @ParameterizedTest
    @ValueSource(ints = [101, 102, 103, 104, 105, 106, 107, 108, 109, 110, 111, 112])
    fun `rules hold while zones cannot reach each other`(seed: Int) = checkRules(seed, 6.0, ::injectZoneCuts)

    /** Injects each of these faults alone, and mixed with all others, on few machines and on many. */
    @ParameterizedTest
    @ValueSource(ints = [201, 202, 203, 204, 205, 206, 207, 208, 209, 210, 211, 212, 213, 214, 215, 216])
    fun `rules hold with lost responses, late duplicates, isolated controllers and quick restarts`(seed: Int) {
        val faults = listOf(::injectLostResponses, ::injectIsolation, ::injectQuickRestarts)
        val mixed = { cluster: SimulatedCluster, random: Random ->
            faults.random(random)(cluster, random)
            if (random.nextInt(3) == 0) injectAnyFault(cluster, random)
        }
        checkRules(
            seed,
            if (seed % 2 == 0) 1.0 else 4.0,
            faults.getOrElse(seed % 5) { mixed },
            copied = 0.05,
            machinesPerOffer = if (seed % 3 == 0) 9 else 3,
        )
    }

    private fun checkRules(
        seed: Int,
        runTimeFactor: Double,
        injectFault: (SimulatedCluster, Random) -> Unit,
        copied: Double = 0.0,
        machinesPerOffer: Int = 3,
    ) {
        val random = Random(seed)
        val cluster =
            SimulatedCluster(
                seed,
                FaultRates(lossy = 0.01, late = 0.01, copied = copied),
                ClusterSize(machinesPerOffer),
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
                nextSubmission = cluster.now() + random.nextInt(1, 8).seconds * 3 / machinesPerOffer
            }
            injectFault(cluster, random)
            cluster.run(1.seconds)
        }
        // Without further faults, every accepted job ends.
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

    private fun injectZoneCuts(
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

    private fun injectLostResponses(
        cluster: SimulatedCluster,
        random: Random,
    ) {
        if (random.nextInt(12) == 0) {
            cluster.upMachines().randomOrNull(random)?.let { cluster.loseResponses(it, random.nextInt(5, 90).seconds) }
        }
    }

    private fun injectIsolation(
        cluster: SimulatedCluster,
        random: Random,
    ) {
        val controller = random.nextInt(3)
        val time = random.nextInt(5, 90).seconds
        when (random.nextInt(50)) {
            0, 1 -> cluster.isolate(controller, time)
            // The controller loses only its workers.
            2 -> listOf("east", "west").forEach { cluster.cut(controller, it, time) }
        }
    }

    private fun injectQuickRestarts(
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

    private fun injectAnyFault(
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
