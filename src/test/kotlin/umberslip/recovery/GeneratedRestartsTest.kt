package umberslip.recovery

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource
import umberslip.settings.RecoveryTuning
import umberslip.settings.Tuning
import umberslip.sim.Mischief
import umberslip.sim.Samples
import umberslip.sim.World
import umberslip.sim.WorldSize
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * All controllers fall, again and again, for a fraction of a second to well over every lease, and meet other troubles
 * on their way back. The protocol's rules are checked all the time, and in the end every job has ended.
 */
class GeneratedRestartsTest {
    private class Falls(
        seed: Int,
    ) {
        val random = Random(seed)
        val world =
            World(
                seed,
                Mischief(lossy = 0.005, late = 0.005, copied = 0.05),
                WorldSize(5),
                Samples::settingsJson,
                { Tuning(recovery = RecoveryTuning(track = true, returnMissing = true)) },
            )
        private var number = 0

        fun pause(seconds: Int) =
            repeat(seconds) {
                if (random.nextInt(3) == 0) {
                    val job = Samples.job(random, number++)
                    world.user(job.copy(expectedSeconds = job.expectedSeconds * 5, tasks = minOf(job.tasks, 8)), null)
                }
                world.run(1.seconds)
            }

        /** From a fraction of a second to longer than a cancellation may take. */
        private fun darkness(): Duration =
            when (random.nextInt(4)) {
                0 -> random.nextInt(100, 1000).milliseconds
                1 -> random.nextInt(1, 9).seconds
                // Leases are over, or just not.
                2 -> random.nextInt(9_000, 11_500).milliseconds
                else -> random.nextInt(12, 60).seconds
            }

        fun fall() {
            if (random.nextBoolean()) cancelSome(4)
            (0..2).forEach(world::stopController)
            if (random.nextInt(3) == 0) world.state.out = true
            val dark = darkness()
            world.run(dark / 2)
            meanwhile()
            world.run(dark / 2)
            if (random.nextInt(3) == 0) world.lateWrites = 0.15
            comeBack()
            world.state.out = false
            pause(random.nextInt(1, 6))
            cancelSome(2)
        }

        private fun cancelSome(count: Int) =
            world
                .runningJobs()
                .shuffled(random)
                .take(count)
                .forEach(world::cancel)

        private fun meanwhile() {
            val machines = world.upMachines().shuffled(random)
            when (random.nextInt(6)) {
                0 -> machines.take(machines.size * 2 / 3).forEach(world::kill)
                1 -> machines.take(machines.size / 3).forEach { world.hang(it, random.nextInt(3, 30).seconds) }
                2 -> machines.take(machines.size / 2).forEach { world.mute(it, random.nextInt(5, 40).seconds) }
                3 -> machines.take(3).forEach { world.reboot(it, blank = random.nextBoolean()) }
                4 -> world.cutZones(random.nextInt(5, 45).seconds)
                else -> machines.take(3).forEach { world.deafen(it, random.nextInt(5, 30).seconds) }
            }
        }

        /** One by one and far apart, some to fall again; or all at once. */
        private fun comeBack() {
            val apart = if (random.nextBoolean()) 15_000 else 500
            for (controller in (0..2).shuffled(random)) {
                world.startController(controller)
                world.run(random.nextInt(50, apart).milliseconds)
                if (random.nextInt(4) > 0) continue
                world.stopController(controller)
                world.run(random.nextInt(50, 1500).milliseconds)
                world.startController(controller)
            }
        }
    }

    @ParameterizedTest
    @MethodSource("seeds")
    fun `no rule breaks and nothing is left over`(seed: Int) {
        val falls = Falls(seed)
        val world = falls.world
        for (i in 0..2) world.startController(i)
        falls.pause(40)
        repeat(3) {
            falls.fall()
            falls.pause(falls.random.nextInt(5, 30))
        }
        world.calm()
        val deadline = world.now() + 3000.seconds
        while (world.finishedJobs + world.cancelledJobs < world.acceptedJobs && world.now() < deadline) {
            world.run(5.seconds)
        }
        val recovery =
            world
                .ownersMetrics()
                ?.find(RecoveryMetrics.SETTLED)
                ?.gauge()
                ?.value() ?: Double.NaN
        world.end()
        assertEquals(emptyList<String>(), world.broken.take(5))
        assertEquals(world.acceptedJobs, world.finishedJobs + world.cancelledJobs, "jobs that ended; ${world.open()}")
        assertTrue(world.starts > 20, "only ${world.starts} tasks started")
        assertTrue(recovery.isFinite(), "the last recovery settled")
    }

    companion object {
        @JvmStatic
        fun seeds(): List<Int> = (1..24).toList()
    }
}
