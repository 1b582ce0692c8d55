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
 * Acquires and renews leadership for this controller, and gives it up.
 *
 * A single record names the leader. It is attached to a lease of the key-value store, so it disappears when the leader
 * stops renewing the lease. The controller that then writes the record, under the next term, is the new leader. Runs on
 * the actors' thread.
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

    /** Starts to take part in elections, until [scope] ends. */
    fun start(): Job =
        scope.launchLoop("leader election", log) {
            try {
                if (leaderLease.isLeader) maintainLeadership() else pollLeaderRecord()
                failures.reset()
            } catch (e: ServiceException) {
                logFailure(e.message)
                delay(RETRY_DELAY)
            }
        }

    private fun logFailure(reason: String?) {
        val now = clock.now()
        if (!failures.countFailure(now)) return
        log.warn(
            "leader election waits for the key-value store: reason={} failures={} for={}",
            reason,
            failures.count,
            failures.duration(now),
        )
    }

    // ---- as a follower ----

    private suspend fun pollLeaderRecord() {
        val records = recordWatcher.confirm()
        if (records == null) {
            delay(RETRY_DELAY)
            return
        }
        val leader = records.leader?.value
        when {
            leader == null && shouldDeferToPeers() -> delay(POLL_INTERVAL)
            leader == null -> acquireLeaderRecord(records)
            leader.member == member -> endLeaseOfFormerProcess(leader)
            else -> delay(POLL_INTERVAL)
        }
    }

    /** Returns whether this controller backs off from elections and the key-value store serves another controller. */
    private fun shouldDeferToPeers(): Boolean {
        if (!leaderLease.isBackingOffFromElections(clock.now())) return false
        return peerHealth() == PeerHealth.SERVED
    }

    /**
     * Ends the lease of a leader's record that names this member. Only one process of a member runs at a time, so the
     * process that acquired the lease has ended and there is no need to wait until its lease expires. Writes of that
     * process that arrive late fail on the version of the leader's record.
     */
    private suspend fun endLeaseOfFormerProcess(leader: LeaderRecord) {
        log.info("ending the lease of this member's former process: term={}", leader.term.value)
        store.endLease(leader.lease)
        recordWatcher.confirm()
    }

    // ---- becoming the leader ----

    private suspend fun acquireLeaderRecord(records: RecordView) {
        // The view is live and may change at each suspension point. The term and the version in the precondition must
        // come from the same state, so both are read here, before the first suspension.
        val formerTerm = records.term
        val term = formerTerm?.value?.next() ?: Term.FIRST
        val sentAt = clock.now()
        val lease = store.openLease(timings.leaderLeaseDuration)
        val result = writeLeaderRecord(term, formerTerm?.version ?: Version.NONE, lease)
        if (result !is TransactionResult.Applied) {
            if (result is TransactionResult.Rejected) {
                throw ServiceUnavailableException("the leader's record was rejected: ${result.reason}")
            }
            if (result is TransactionResult.PreconditionFailed) store.endLease(lease)
            recordWatcher.confirm()
            return
        }
        log.info("leader's record acquired: term={}", term.value)
        leaderLease.acquired(HeldLeaderRecord(term, result.version, lease), sentAt)
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
     * Reads the records, then notifies [listener] that this controller leads. The leader's lease is renewed meanwhile.
     *
     * A read that begins after the leader's record was acquired includes every earlier write. Later writes by a former
     * leader fail on their precondition.
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
                delay(RETRY_DELAY)
            }
        } finally {
            renewals.cancel()
        }
    }

    /**
     * Returns the time by which every worker's lease that a former leader may have renewed has expired. A former leader
     * may renew workers' leases until the end of its grace.
     */
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

    private suspend fun maintainLeadership() {
        if (!leaderLease.isLost) renewOnce()
        // Another controller can take over, so this leader steps down without waiting for the end of its grace.
        if (leaderLease.isCutOffFromStore(clock.now(), peerHealth())) {
            leaderLease.markLost("the key-value store serves only other controllers")
        }
        if (leaderLease.isLost) stepDown() else delay(renewalInterval)
    }

    private suspend fun renewOnce() {
        val lease = leaderLease.held?.lease ?: return
        val sentAt = clock.now()
        try {
            if (store.renew(lease)) leaderLease.renewed(sentAt) else leaderLease.markLost("the leader's lease expired")
        } catch (e: ServiceException) {
            log.debug("leader's lease not renewed: reason={}", e.message)
        }
    }

    private suspend fun stepDown() {
        val lease = leaderLease.held?.lease
        leaderLease.steppedDown()
        listener.steppedDown()
        // Ends the lease so that the next leader need not wait for its expiry. It may have expired already.
        if (lease != null) store.endLease(lease)
    }

    private companion object {
        /** The delay after a failed request to the key-value store; short, since there may be no leader meanwhile. */
        val RETRY_DELAY = 200.milliseconds

        /** How often a follower checks for a leader's record, and so how soon it tries to replace a missing one. */
        val POLL_INTERVAL = 250.milliseconds

        /** Several renewals in a row may fail before the lease expires. */
        const val RENEWALS_PER_LEASE = 5
    }
}
