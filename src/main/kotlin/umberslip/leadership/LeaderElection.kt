package umberslip.leaderElection

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.slf4j.LoggerFactory
import umberslip.core.Clock
import umberslip.core.Term
import umberslip.http.NoResponseException
import umberslip.http.ServiceUnavailableException
import umberslip.peers.PeerHealth
import umberslip.records.Keys
import umberslip.records.LeaderRecord
import umberslip.records.RecordView
import umberslip.records.RecordWatcher
import umberslip.records.TermRecord
import umberslip.settings.Timings
import umberslip.store.KeyValueStore
import umberslip.store.Precondition
import umberslip.store.StoreLease
import umberslip.store.TransactionResult
import umberslip.store.Version
import umberslip.store.Write
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** What this controller is entitled to, and until when; time is an input. */
class LeaderLease(
    private val timings: Timings,
) {
    var term: Term? = null
        private set
    var version: Version? = null
        private set
    var lease: StoreLease? = null
        private set
    private var renewed: Duration = Duration.ZERO
    private var read: Duration = Duration.ZERO
    private var gone = false

    val isLeader: Boolean get() = term != null

    /** Set when a heartbeat or a refused write shows that somebody else leads. */
    val isLost: Boolean get() = gone

    fun acquired(
        term: Term,
        version: Version,
        lease: StoreLease,
        sent: Duration,
    ) {
        this.term = term
        this.version = version
        this.lease = lease
        renewed = sent
        read = sent
        gone = false
    }

    /** The same record under the same term, written anew. */
    fun fenced(version: Version) {
        if (isLeader) this.version = version
    }

    fun end() {
        term = null
        version = null
        lease = null
        gone = false
    }

    /** Counted from when the renewal was sent: the key-value store cannot have had it earlier. */
    fun renewed(sent: Duration) {
        renewed = maxOf(renewed, sent)
    }

    /** A read of the records that began then was answered, so cancellations told before are known. */
    fun read(began: Duration) {
        read = maxOf(read, began)
    }

    fun lost(why: String) {
        if (term != null && !gone) LOG.warn("ownership is lost: {}", why)
        gone = true
    }

    fun superseded() = lost("a worker has seen a higher term")

    /** Most machines fell silent at once; another controller may still be reached by them. */
    fun lostContactWithWorkers(now: Duration) {
        lost("no worker reaches this controller")
        abstainUntil = now + ABSTAIN
    }

    /** Until then another should own, if there is one that is served. */
    var abstainUntil: Duration = Duration.ZERO
        private set

    private var othersServedSince: Duration? = null

    /**
     * Past its own lease, while the key-value store serves others: they take over. That others are served is
     * heard late, so at the beginning of an outage for all it looks the same; it must last, or the leader
     * would leave all workers without an answer just when nobody can take its place.
     */
    fun storeServesOthersOnly(
        now: Duration,
        peerHealth: PeerHealth,
    ): Boolean {
        val since = if (isLeader && !mayStart(now) && peerHealth == PeerHealth.SERVED) othersServedSince ?: now else null
        othersServedSince = since
        return since != null && now - since >= SURE
    }

    /**
     * Starts need a read as young as the renewal: renewals may come through where reads do not, and then
     * a cancellation that another controller has told would not be known here.
     */
    fun mayStart(now: Duration): Boolean =
        isLeader &&
            !gone &&
            now < minOf(renewed, read) + timings.leaderLeaseDuration - timings.margin

    /**
     * Running work outlives a short outage: heartbeats are answered, with no starts, for a bounded time.
     * It is counted from the older of renewal and read, since a cancellation is only heard by reading.
     */
    fun mayAnswer(now: Duration): Boolean =
        isLeader &&
            !gone &&
            now < minOf(renewed, read) + timings.leaderLeaseDuration + timings.grace

    private companion object {
        val ABSTAIN = 30.seconds
        val SURE = 2.seconds
        val LOG = LoggerFactory.getLogger("umberslip.leadership")
    }
}

/** Called on the actors' thread. */
interface LeadershipListener {
    fun elected(
        records: RecordView,
        formerLeaseExpiry: Duration,
    )

    fun steppedDown()
}

