package umberslip.daemon

import umberslip.peers.PeerHealth
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Whether users are well served by this controller. One that the key-value store does not serve turns unready while the
 * store may serve others. When the store is unavailable to all, nobody gains by being sent elsewhere, so every
 * controller stays ready and goes on answering how jobs ended. Pure.
 */
class Readiness(
    /** Whether there are no other controllers. */
    private val isOnlyMember: Boolean,
) {
    /** Whether the records were read lately. */
    fun served(
        readAt: Duration?,
        now: Duration,
    ): Boolean = readAt != null && now - readAt < MAX_READ_AGE

    /** A controller that reaches no other one rather is cut off itself, so it is not ready. */
    fun ready(
        readAt: Duration?,
        now: Duration,
        peerHealth: PeerHealth,
    ): Boolean = served(readAt, now) || (readAt != null && (isOnlyMember || peerHealth == PeerHealth.UNSERVED))

    private companion object {
        /** Reads are at most some hundred milliseconds apart while they succeed. */
        val MAX_READ_AGE = 2500.milliseconds
    }
}
