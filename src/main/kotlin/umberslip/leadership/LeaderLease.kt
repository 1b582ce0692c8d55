package umberslip.leadership

import org.slf4j.LoggerFactory
import umberslip.core.Term
import umberslip.peers.PeerHealth
import umberslip.settings.Timings
import umberslip.store.StoreLease
import umberslip.store.Version
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** The leader's record as this controller holds it: under which term, in which version, and under which lease. */
class HeldLeaderRecord(
    val term: Term,
    val version: Version,
    val lease: StoreLease,
)

/** What this controller may do as the leader, and until when. Pure: time is an input. Used on the actors' thread. */
class LeaderLease(
    private val timings: Timings,
) {
    /** Null while this controller is not the leader. */
    var held: HeldLeaderRecord? = null
        private set

    /** When the newest renewal that succeeded was sent. */
    var renewedAt: Duration = Duration.ZERO
        private set

    /** When the newest read of the records that succeeded began. */
    var readAt: Duration = Duration.ZERO
        private set

    /** Until when another controller should lead, if one is served by the key-value store. */
    private var abstainsUntil: Duration = Duration.ZERO
    private var othersServedSince: Duration? = null

    /** The term of this controller; null while it is not the leader. */
    val term: Term? get() = held?.term

    /** The version of the leader's record, by which the leader's writes are guarded; null while not the leader. */
    val version: Version? get() = held?.version

    /** Whether this controller acquired the leader's record and has not stepped down, even if leadership [isLost]. */
    val isLeader: Boolean get() = held != null

    /** Whether leadership was lost, so that the leader has to step down and may do nothing more until then. */
    var isLost = false
        private set

    /** The leader's record was acquired by a request that was sent at [sent]. */
    fun acquired(
        record: HeldLeaderRecord,
        sent: Duration,
    ) {
        held = record
        renewedAt = sent
        readAt = sent
        isLost = false
    }

    /** The same record was written anew under the same term, so that it has a new version. */
    fun fenced(version: Version) {
        held = held?.let { HeldLeaderRecord(it.term, version, it.lease) }
    }

    /** This controller is not the leader any more. */
    fun steppedDown() {
        held = null
        isLost = false
    }

    /**
     * The lease was renewed. It counts from when the renewal was sent: the key-value store cannot have had it earlier.
     */
    fun renewed(sent: Duration) {
        renewedAt = maxOf(renewedAt, sent)
    }

    /** A read of the records that began then succeeded, so all cancellations acknowledged before are known. */
    fun recordsRead(began: Duration) {
        readAt = maxOf(readAt, began)
    }

    /** Leadership is lost for the reason [why]. Nothing is allowed from now on. */
    fun markLost(why: String) {
        if (isLeader && !isLost) LOG.warn("leadership lost: term={} reason={}", term?.value, why)
        isLost = true
    }

    /** A worker has seen a higher term, so another controller leads. */
    fun superseded() = markLost("a worker has seen a higher term")

    /** Hardly any worker reaches this controller; they may still reach another, which should lead for a while. */
    fun lostContactWithWorkers(now: Duration) {
        markLost("no worker reaches this controller")
        abstainsUntil = now + ABSTENTION
    }

    /** Whether this controller should leave leadership to others. */
    fun isAbstaining(now: Duration): Boolean = now < abstainsUntil

    /**
     * Whether the key-value store serves others while this controller's own lease has expired: one of them takes over.
     * That others are served is known late, so at the beginning of an outage for all it looks the same; it must last,
     * or the leader would leave all workers without a response just when nobody can take its place.
     */
    fun storeServesOthersOnly(
        now: Duration,
        peerHealth: PeerHealth,
    ): Boolean {
        val isCutOff = isLeader && !mayStart(now) && peerHealth == PeerHealth.SERVED
        val since = if (isCutOff) othersServedSince ?: now else null
        othersServedSince = since
        return since != null && now - since >= MIN_CUT_OFF
    }

    /**
     * Whether tasks may be started and records written. This needs a read as recent as the renewal: renewals may
     * succeed where reads do not, and then a cancellation that another controller acknowledged would not be known here.
     */
    fun mayStart(now: Duration): Boolean = permissionToStart(now) == Permission.GRANTED

    /** As [mayStart], with what is in the way. */
    fun permissionToStart(now: Duration): Permission {
        val validFor = timings.leaderLeaseDuration - timings.margin
        return permission(now, validFor)
    }

    /**
     * Whether heartbeats may be answered, without starts once [mayStart] is false: running work outlives a short
     * outage. The bound counts from the older of renewal and read, since only a read shows a cancellation.
     */
    fun mayAnswer(now: Duration): Boolean = permissionToAnswer(now) == Permission.GRANTED

    /** As [mayAnswer], with what is in the way. */
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
        /** Long enough for another controller to acquire the leader's record and to be found by the workers. */
        val ABSTENTION = 30.seconds

        /** Longer than peers take to learn that the key-value store does not serve one of them any more. */
        val MIN_CUT_OFF = 2.seconds
        val LOG = LoggerFactory.getLogger("umberslip.leadership")
    }
}
