package umberslip.settings

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Assertions.assertThrows
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import umberslip.sim.Fixtures
import kotlin.time.Duration.Companion.seconds

class SettingsTest {
    private val json = Fixtures.settingsJson("c-0")

    @Test
    fun `the platform's settings are read, and unknown ones are ignored`() {
        val settings = Settings.parse(json)
        assertEquals(listOf("blue", "green"), settings.teams.map { it.name })
        assertEquals(24.0, settings.teams[0].cpusMax)
        assertNull(settings.teams[1].cpusMax, "0 means no limit")
        assertEquals(2048, settings.storeLimits.valueBytes)
        assertEquals(2, settings.objectives.size)
    }

    @ParameterizedTest
    @CsvSource(
        "'\"lease_s\":10.0', '\"lease_s\":0.0', settings.workers.lease_s",
        "'\"lease_s\":10.0,', '', settings.workers.lease_s",
        "'\"rps\":300.0', '\"rps\":\"many\"', settings.state.rps",
        "'127.0.0.1:8080', 'localhost:8080', bind",
        "'127.0.0.1:8080', '127.0.0.1:99999', bind",
        "'\"txn_ops\":8', '\"txn_ops\":1', settings.state.txn_ops",
        "'\"name\":\"green\"', '\"name\":\"blue\"', settings.teams",
        "'\"sockets\":200', '\"sockets\":-1', settings.quota.sockets",
    )
    fun `a missing or invalid setting is named`(
        from: String,
        to: String,
        key: String,
    ) {
        assertTrue(from in json)
        val invalid = json.replaceFirst(from, to)
        val exception = assertThrows(InvalidSettingsException::class.java) { Settings.parse(invalid) }
        assertTrue(key in exception.message.orEmpty(), exception.message)
    }

    @Test
    fun `operators' settings are validated`() {
        assertEquals(3.seconds, Tuning.parse("[ownership]\nhold_s = 3.0").leaderLeaseDuration)
        for (
        invalid in listOf(
            "[ownership]\nholds = 3",
            "[other]\na = 1",
            "ownership = 1",
            "[fleet]\ndrain_s = -1",
            "[fleet]\ndrain_s = \"x\"",
            "[ownership]\nhold_s =",
            "[recovery]\ntrack = 1",
            "[recovery]\nadopt = true",
        )
        ) {
            assertThrows(InvalidSettingsException::class.java, { Tuning.parse(invalid) }, invalid)
        }
    }

    @Test
    fun `a leader lease that leaves no time for a cancellation is rejected`() {
        val workers = Settings.parse(json).workers
        assertEquals(workers.cancel, Timings(workers, Tuning()).run { leaderLeaseDuration + grace + lease + margin })
        val tooLong = Tuning(leaderLeaseDuration = 25.seconds)
        assertThrows(InvalidSettingsException::class.java) { Timings(workers, tooLong) }
    }

    @Test
    fun `objectives for task starts are read, and objectives of unknown kinds are ignored`() {
        val json =
            Fixtures.settingsJson("c-0").replace(
                """"objectives":[""",
                """"objectives":[{"kind":"wait","class":"batch","within_s":250.0,"share":0.88},""" +
                    """{"kind":"later","x":1},""",
            )
        val objectives = Settings.parse(json).objectives
        assertEquals(Objective.Started("batch", 250.seconds), objectives.first())
        assertEquals(3, objectives.size)
        assertThrows(InvalidSettingsException::class.java) { Settings.parse(json.replace("250.0", "0.0")) }
    }
}
