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
 * the leader actor, which receives the outcome of each batch through [send].
 */
internal class BatchWriter(
    private val scope: CoroutineScope,
    private val limits: StoreSettings,
    private val store: KeyValueStore,
    private val writeRateLimiter: RateLimiter,
    private val leaderLease: LeaderLease,
    private val resolution: WriteResolution,
    /** Makes this controller read the records soon; called if a failed precondition shows that its copy is old. */
    private val refreshRecords: () -> Unit,
    private val send: (LeaderMessage) -> Unit,
) {
    private val log = LoggerFactory.getLogger("umberslip.scheduling")
    private var isWriting = false
    private var flushTimer: Job? = null
    private var lastBatchAt = Duration.ZERO

    /** The minimum time between batches, whatever the write rate, since every controller reads each batch. */
    private val minBatchInterval = maxOf(MIN_BATCH_INTERVAL, (MIN_WRITES / limits.writeRps).seconds)

    /**
     * Starts to write the next batch, unless a batch is being written or the leader may not write. If the rate does not
     * allow a batch yet, sends [LeaderMessage.Flush] once it does.
     */
    fun flush(
        scheduler: SchedulerState,
        now: Duration,
    ) {
        if (isWriting || !leaderLease.mayStart(now)) return
        // The batch is composed only after the wait, so that it holds the writes that become due during the wait.
        val wait = maxOf(writeRateLimiter.timeUntilAvailable(MIN_WRITES), lastBatchAt + minBatchInterval - now)
        if (wait > Duration.ZERO) {
            flushAfter(wait)
            return
        }
        val maxWrites = minOf(limits.transactionOps, writeRateLimiter.availableTokens().coerceAtLeast(MIN_WRITES))
        val batch = scheduler.writeAheadLog.nextBatch(maxWrites, scheduler.machines.keys, now) ?: return
        isWriting = true
        lastBatchAt = now
        scope.launch {
            var result: TransactionResult? = null
            var isOutcomeKnown = false
            try {
                writeRateLimiter.take(batch.writes.size, urgent = true)
                result = write(scheduler, batch)
                isOutcomeKnown = true
            } finally {
                // After an unexpected failure this leader gives up its leadership, and the next one finds out whether
                // the batch was applied. The message is sent in any case, or no further batch would ever be written.
                val isCurrentTerm = leaderLease.term == scheduler.term
                if (!isOutcomeKnown && isCurrentTerm) leaderLease.markLost("the outcome of a batch is unknown")
                send(LeaderMessage.WriteCompleted(scheduler, batch, result))
            }
        }
    }

    /** Allows the next batch; called when the leader receives [LeaderMessage.WriteCompleted] for the last one. */
    fun writeCompleted() {
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

    /**
     * Writes the batch and returns the store's result. Returns null if the store refused the batch, or if it sent no
     * response. In the latter case, the indeterminate outcome is resolved first unless this controller no longer leads.
     */
    private suspend fun write(
        scheduler: SchedulerState,
        batch: WriteBatch,
    ): TransactionResult? =
        try {
            val result = store.compareAndSwap(batch.preconditions, batch.writes)
            if (result is TransactionResult.PreconditionFailed) resolveFailedPreconditions(scheduler, result.failed)
            result
        } catch (e: RateLimitedException) {
            writeRateLimiter.lowerRate()
            delayAfterRefusal(e)
        } catch (e: ServiceUnavailableException) {
            delayAfterRefusal(e)
        } catch (e: NoResponseException) {
            resolveIndeterminateOutcome(scheduler, batch, e)
        }

    private suspend fun resolveFailedPreconditions(
        scheduler: SchedulerState,
        keys: List<String>,
    ) {
        // If the leader's record has changed, this controller no longer leads, and there is nothing to resolve.
        if (Keys.LEADER in keys) return
        log.info("preconditions of a batch failed, reading the keys: keys={}", keys)
        resolution.resolve(scheduler, keys)
        refreshRecords()
    }

    private suspend fun delayAfterRefusal(cause: ServiceUnavailableException): TransactionResult? {
        log.debug("key-value store refused a batch, retrying: reason={}", cause.message)
        delay(RETRY_DELAY)
        return null
    }

    private suspend fun resolveIndeterminateOutcome(
        scheduler: SchedulerState,
        batch: WriteBatch,
        cause: NoResponseException,
    ): TransactionResult? {
        log.info("outcome of a batch is indeterminate, resolving it: reason={}", cause.message)
        if (!resolution.fence(scheduler)) return null
        resolution.resolve(scheduler, batch.preconditions.map { it.key }.filter { it != Keys.LEADER })
        return null
    }

    private companion object {
        val RETRY_DELAY = 200.milliseconds

        /** A batch waits until the rate allows at least this many writes. */
        const val MIN_WRITES = 3
        val MIN_BATCH_INTERVAL = 75.milliseconds
    }
}
