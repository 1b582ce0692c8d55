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
 * Finds out what became of writes whose preconditions failed, or whose outcome is indeterminate. It goes on until it
 * knows, or until the scheduler state that wrote them is not current any more. Confined to the leader actor's thread.
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
     * A write without a response may be applied long after a read that does not show it. So before anything rests on
     * such a read, the leader's record is written anew: every write of this term has that record's version as a
     * precondition, so what was not applied by then never will be.
     *
     * @return false where this controller does not lead any more
     */
    suspend fun fence(scheduler: SchedulerState): Boolean {
        while (isCurrent(scheduler)) {
            val held = leaderLease.held ?: return false
            try {
                return tryFence(scheduler, held)
            } catch (e: ServiceException) {
                log.debug("earlier writes not fenced yet: reason={}", e.message)
            }
            delay(RETRY)
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
            is TransactionResult.Applied -> fenced(scheduler, result.version)
            is TransactionResult.PreconditionFailed -> fencedEarlier(scheduler, record)
            TransactionResult.LeaseExpired, is TransactionResult.Rejected -> {
                leaderLease.markLost("the leader's lease has expired")
                false
            }
        }
    }

    /** The record changed: an earlier attempt to fence was applied without a response, or another controller leads. */
    private suspend fun fencedEarlier(
        scheduler: SchedulerState,
        record: LeaderRecord,
    ): Boolean {
        val entry = store.get(Keys.LEADER)
        if (entry != null && isRecord(record, entry)) return fenced(scheduler, entry.version)
        leaderLease.markLost("the leader's record is another's")
        return false
    }

    private fun isRecord(
        record: LeaderRecord,
        entry: Entry,
    ): Boolean =
        try {
            LeaderRecord.parse(entry.data) == record
        } catch (e: MalformedMessageException) {
            log.error("malformed record left alone: key={} reason={}", entry.key, e.message)
            false
        }

    private fun fenced(
        scheduler: SchedulerState,
        version: Version,
    ): Boolean {
        leaderLease.fenced(version)
        scheduler.writeAheadLog.fenced(version)
        return true
    }

    /** Reads [keys], whose state is not known, before anything more is written to them. */
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
                if (failures++ == 0) log.info("key of unresolved write not read yet: key={} reason={}", key, e.message)
            }
            delay(RETRY)
        }
    }

    private companion object {
        val RETRY = 200.milliseconds
    }
}
