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
    fun `reads the platform's file, ignoring what it does not know`() {
        val s = Settings.parse(json)
        assertEquals(listOf("blue", "green"), s.teams.map { it.name })
        assertEquals(24.0, s.teams[0].cpusMax)
        assertNull(s.teams[1].cpusMax, "0 means none")
        assertEquals(2048, s.storeLimits.valueBytes)
        assertEquals(2, s.objectives.size)
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
    fun `names what is missing or senseless`(
        from: String,
        to: String,
        field: String,
    ) {
        assertTrue(from in json)
        val e = assertThrows(InvalidSettingsException::class.java) { Settings.parse(json.replaceFirst(from, to)) }
        assertTrue(field in e.message.orEmpty(), e.message)
    }

    @Test
    fun `operators' settings are checked too`() {
        assertEquals(3.seconds, Tuning.parse("[ownership]\nhold_s = 3.0").leaderLeaseDuration)
        for (
        bad in listOf(
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
            assertThrows(InvalidSettingsException::class.java, { Tuning.parse(bad) }, bad)
        }
    }

    @Test
    fun `a hold that leaves no time for a cancellation is refused`() {
        val workers = Settings.parse(json).workers
        assertEquals(workers.cancel, Timings(workers, Tuning()).run { leaderLeaseDuration + grace + lease + margin })
        assertThrows(InvalidSettingsException::class.java) { Timings(workers, Tuning(leaderLeaseDuration = 25.seconds)) }
    }

    @Test
    fun `aims for starts are read, and aims of unknown kinds are passed over`() {
        val json =
            Fixtures.settingsJson("c-0").replace(
                """"objectives":[""",
                """"objectives":[{"kind":"wait","class":"batch","within_s":250.0,"share":0.88},""" +
                    """{"kind":"later","x":1},""",
            )
        val s = Settings.parse(json)
        assertEquals(Objective.Started("batch", 250.seconds), s.objectives.first())
        assertEquals(3, s.objectives.size)
        assertThrows(InvalidSettingsException::class.java) { Settings.parse(json.replace("250.0", "0.0")) }
    }
}
