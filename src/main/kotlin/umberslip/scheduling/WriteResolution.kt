package umberslip.scheduling

import kotlinx.coroutines.delay
import org.slf4j.LoggerFactory
import umberslip.http.MalformedMessageException
import umberslip.http.ServiceException
import umberslip.leadership.HeldLeaderRecord
import umberslip.leadership.LeaderLease
import umberslip.records.Keys
import umberslip.records.LeaderRecord
import umberslip.store.Entry
import umberslip.store.KeyValueStore
import umberslip.store.Precondition
import umberslip.store.TransactionResult
import umberslip.store.Version
import umberslip.store.Write
import kotlin.time.Duration.Companion.milliseconds

/**
 * Determines what the key-value store holds after writes whose preconditions failed, or whose outcome is indeterminate.
 * Retries until that is known, or until the scheduler state that made the writes is no longer current. Confined to the
 * leader actor's thread.
 */
internal class WriteResolution(
    private val member: String,
    private val store: KeyValueStore,
    private val leaderLease: LeaderLease,
    private val isCurrent: (SchedulerState) -> Boolean,
) {
    private val log = LoggerFactory.getLogger("umberslip.scheduling")

    /**
     * Makes sure that no earlier write of this term will be applied any more.
     *
     * A write without a response may be applied long after a read that does not show it. Before anything relies on such
     * a read, the leader's record is therefore rewritten. Every write of this term has the version of that record as a
     * precondition, so a write that was not applied by then never will be.
     *
     * @return false if this controller no longer leads
     */
    suspend fun fence(scheduler: SchedulerState): Boolean {
        while (isCurrent(scheduler)) {
            val held = leaderLease.held ?: return false
            try {
                return tryFence(scheduler, held)
            } catch (e: ServiceException) {
                log.debug("cannot fence earlier writes, retrying: reason={}", e.message)
            }
            delay(RETRY_DELAY)
        }
        return false
    }

    private suspend fun tryFence(
        scheduler: SchedulerState,
        held: HeldLeaderRecord,
    ): Boolean {
        val record = LeaderRecord(member, scheduler.term, held.lease)
        val result =
            store.compareAndSwap(
                listOf(Precondition(Keys.LEADER, held.version)),
                listOf(Write.Put(Keys.LEADER, record.toMap(), record.lease)),
            )
        return when (result) {
            is TransactionResult.Applied -> applyFence(scheduler, result.version)
            is TransactionResult.PreconditionFailed -> checkEarlierFence(scheduler, record)
            TransactionResult.LeaseExpired, is TransactionResult.Rejected -> {
                leaderLease.markLost("the leader's lease expired")
                false
            }
        }
    }

    /**
     * Handles a change of the leader's record. Either an earlier attempt to fence was applied without a response, or
     * another controller leads.
     */
    private suspend fun checkEarlierFence(
        scheduler: SchedulerState,
        record: LeaderRecord,
    ): Boolean {
        val entry = store.get(Keys.LEADER)
        if (entry != null && isSameRecord(record, entry)) return applyFence(scheduler, entry.version)
        leaderLease.markLost("this controller no longer holds the leader's record")
        return false
    }

    private fun isSameRecord(
        record: LeaderRecord,
        entry: Entry,
    ): Boolean =
        try {
            LeaderRecord.parse(entry.data) == record
        } catch (e: MalformedMessageException) {
            log.error("malformed record neither used nor overwritten: key={} reason={}", entry.key, e.message)
            false
        }

    private fun applyFence(
        scheduler: SchedulerState,
        version: Version,
    ): Boolean {
        leaderLease.fenced(version)
        scheduler.writeAheadLog.fenced(version)
        return true
    }

    /** Reads [keys], whose state is not known, and applies what they hold before anything more is written to them. */
    suspend fun resolve(
        scheduler: SchedulerState,
        keys: List<String>,
    ) {
        for (key in keys) resolve(scheduler, key)
    }

    private suspend fun resolve(
        scheduler: SchedulerState,
        key: String,
    ) {
        var failures = 0
        while (isCurrent(scheduler)) {
            try {
                val entry = store.get(key)
                scheduler.resolve(key, entry?.version, entry?.data)
                return
            } catch (e: ServiceException) {
                if (failures++ == 0) log.info("cannot read unresolved key, retrying: key={} reason={}", key, e.message)
            }
            delay(RETRY_DELAY)
        }
    }

    private companion object {
        val RETRY_DELAY = 200.milliseconds
    }
}
