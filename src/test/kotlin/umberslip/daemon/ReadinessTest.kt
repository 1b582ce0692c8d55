package umberslip.daemon

import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import umberslip.peers.PeerHealth
import kotlin.time.Duration.Companion.seconds

class ReadinessTest {
    private val readiness = Readiness(isOnlyMember = false)

    @Test
    fun `a controller is ready while it is served, or while nobody is`() {
        assertFalse(readiness.ready(null, 10.seconds, PeerHealth.UNSERVED), "nothing read yet")
        for (peerHealth in PeerHealth.entries) assertTrue(readiness.ready(9.seconds, 10.seconds, peerHealth))
        assertTrue(readiness.ready(1.seconds, 10.seconds, PeerHealth.UNSERVED), "all would turn unready at no gain")
        assertFalse(readiness.ready(1.seconds, 10.seconds, PeerHealth.SERVED))
        assertFalse(readiness.ready(1.seconds, 10.seconds, PeerHealth.UNREACHABLE))
        assertTrue(Readiness(isOnlyMember = true).ready(1.seconds, 10.seconds, PeerHealth.UNREACHABLE))
    }
}