/** Takes, renews and gives up the one leader's record. */
class LeaderElection(
    private val scope: CoroutineScope,
    private val member: String,
    private val store: KeyValueStore,
    private val recordWatcher: RecordWatcher,
    private val leaderLease: LeaderLease,
    private val timings: Timings,
    private val clock: Clock,
    private val peerHealth: () -> PeerHealth,
    private val listener: LeadershipListener,
) {
    private val log = LoggerFactory.getLogger("umberslip.leadership")

    fun start(): Job =
        scope.launch {
            while (true) {
                try {
                    if (leaderLease.isLeader) lead() else follow()
                } catch (e: ServiceUnavailableException) {
                    log.debug("{}", e.message)
                    delay(RETRY)
                } catch (e: NoResponseException) {
                    log.debug("{}", e.message)
                    delay(RETRY)
                }
            }
        }

    private suspend fun follow() {
        val records = recordWatcher.confirm()
        if (records == null) {
            delay(RETRY)
            return
        }
        val leader = records.leader
        when {
            leader == null && clock.now() < leaderLease.abstainUntil && peerHealth() == PeerHealth.SERVED -> delay(WATCH)
            leader == null -> acquire(records)
            leader.value.member == member -> {
                // A process of this name runs once at a time, so the one that took this lease has
                // ended: its lease need not be waited out. Its late writes fail on the record's version.
                log.info("ends the lease of this member's former process, term {}", leader.value.term.value)
                store.endLease(leader.value.lease)
                recordWatcher.confirm()
            }
            else -> delay(WATCH)
        }
    }

    private suspend fun acquire(records: RecordView) {
        val known = records.term
        val term = known?.value?.next() ?: Term.FIRST
        val sent = clock.now()
        val lease = store.openLease(timings.leaderLeaseDuration)
        val result =
            store.compareAndSwap(
                listOf(Precondition(Keys.LEADER, Version.NONE), Precondition(Keys.TERM, known?.version ?: Version.NONE)),
                listOf(
                    Write.Put(Keys.LEADER, LeaderRecord(member, term, lease).toMap(), lease),
                    Write.Put(Keys.TERM, TermRecord(term).toMap()),
                ),
            )
        if (result !is TransactionResult.Applied) {
            if (result is TransactionResult.PreconditionFailed) store.endLease(lease)
            recordWatcher.confirm()
            return
        }
        log.info("took the owner's record under term {}", term.value)
        leaderLease.acquired(term, result.version, lease, sent)
        val took = clock.now()
        // Everything written before the record was taken is in a read begun afterwards; whatever a
        // former leader writes later fails on its precondition.
        val renewing =
            scope.launch {
                while (true) {
                    renewOnce()
                    delay(timings.leaderLeaseDuration / RENEWALS)
                }
            }
        try {
            while (!leaderLease.isLost) {
                val read = recordWatcher.confirm()
                if (read != null) {
                    listener.elected(
                        read,
                        took + timings.stretched(timings.grace + timings.lease) + timings.margin * 2,
                    )
                    return
                }
                delay(RETRY)
            }
        } finally {
            renewing.cancel()
        }
    }

    private suspend fun lead() {
        if (!leaderLease.isLost) renewOnce()
        // Nobody waits for this one's grace.
        if (leaderLease.storeServesOthersOnly(clock.now(), peerHealth())) {
            leaderLease.lost("the state service serves others only")
        }
        if (leaderLease.isLost) {
            val lease = leaderLease.lease
            leaderLease.end()
            listener.steppedDown()
            // Whoever comes next need not wait for it to run out; it may have ended already.
            if (lease != null) store.endLease(lease)
        } else {
            delay(timings.leaderLeaseDuration / RENEWALS)
        }
    }

    private suspend fun renewOnce() {
        val lease = leaderLease.lease ?: return
        val sent = clock.now()
        try {
            if (store.renew(lease)) leaderLease.renewed(sent) else leaderLease.lost("its lease has ended")
        } catch (e: ServiceUnavailableException) {
            log.debug("not renewed: {}", e.message)
        } catch (e: NoResponseException) {
            log.debug("not renewed: {}", e.message)
        }
    }

    private companion object {
        val RETRY = 200.milliseconds
        val WATCH = 250.milliseconds

        /** Renewals of the lease in the time that it lasts. */
        const val RENEWALS = 5
    }
}
