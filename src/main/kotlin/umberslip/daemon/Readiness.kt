package umberslip.daemon

import umberslip.peers.PeerHealth
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Decides whether users should be routed to this controller. A controller that the key-value store does not serve is
 * unready while the store may serve other controllers. If the store serves none of them, routing users elsewhere gains
 * nothing, so every controller stays ready and continues to report the outcomes of jobs. Pure.
 */
class Readiness(
    /** Whether the cluster has no other controllers. */
    private val isOnlyMember: Boolean,
) {
    /** Returns whether the records have been read recently, so the key-value store serves this controller. */
    fun isServed(
        readAt: Duration?,
        now: Duration,
    ): Boolean = readAt != null && now - readAt < MAX_READ_AGE

    /**
     * Returns whether users should be routed here. A controller that reaches no other one is not ready, since it is
     * probably partitioned itself.
     */
    fun isReady(
        readAt: Duration?,
        now: Duration,
        peerHealth: PeerHealth,
    ): Boolean = isServed(readAt, now) || (readAt != null && (isOnlyMember || peerHealth == PeerHealth.UNSERVED))

    private companion object {
        /** Successful reads are at most a few hundred milliseconds apart. */
        val MAX_READ_AGE = 2500.milliseconds
    }
}
