package umberslip.leadership

import org.slf4j.LoggerFactory
import umberslip.core.Term
import umberslip.peers.PeerHealth
import umberslip.settings.Timings
import umberslip.store.StoreLease
import umberslip.store.Version
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** The leader's record that this controller acquired: its term, its newest version and the lease it is attached to. */
class HeldLeaderRecord(
    val term: Term,
    val version: Version,
    val lease: StoreLease,
)

/**
 * Tracks the leadership of this controller and decides what it may do as the leader at a given time. Pure: time is an
 * input. Used on the actors' thread.
 */
class LeaderLease(
    private val timings: Timings,
) {
    /** The leader's record of this controller; null while it is not the leader. */
    var held: HeldLeaderRecord? = null
        private set

    /** The time at which the newest successful renewal of the leader's lease was sent. */
    var renewedAt: Duration = Duration.ZERO
        private set

    /** The time at which the newest successful read of the records began. */
    var readAt: Duration = Duration.ZERO
        private set

    /** The end of the period in which another controller should be elected, if the key-value store serves one. */
    private var electionBackOffUntil: Duration = Duration.ZERO

    /** The time since which the conditions of [isCutOffFromStore] have held; null if they do not hold. */
    private var cutOffSince: Duration? = null

    /** The term under which this controller leads; null while it is not the leader. */
    val term: Term? get() = held?.term

    /**
     * The version of the leader's record, which is a precondition of the leader's writes; null while this controller is
     * not the leader.
     */
    val version: Version? get() = held?.version

    /** Whether this controller acquired the leader's record and has not stepped down yet, even if [isLost]. */
    val isLeader: Boolean get() = held != null

    /** Whether leadership was lost. The leader then has to step down and may do nothing else. */
    var isLost = false
        private set

    /** Notes that the leader's record was acquired by a request sent at [sentAt]. */
    fun acquired(
        record: HeldLeaderRecord,
        sentAt: Duration,
    ) {
        held = record
        renewedAt = sentAt
        readAt = sentAt
        isLost = false
    }

    /** Notes that this leader rewrote its record under the same term, which gave the record a new [version]. */
    fun fenced(version: Version) {
        held = held?.let { HeldLeaderRecord(it.term, version, it.lease) }
    }

    /** Notes that this controller is no longer the leader. */
    fun steppedDown() {
        held = null
        isLost = false
    }

    /**
     * Notes that the leader's lease was renewed. The lease is counted from [sentAt], since the key-value store cannot
     * have renewed it earlier.
     */
    fun renewed(sentAt: Duration) {
        renewedAt = maxOf(renewedAt, sentAt)
    }

    /** Notes a successful read of the records, which shows all cancellations acknowledged before [beganAt]. */
    fun recordsRead(beganAt: Duration) {
        readAt = maxOf(readAt, beganAt)
    }

    /** Marks leadership as lost for the given [reason]. Nothing is permitted to this leader any more. */
    fun markLost(reason: String) {
        if (isLeader && !isLost) LOG.warn("leadership lost: term={} reason={}", term?.value, reason)
        isLost = true
    }

    /** Marks leadership as lost because a worker has seen a higher term, so another controller leads. */
    fun superseded() = markLost("a worker has seen a higher term")

    /**
     * Marks leadership as lost because hardly any worker reaches this controller. Workers may still reach another
     * controller, so this one backs off from elections for a while.
     */
    fun lostContactWithWorkers(now: Duration) {
        markLost("hardly any worker reaches this controller")
        electionBackOffUntil = now + ELECTION_BACK_OFF
    }

    /** Returns whether this controller should leave leadership to other controllers. */
    fun isBackingOffFromElections(now: Duration): Boolean = now < electionBackOffUntil

    /**
     * Returns whether the key-value store has served another controller for at least [MIN_CUT_OFF] while this leader's
     * own lease was too old for it to start tasks. The other controller can then take over.
     *
     * Peers report with a delay that the store no longer serves them, so the beginning of an outage for all controllers
     * looks the same. Without the minimum duration, the leader would step down in such an outage and leave all workers
     * without a response, although no other controller can be elected.
     */
    fun isCutOffFromStore(
        now: Duration,
        peerHealth: PeerHealth,
    ): Boolean {
        val appearsCutOff = isLeader && !mayStart(now) && peerHealth == PeerHealth.SERVED
        val since = if (appearsCutOff) cutOffSince ?: now else null
        cutOffSince = since
        return since != null && now - since >= MIN_CUT_OFF
    }

    /**
     * Returns whether the leader may start tasks and write records. The same age limit applies to the newest renewal of
     * the lease and to the newest read of the records: if renewals succeed while reads fail, this controller does not
     * learn of a cancellation that another controller acknowledged.
     */
    fun mayStart(now: Duration): Boolean = permissionToStart(now) == Permission.GRANTED

    /** Returns whether [mayStart] holds and, if not, the reason. */
    fun permissionToStart(now: Duration): Permission {
        val validFor = timings.leaderLeaseDuration - timings.margin
        return permission(now, validFor)
    }

    /**
     * Returns whether the leader may answer heartbeats. The responses contain no starts unless [mayStart] is true.
     * Running work thus survives a short outage of the key-value store. The time limit counts from the newest renewal
     * or the newest read, whichever is older, since only a read shows a cancellation.
     */
    fun mayAnswer(now: Duration): Boolean = permissionToAnswer(now) == Permission.GRANTED

    /** Returns whether [mayAnswer] holds and, if not, the reason. */
    fun permissionToAnswer(now: Duration): Permission {
        val validFor = timings.leaderLeaseDuration + timings.grace
        return permission(now, validFor)
    }

    private fun permission(
        now: Duration,
        validFor: Duration,
    ): Permission =
        when {
            !isLeader -> Permission.NOT_LEADING
            isLost -> Permission.LEADERSHIP_LOST
            now >= renewedAt + validFor -> Permission.RENEWAL_TOO_OLD
            now >= readAt + validFor -> Permission.READ_TOO_OLD
            else -> Permission.GRANTED
        }

    private companion object {
        /**
         * The back-off after contact with the workers was lost. It is long enough for another controller to acquire the
         * leader's record and for the workers to find that controller.
         */
        val ELECTION_BACK_OFF = 30.seconds

        /**
         * How long the conditions of [isCutOffFromStore] must have held. This is longer than peers take to learn that
         * the store no longer serves one of them.
         */
        val MIN_CUT_OFF = 2.seconds
        val LOG = LoggerFactory.getLogger("umberslip.leadership")
    }
}
