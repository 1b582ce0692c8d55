package umberslip.recovery

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import umberslip.core.MachineName
import umberslip.settings.Settings
import umberslip.settings.Timings
import umberslip.settings.Tuning
import umberslip.sim.Fixtures
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class MissingMachinesTest {
    private val settings = Settings.parse(Fixtures.settingsJson("c-0"))
    private val missingMachines = MissingMachines(settings, Timings(settings.workers, Tuning()))

    private class Lifetime(
        val name: MachineName,
        val start: Duration,
        val end: Duration,
    )

    /** A list lags by up to twice the nominal lag, and may show an earlier moment than the list before it. */
    @Test
    fun `a machine that exists is never found missing, at any lag up to the maximum`() {
        var found = 0
        for (seed in 1..500) {
            val random = Random(seed)
            val lifetimes =
                List(8) {
                    val start = random.nextInt(60_000).milliseconds
                    Lifetime(MachineName("m$it"), start, start + random.nextInt(90_000).milliseconds)
                }
            repeat(40) {
                val sentAt = random.nextInt(150_000).milliseconds
                val listedAt = sentAt - settings.listLag * random.nextDouble(0.0, 2.0)
                val listed = lifetimes.filter { it.start <= listedAt && listedAt < it.end }.mapTo(HashSet()) { it.name }
                // The leader learns of a machine after it was provisioned. The time without contact is arbitrary.
                val known =
                    lifetimes.map { lifetime ->
                        val provisionedBefore = lifetime.start + random.nextInt(20_000).milliseconds
                        KnownMachine(lifetime.name, provisionedBefore, random.nextInt(30_000).milliseconds)
                    }
                for (name in missingMachines.find(sentAt, listed, known)) {
                    found++
                    val lifetime = lifetimes.first { it.name == name }
                    assertTrue(lifetime.end <= sentAt, "seed $seed: $name ends at ${lifetime.end}, list of $sentAt")
                }
            }
        }
        assertTrue(found > 1000, "only $found machines were found missing")
    }

    @Test
    fun `a machine is found missing by the first list that must show it, unless it had contact recently`() {
        val known = KnownMachine(MachineName("m"), 100.seconds, 20.seconds)
        val inContact = KnownMachine(MachineName("n"), 100.seconds, 2.seconds)
        assertEquals(emptyList<MachineName>(), missingMachines.find(108.seconds, emptySet(), listOf(known, inContact)))
        assertEquals(listOf(known.name), missingMachines.find(110.seconds, emptySet(), listOf(known, inContact)))
        assertEquals(emptyList<MachineName>(), missingMachines.find(110.seconds, setOf(known.name), listOf(known)))
    }
}
