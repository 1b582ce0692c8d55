package umberslip.daemon

import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import umberslip.peers.PeerHealth
import kotlin.time.Duration.Companion.seconds

class ReadinessTest {
    private val readiness = Readiness(isOnlyMember = false)

    @Test
    fun `a controller is ready while the key-value store serves it or serves no controller`() {
        assertFalse(readiness.isReady(null, 10.seconds, PeerHealth.UNSERVED), "no read has succeeded yet")
        for (peerHealth in PeerHealth.entries) assertTrue(readiness.isReady(9.seconds, 10.seconds, peerHealth))
        assertTrue(readiness.isReady(1.seconds, 10.seconds, PeerHealth.UNSERVED), "no controller is served")
        assertFalse(readiness.isReady(1.seconds, 10.seconds, PeerHealth.SERVED))
        assertFalse(readiness.isReady(1.seconds, 10.seconds, PeerHealth.UNREACHABLE))
        assertTrue(Readiness(isOnlyMember = true).isReady(1.seconds, 10.seconds, PeerHealth.UNREACHABLE))
    }
}
