package umberslip.leaderElection

import io.kotest.property.Arb
import io.kotest.property.PropTestConfig
import io.kotest.property.arbitrary.int
import io.kotest.property.checkAll
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import umberslip.core.Term
import umberslip.peers.PeerHealth
import umberslip.settings.Settings
import umberslip.settings.Timings
import umberslip.settings.Tuning
import umberslip.sim.Fixtures
import umberslip.store.StoreLease
import umberslip.store.Version
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class LeaderLeaseTest {
    private val workers = Settings.parse(Fixtures.settingsJson("c-0")).workers
    private val timings = Timings(workers, Tuning())

    @Test
    fun `entitlement ends by the older of renewal and read, whatever their order`() =
        runBlocking<Unit> {
            checkAll(
                PropTestConfig(seed = 8, iterations = 300),
                Arb.int(0..60_000),
                Arb.int(0..60_000),
                Arb.int(0..90_000),
            ) { renewed, read, now ->
                val a = LeaderLease(timings)
                a.acquired(Term.FIRST, Version(1), StoreLease(1), 0.seconds)
                a.renewed(renewed.milliseconds)
                a.read(read.milliseconds)
                val at = now.milliseconds
                assertEquals(
                    at < minOf(renewed, read).milliseconds + timings.leaderLeaseDuration - timings.margin,
                    a.mayStart(at),
                )
                if (a.mayAnswer(at)) {
                    // A cancellation told just after the last read bites in time: the lease that this
                    // answer renews ends within the time that a cancellation has.
                    assertTrue(at + timings.lease + timings.margin < minOf(read, renewed).milliseconds + workers.cancel)
                }
            }
        }

    @Test
    fun `nothing is allowed once leadership is lost`() {
        val a = LeaderLease(timings)
        assertFalse(a.mayAnswer(0.seconds))
        a.acquired(Term.FIRST, Version(1), StoreLease(1), 0.seconds)
        assertTrue(a.mayStart(1.seconds))
        a.superseded()
        assertFalse(a.mayStart(1.seconds) || a.mayAnswer(1.seconds))
    }

    @Test
    fun `an outage for all is not taken for one of its own`() {
        // Found on a day of half as many machines again: the last good word of the others, heard at the
        // beginning of an outage, made the leader leave its workers, and none could follow it.
        val a = LeaderLease(timings)
        a.acquired(Term.FIRST, Version(1), StoreLease(1), 0.seconds)

        fun after(
            seconds: Double,
            peerHealth: PeerHealth,
        ) = a.storeServesOthersOnly(seconds.seconds, peerHealth)
        assertFalse(after(2.0, PeerHealth.SERVED), "within its own hold")
        assertFalse(after(3.1, PeerHealth.SERVED))
        assertFalse(after(4.4, PeerHealth.UNSERVED))
        assertFalse(after(5.0, PeerHealth.SERVED))
        assertFalse(after(6.9, PeerHealth.SERVED))
        assertTrue(after(7.1, PeerHealth.SERVED))
    }
}
