package umberslip.recovery

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import umberslip.settings.RecoveryTuning
import umberslip.settings.Tuning
import umberslip.sim.Mischief
import umberslip.sim.Samples
import umberslip.sim.World
import umberslip.sim.WorldSize
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Most machines are taken back while every controller is away. What is left is less than half, so the silence of the
 * others looks like a cut zone, and without the cloud's list their tasks wait until every lease must be over.
 */
class LossInTheDarkTest {
    private class Outcome(
        val lostTasks: Double,
        val adoptedTasks: Double,
        val settled: Duration,
    )

    @ParameterizedTest
    @ValueSource(ints = [1, 2, 3, 4, 5, 6])
    fun `lost tasks wait again as soon as the list must show the loss, and no rule breaks`(seed: Int) {
        val off = play(seed, returnMissing = false)
        val on = play(seed, returnMissing = true)
        assertTrue(on.lostTasks > 50, "only ${on.lostTasks} tasks were lost")
        assertTrue(on.adoptedTasks > 20, "only ${on.adoptedTasks} tasks were adopted")
        assertEquals(off.lostTasks, on.lostTasks, "no more is given up than what is gone")
        assertTrue(on.settled <= LISTED, "settled after ${on.settled}")
        assertTrue(off.settled > LISTED * 3, "without the list after ${off.settled}")
    }

    private fun play(
        seed: Int,
        returnMissing: Boolean,
    ): Outcome {
        val tuning = Tuning(recovery = RecoveryTuning(track = true, returnMissing = returnMissing))
        val world = World(seed, Mischief(0.0, 0.0), WorldSize(20), Samples::settingsJson, { tuning })
        for (i in 0..2) world.startController(i)
        val random = Random(seed)
        repeat(12) { world.user(longJob(random, it), null) }
        world.run(45.seconds)
        (0..2).forEach(world::stopController)
        val machines = world.upMachines().shuffled(random)
        machines.take(machines.size * 3 / 4).forEach(world::kill)
        world.run(4.seconds)
        (0..2).forEach(world::startController)
        var settled = Double.NaN
        while (settled.isNaN() && world.now() < 400.seconds) {
            world.run(1.seconds)
            settled = gauge(world, RecoveryMetrics.SETTLED) ?: Double.NaN
        }
        val outcome =
            Outcome(
                gauge(world, RecoveryMetrics.LOST_TASKS) ?: 0.0,
                gauge(world, RecoveryMetrics.FINDINGS, TaskFinding.ADOPTED) ?: 0.0,
                settled.seconds,
            )
        world.run(60.seconds)
        world.end()
        assertEquals(emptyList<String>(), world.broken.take(5))
        return outcome
    }

    private fun longJob(
        random: Random,
        number: Int,
    ) = Samples.unboundJob(random, number).copy(tasks = 12, expectedSeconds = 120.0)

    /** Null while nobody owns, or its term is not the one after the fall. */
    private fun gauge(
        world: World,
        name: String,
        finding: TaskFinding? = null,
    ): Double? {
        val metrics = world.ownersMetrics() ?: return null
        val term = metrics.find(RecoveryMetrics.TERM).gauge()?.value() ?: return null
        if (term < 2) return null
        val search = metrics.find(name)
        if (finding != null) search.tag(RecoveryMetrics.FINDING_TAG, finding.name.lowercase())
        return search.gauge()?.value()
    }

    private companion object {
        /** Twice the list's lag, the margin, the time between lists and what the cloud takes to answer. */
        val LISTED = 20.seconds
    }
}
