package umberslip.leadership

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
    private val firstRecord = HeldLeaderRecord(Term.FIRST, Version(1), StoreLease(1))

    @Test
    fun `a leader may do nothing past the older of renewal and read, whatever their order`() =
        runBlocking<Unit> {
            checkAll(
                PropTestConfig(seed = 8, iterations = 300),
                Arb.int(0..60_000),
                Arb.int(0..60_000),
                Arb.int(0..90_000),
            ) { renewed, read, now ->
                val leaderLease = LeaderLease(timings)
                leaderLease.acquired(firstRecord, 0.seconds)
                leaderLease.renewed(renewed.milliseconds)
                leaderLease.recordsRead(read.milliseconds)
                val at = now.milliseconds
                assertEquals(
                    at < minOf(renewed, read).milliseconds + timings.leaderLeaseDuration - timings.margin,
                    leaderLease.mayStart(at),
                )
                if (leaderLease.mayAnswer(at)) {
                    // A cancellation acknowledged just after the last read takes effect in time: the lease that this
                    // response renews expires within the time that a cancellation has.
                    assertTrue(at + timings.lease + timings.margin < minOf(read, renewed).milliseconds + workers.cancel)
                }
            }
        }

    @Test
    fun `nothing is allowed once leadership is lost`() {
        val leaderLease = LeaderLease(timings)
        assertFalse(leaderLease.mayAnswer(0.seconds))
        leaderLease.acquired(firstRecord, 0.seconds)
        assertTrue(leaderLease.mayStart(1.seconds))
        leaderLease.superseded()
        assertFalse(leaderLease.mayStart(1.seconds) || leaderLease.mayAnswer(1.seconds))
    }

    @Test
    fun `an outage for all controllers is not mistaken for one of the leader alone`() {
        // Found on a day of half as many machines again: at the beginning of an outage, the last time that the peers
        // said they were served made the leader step down, and none of them could take over.
        val leaderLease = LeaderLease(timings)
        leaderLease.acquired(firstRecord, 0.seconds)

        fun after(
            seconds: Double,
            peerHealth: PeerHealth,
        ) = leaderLease.storeServesOthersOnly(seconds.seconds, peerHealth)
        assertFalse(after(2.0, PeerHealth.SERVED), "while its own lease lasts")
        assertFalse(after(3.1, PeerHealth.SERVED))
        assertFalse(after(4.4, PeerHealth.UNSERVED))
        assertFalse(after(5.0, PeerHealth.SERVED))
        assertFalse(after(6.9, PeerHealth.SERVED))
        assertTrue(after(7.1, PeerHealth.SERVED))
    }
}
