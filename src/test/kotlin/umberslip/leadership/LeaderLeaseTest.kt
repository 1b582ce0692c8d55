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
    fun `permissions expire relative to the older of the last renewal and the last read`() =
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
                    // The worker's lease that this response renews expires before the deadline of a cancellation that
                    // was acknowledged just after the last read.
                    assertTrue(at + timings.lease + timings.margin < minOf(read, renewed).milliseconds + workers.cancel)
                }
            }
        }

    @Test
    fun `nothing is permitted once leadership is lost`() {
        val leaderLease = LeaderLease(timings)
        assertFalse(leaderLease.mayAnswer(0.seconds))
        leaderLease.acquired(firstRecord, 0.seconds)
        assertTrue(leaderLease.mayStart(1.seconds))
        leaderLease.superseded()
        assertFalse(leaderLease.mayStart(1.seconds) || leaderLease.mayAnswer(1.seconds))
    }

    @Test
    fun `a store outage for all controllers is not mistaken for an outage of the leader alone`() {
        // Regression, found on a day with half as many machines again: at the beginning of a store outage for all
        // controllers, the peers' last pongs still said that the store served them. The leader stepped down, although
        // no peer could take over.
        val leaderLease = LeaderLease(timings)
        leaderLease.acquired(firstRecord, 0.seconds)

        fun isCutOffAfter(
            seconds: Double,
            peerHealth: PeerHealth,
        ) = leaderLease.isCutOffFromStore(seconds.seconds, peerHealth)
        assertFalse(isCutOffAfter(2.0, PeerHealth.SERVED), "the leader's own lease is still valid")
        assertFalse(isCutOffAfter(3.1, PeerHealth.SERVED))
        assertFalse(isCutOffAfter(4.4, PeerHealth.UNSERVED))
        assertFalse(isCutOffAfter(5.0, PeerHealth.SERVED))
        assertFalse(isCutOffAfter(6.9, PeerHealth.SERVED))
        assertTrue(isCutOffAfter(7.1, PeerHealth.SERVED))
    }
}
