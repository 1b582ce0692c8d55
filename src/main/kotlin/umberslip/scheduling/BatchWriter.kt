package umberslip.scheduling

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.slf4j.LoggerFactory
import umberslip.http.NoResponseException
import umberslip.http.RateLimitedException
import umberslip.http.ServiceUnavailableException
import umberslip.leadership.LeaderLease
import umberslip.records.Keys
import umberslip.settings.StoreSettings
import umberslip.store.KeyValueStore
import umberslip.store.RateLimiter
import umberslip.store.TransactionResult
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Writes the batches of the write-ahead log, one at a time and no faster than the key-value store allows. Confined to
 * the leader actor, to which [send] sends what became of each.
 */
internal class BatchWriter(
    private val scope: CoroutineScope,
    private val limits: StoreSettings,
    private val store: KeyValueStore,
    private val writes: RateLimiter,
    private val leaderLease: LeaderLease,
    private val resolution: WriteResolution,
    /** Has the records read soon, where they show what this controller does not know. */
    private val refreshRecords: () -> Unit,
    private val send: (LeaderMessage) -> Unit,
) {
    private val log = LoggerFactory.getLogger("umberslip.scheduling")
    private var isWriting = false
    private var flushTimer: Job? = null
    private var lastBatchAt = Duration.ZERO

    /** Batches are no closer than this, however many writes are allowed: each is read by every controller. */
    private val minBatchInterval = maxOf(MIN_BATCH_INTERVAL, (MIN_WRITES / limits.writeRps).seconds)

    /** Begins to write the next batch, unless one is being written; later if the rate does not allow it now. */
    fun flush(
        scheduler: SchedulerState,
        now: Duration,
    ) {
        if (isWriting || !leaderLease.mayStart(now)) return
        // Batches that wait for the rate hold more.
        val wait = maxOf(writes.wait(MIN_WRITES), lastBatchAt + minBatchInterval - now)
        if (wait > Duration.ZERO) {
            flushAfter(wait)
            return
        }
        val maxWrites = minOf(limits.transactionOps, writes.available().coerceAtLeast(MIN_WRITES))
        val batch = scheduler.writeAheadLog.nextBatch(maxWrites, scheduler.machines.keys, now) ?: return
        isWriting = true
        lastBatchAt = now
        scope.launch {
            var result: TransactionResult? = null
            var isKnown = false
            try {
                writes.take(batch.writes.size, urgent = true)
                result = write(scheduler, batch)
                isKnown = true
            } finally {
                // After an unexpected failure the next leader finds out what became of the batch. Without the message
                // nothing would ever be written again.
                val isCurrent = leaderLease.term == scheduler.term
                if (!isKnown && isCurrent) leaderLease.markLost("the outcome of a batch is unknown")
                send(LeaderMessage.WriteCompleted(scheduler, batch, result))
            }
        }
    }

    /** The leader received the last batch's [LeaderMessage.WriteCompleted]. */
    fun completed() {
        isWriting = false
    }

    private fun flushAfter(wait: Duration) {
        if (flushTimer?.isActive == true) return
        flushTimer =
            scope.launch {
                delay(wait)
                flushTimer = null
                send(LeaderMessage.Flush)
            }
    }

    /** Null where the batch was not applied, or its outcome was indeterminate and is resolved. */
    private suspend fun write(
        scheduler: SchedulerState,
        batch: WriteBatch,
    ): TransactionResult? =
        try {
            val result = store.compareAndSwap(batch.preconditions, batch.writes)
            if (result is TransactionResult.PreconditionFailed) preconditionFailed(scheduler, result.failed)
            result
        } catch (e: RateLimitedException) {
            writes.lower()
            notCarriedOut(e)
        } catch (e: ServiceUnavailableException) {
            notCarriedOut(e)
        } catch (e: NoResponseException) {
            outcomeIndeterminate(scheduler, batch, e)
        }

    private suspend fun preconditionFailed(
        scheduler: SchedulerState,
        keys: List<String>,
    ) {
        // Without the leader's record this controller does not lead, and nothing is left to resolve.
        if (Keys.LEADER in keys) return
        log.info("preconditions of a batch failed: keys={}", keys)
        resolution.resolve(scheduler, keys)
        refreshRecords()
    }

    private suspend fun notCarriedOut(cause: ServiceUnavailableException): TransactionResult? {
        log.debug("batch not carried out: reason={}", cause.message)
        delay(RETRY)
        return null
    }

    private suspend fun outcomeIndeterminate(
        scheduler: SchedulerState,
        batch: WriteBatch,
        cause: NoResponseException,
    ): TransactionResult? {
        log.info("outcome of a batch is indeterminate: reason={}", cause.message)
        if (!resolution.fence(scheduler)) return null
        resolution.resolve(scheduler, batch.preconditions.map { it.key }.filter { it != Keys.LEADER })
        return null
    }

    private companion object {
        val RETRY = 200.milliseconds

        /** A batch waits until the rate allows at least this many writes. */
        const val MIN_WRITES = 3
        val MIN_BATCH_INTERVAL = 75.milliseconds
    }
}
