package umberslip.leadership

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.slf4j.LoggerFactory
import umberslip.actor.launchLoop
import umberslip.core.Clock
import umberslip.core.Term
import umberslip.http.ServiceException
import umberslip.http.ServiceUnavailableException
import umberslip.monitoring.FailureSeries
import umberslip.peers.PeerHealth
import umberslip.records.Keys
import umberslip.records.LeaderRecord
import umberslip.records.RecordView
import umberslip.records.RecordWatcher
import umberslip.settings.Timings
import umberslip.store.KeyValueStore
import umberslip.store.Precondition
import umberslip.store.StoreLease
import umberslip.store.TransactionResult
import umberslip.store.Version
import umberslip.store.Write
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Acquires, renews and gives up the leader's record, of which there is one.
 *
 * The record is attached to a lease of the key-value store, so it disappears when its leader stops renewing the lease.
 * Whoever then writes it, under the next term, leads. Runs on the actors' thread.
 */
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
    private val failures = FailureSeries()
    private val renewalInterval = timings.leaderLeaseDuration / RENEWALS_PER_LEASE

    /** Takes part in elections until [scope] ends. */
    fun start(): Job =
        scope.launchLoop("leader election", log) {
            try {
                if (leaderLease.isLeader) lead() else follow()
                failures.succeeded()
            } catch (e: ServiceException) {
                logFailure(e.message)
                delay(RETRY)
            }
        }

    private fun logFailure(reason: String?) {
        val now = clock.now()
        if (!failures.failed(now)) return
        log.warn(
            "leader election waits for the key-value store: reason={} failures={} for={}",
            reason,
            failures.count,
            failures.lasted(now),
        )
    }

    // ---- while another leads, or nobody ----

    private suspend fun follow() {
        val records = recordWatcher.confirm()
        if (records == null) {
            delay(RETRY)
            return
        }
        val leader = records.leader?.value
        when {
            leader == null && mayOtherBeElected() -> delay(WATCH_INTERVAL)
            leader == null -> acquire(records)
            leader.member == member -> endLeaseOfFormerProcess(leader)
            else -> delay(WATCH_INTERVAL)
        }
    }

    private fun mayOtherBeElected(): Boolean {
        if (!leaderLease.isAbstaining(clock.now())) return false
        return peerHealth() == PeerHealth.SERVED
    }

    /**
     * A process of this name runs once at a time, so the one that acquired this lease has ended, and its lease need not
     * be waited out. Its late writes fail on the record's version.
     */
    private suspend fun endLeaseOfFormerProcess(leader: LeaderRecord) {
        log.info("ending the lease of this member's former process: term={}", leader.term.value)
        store.endLease(leader.lease)
        recordWatcher.confirm()
    }

    // ---- becoming the leader ----

    private suspend fun acquire(records: RecordView) {
        // Taken before anything is awaited: the records go on changing, and the precondition is on what the term
        // rests on.
        val formerTerm = records.term
        val term = formerTerm?.value?.next() ?: Term.FIRST
        val sent = clock.now()
        val lease = store.openLease(timings.leaderLeaseDuration)
        val result = writeLeaderRecord(term, formerTerm?.version ?: Version.NONE, lease)
        if (result !is TransactionResult.Applied) {
            if (result is TransactionResult.Rejected) {
                throw ServiceUnavailableException("the leader's record was rejected: ${result.why}")
            }
            if (result is TransactionResult.PreconditionFailed) store.endLease(lease)
            recordWatcher.confirm()
            return
        }
        log.info("leader's record acquired: term={}", term.value)
        leaderLease.acquired(HeldLeaderRecord(term, result.version, lease), sent)
        beginTerm(acquiredAt = clock.now())
    }

    private suspend fun writeLeaderRecord(
        term: Term,
        formerTermVersion: Version,
        lease: StoreLease,
    ): TransactionResult =
        store.compareAndSwap(
            listOf(Precondition(Keys.LEADER, Version.NONE), Precondition(Keys.TERM, formerTermVersion)),
            listOf(
                Write.Put(Keys.LEADER, LeaderRecord(member, term, lease).toMap(), lease),
                Write.Put(Keys.TERM, mapOf("term" to term.value)),
            ),
        )

    /**
     * Reads the records before the term begins. Everything written before the leader's record was acquired is in a read
     * begun afterwards; whatever a former leader writes later fails on its precondition.
     */
    private suspend fun beginTerm(acquiredAt: Duration) {
        val renewals = scope.launch { renewRepeatedly() }
        try {
            while (!leaderLease.isLost) {
                val records = recordWatcher.confirm()
                if (records != null) {
                    listener.elected(records, formerLeaseExpiry(acquiredAt))
                    return
                }
                delay(RETRY)
            }
        } finally {
            renewals.cancel()
        }
    }

    /** A former leader can have renewed a worker's lease for the last time at the end of its grace. */
    private fun formerLeaseExpiry(acquiredAt: Duration): Duration {
        val graceAndLease = timings.withClockDrift(timings.grace + timings.lease)
        return acquiredAt + graceAndLease + timings.margin * 2
    }

    private suspend fun renewRepeatedly() {
        while (true) {
            renewOnce()
            delay(renewalInterval)
        }
    }

    // ---- as the leader ----

    private suspend fun lead() {
        if (!leaderLease.isLost) renewOnce()
        // Nobody waits for the end of this leader's grace.
        if (leaderLease.storeServesOthersOnly(clock.now(), peerHealth())) {
            leaderLease.lost("the key-value store serves others only")
        }
        if (leaderLease.isLost) stepDown() else delay(renewalInterval)
    }

    private suspend fun renewOnce() {
        val lease = leaderLease.held?.lease ?: return
        val sent = clock.now()
        try {
            if (store.renew(lease)) leaderLease.renewed(sent) else leaderLease.lost("its lease has expired")
        } catch (e: ServiceException) {
            log.debug("leader's lease not renewed: reason={}", e.message)
        }
    }

    private suspend fun stepDown() {
        val lease = leaderLease.held?.lease
        leaderLease.steppedDown()
        listener.steppedDown()
        // The next leader need not wait for the lease to expire; it may have expired already.
        if (lease != null) store.endLease(lease)
    }

    private companion object {
        /** After a request to the key-value store failed; short, since nobody may lead meanwhile. */
        val RETRY = 200.milliseconds

        /** How soon after a leader's record disappears a follower tries to acquire it. */
        val WATCH_INTERVAL = 250.milliseconds

        /** Several renewals may fail before the lease expires. */
        const val RENEWALS_PER_LEASE = 5
    }
}
