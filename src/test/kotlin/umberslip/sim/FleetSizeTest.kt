package umberslip.sim

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import umberslip.cloud.Flavor
import umberslip.records.JobSpec
import umberslip.settings.RecoveryTuning
import umberslip.settings.Tuning
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** The controllers' own code with as many machines as the largest fleets, through what hurts at that size. */
class FleetSizeTest {
    @Test
    fun `a fleet of six teams outlives mass losses and the end of all controllers`() =
        play(7, WorldSize(61, 3, 500, 10_000, flavors(32.0, 64.0)), Samples::teamsFleetJson, 6.0) { random, n ->
            Samples.fleetJob(random, n, Samples.TEAMS)
        }

    @Test
    fun `a fleet of sixteen hundred machines and seven controllers does so too`() =
        play(8, WorldSize(206, 7, 500, 10_000, flavors(4.0, 8.0)), Samples::largeFleetJson, 2.0) { random, n ->
            Samples.fleetJob(random, n, listOf("sole"))
        }

    /** All report at once to a new owner, and again when their controllers go on after a standstill. */
    @Test
    fun `no report of four thousand machines is dropped and no lease is lost`() {
        val size = WorldSize(500, 7, 500, 10_000, flavors(4.0, 8.0))
        val world =
            World(
                9,
                Mischief(0.0, 0.0),
                size,
                { Samples.largeFleetJson(it).replace(""""sockets":200""", """"sockets":5000""") },
                { RECOVERY },
            )
        repeat(size.members) { world.startController(it) }
        val random = Random(9)
        repeat(130) { number ->
            val spec = Samples.fleetJob(random, number, listOf("sole"))
            world.user(spec.copy(tasks = 50, cpus = 4.0, memoryGb = 4.0, expectedSeconds = 900.0), null)
        }
        while (world.upMachines().size < 4000 && world.now() < 300.seconds) world.run(1.seconds)
        assertEquals(4000, world.upMachines().size)
        world.run(5.seconds)
        val sessions = world.upMachines().associateWith { it.session }
        world.owner()?.let { owner ->
            world.stopController(owner)
            world.run(4.seconds)
            world.startController(owner)
        }
        world.run(10.seconds)
        repeat(size.members) { world.freeze(it, 3500.milliseconds) }
        world.run(20.seconds)
        world.end()
        assertEquals(0, world.reportsDropped)
        assertEquals(emptyList<String>(), world.broken.take(5))
        assertEquals(0, sessions.count { (machine, session) -> machine.session != session }, "leases that were lost")
    }

    private fun flavors(
        small: Double,
        large: Double,
    ) = listOf("small" to small, "large" to large).map { (name, cpus) ->
        Flavor(name, cpus, 0.0, cpus * 2, 1.0, cpus / 25, cpus / 50, 8.seconds, listOf("east", "west"))
    }

    private fun play(
        seed: Int,
        size: WorldSize,
        settings: (String) -> String,
        arrivals: Double,
        job: (Random, Int) -> JobSpec,
    ) {
        val random = Random(seed)
        val world = World(seed, Mischief(lossy = 0.002, late = 0.002, copied = 0.02), size, settings, { RECOVERY })
        repeat(size.members) { world.startController(it) }
        var number = 0
        var owed = 60.0
        for (second in 0 until 100) {
            owed += arrivals
            while (owed >= 1) {
                world.user(job(random, number++), if (random.nextInt(20) == 0) random.nextInt(1, 40).seconds else null)
                owed--
            }
            trouble(world, random, second, size)
            world.run(1.seconds)
        }
        val deadline = world.now() + 600.seconds
        while (world.finishedJobs + world.cancelledJobs < world.acceptedJobs && world.now() < deadline) {
            world.run(10.seconds)
        }
        world.end()
        assertEquals(emptyList<String>(), world.broken.take(5))
        assertEquals(world.acceptedJobs, world.finishedJobs + world.cancelledJobs, "jobs that ended")
        assertTrue(world.starts > 10_000, "only ${world.starts} tasks started")
    }

    private fun trouble(
        world: World,
        random: Random,
        second: Int,
        size: WorldSize,
    ) {
        when (second) {
            30 -> world.upMachines().shuffled(random).let { up -> up.take(up.size / 4).forEach(world::kill) }
            45 -> {
                world.upMachines().shuffled(random).let { up ->
                    up.take(up.size / 10).forEach { world.hang(it, 30.seconds) }
                }
                repeat(size.members) { world.stopController(it) }
                world.run(300.milliseconds)
                repeat(size.members) { world.startController(it) }
            }
            // Back within a fraction of a second, in the middle of the election.
            48 -> {
                world.stopController(0)
                world.run(100.milliseconds)
                world.startController(0)
            }
            60 -> world.cutZones(25.seconds)
            70 -> world.stopController(1)
            76 -> world.startController(1)
        }
    }

    private companion object {
        val RECOVERY = Tuning(recovery = RecoveryTuning(track = true, returnMissing = true))
    }
}
