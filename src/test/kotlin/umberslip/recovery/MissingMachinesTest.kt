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
    private val missing = MissingMachines(settings, Timings(settings.workers, Tuning()))

    private class Lifetime(
        val name: MachineName,
        val from: Duration,
        val to: Duration,
    )

    /** Lists are up to twice the lag old, and one may be older than the one before. */
    @Test
    fun `a machine that exists is never found missing, whatever the lists' age`() {
        var found = 0
        for (seed in 1..500) {
            val random = Random(seed)
            val lifetimes =
                List(8) {
                    val from = random.nextInt(60_000).milliseconds
                    Lifetime(MachineName("m$it"), from, from + random.nextInt(90_000).milliseconds)
                }
            repeat(40) {
                val began = random.nextInt(150_000).milliseconds
                val asOf = began - settings.listLag * random.nextDouble(0.0, 2.0)
                val listed = lifetimes.filter { it.from <= asOf && asOf < it.to }.mapTo(HashSet()) { it.name }
                // Known from some time after it was provisioned; without contact for any time.
                val known =
                    lifetimes.map { lifetime ->
                        val since = lifetime.from + random.nextInt(20_000).milliseconds
                        KnownMachine(lifetime.name, since, random.nextInt(30_000).milliseconds)
                    }
                for (name in missing.find(began, listed, known)) {
                    found++
                    val lifetime = lifetimes.first { it.name == name }
                    assertTrue(lifetime.to <= began, "seed $seed: $name exists until ${lifetime.to}, list of $began")
                }
            }
        }
        assertTrue(found > 1000, "only $found machines were found missing")
    }

    @Test
    fun `a machine is found missing by the first list that must show it, unless it had contact lately`() {
        val known = KnownMachine(MachineName("m"), 100.seconds, 20.seconds)
        val inContact = KnownMachine(MachineName("n"), 100.seconds, 2.seconds)
        assertEquals(emptyList<MachineName>(), missing.find(108.seconds, emptySet(), listOf(known, inContact)))
        assertEquals(listOf(known.name), missing.find(110.seconds, emptySet(), listOf(known, inContact)))
        assertEquals(emptyList<MachineName>(), missing.find(110.seconds, setOf(known.name), listOf(known)))
    }
}
