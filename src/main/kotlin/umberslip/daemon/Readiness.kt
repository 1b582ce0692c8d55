package umberslip.daemon

import umberslip.peers.PeerHealth
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Whether users are well served here. A controller that the key-value store does not serve sends them
 * elsewhere while it may serve others; when it is away for all, nobody gains by being sent around,
 * and every controller goes on telling ends of jobs. Pure.
 */
class Readiness(
    private val alone: Boolean,
) {
    /** The records were read lately. */
    fun served(
        readAt: Duration?,
        now: Duration,
    ): Boolean = readAt != null && now - readAt < LATELY

    /** Cut off from all others too, it rather is the one in trouble. */
    fun ready(
        readAt: Duration?,
        now: Duration,
        peerHealth: PeerHealth,
    ): Boolean = served(readAt, now) || (readAt != null && (alone || peerHealth == PeerHealth.UNSERVED))

    private companion object {
        val LATELY = 2500.milliseconds
    }
}
