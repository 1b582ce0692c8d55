package umberslip.records

import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import umberslip.actor.Actor
import umberslip.core.Clock
import umberslip.http.ServiceException
import umberslip.monitoring.FailureSeries
import umberslip.store.KeyValueStore
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** The messages of the [RecordWatcher]. */
sealed interface RecordWatcherMessage {
    /**
     * Requests a view that is confirmed by a read which begins after this message. The [answer] is null if the read
     * failed or too many callers wait.
     */
    class Confirm(
        val answer: CompletableDeferred<RecordView?>,
    ) : RecordWatcherMessage

    /** Requests a read soon, because something was written that controllers should see. */
    data object Refresh : RecordWatcherMessage

    /** Sent by the watcher to itself when the current read has ended. */
    class ReadCompleted(
        val confirmed: Boolean,
    ) : RecordWatcherMessage

    /** Sent by the watcher to itself when its timer has fired. */
    data object TimerFired : RecordWatcherMessage
}

/** Receives the events of each confirmed read; called on the actors' thread. */
fun interface RecordListener {
    /** Called when the replica includes [events] and everything else that was written before [readBegan]. */
    fun onRecordsRead(
        events: List<RecordEvent>,
        readBegan: Duration,
    )
}

/**
 * Keeps a replica of the records up to date by reading the changes after the last known revision. Only one read runs at
 * a time. All callers that request a confirmed view during a read share the next read.
 */
class RecordWatcher(
    private val scope: CoroutineScope,
    private val store: KeyValueStore,
    private val clock: Clock,
    /** The maximum number of concurrent requests, each of which may wait for a read. */
    private val maxRequests: Int,
    private val listener: RecordListener,
) : Actor<RecordWatcherMessage>("records", scope, DEFAULT_CAPACITY + maxRequests) {
    private val maxWaiting = DEFAULT_CAPACITY + maxRequests
    private val replica = RecordReplica()

    /** The revision of the replica; null before the first complete read. */
    private var revision: Long? = null
    private var isReading = false

    /** The callers that the current read answers. */
    private var currentCallers = ArrayList<CompletableDeferred<RecordView?>>()

    /** The callers that the next read answers. */
    private var nextCallers = ArrayList<CompletableDeferred<RecordView?>>()
    private var refreshRequested = false
    private var lastReadFailed = false
    private val failures = FailureSeries()
    private var lastReadBegan = Duration.ZERO
    private var timer: Job? = null

    /** When the last confirmed read began; null before the first one. */
    var confirmedAt: Duration? = null
        private set

    /** Returns the records as of a read that begins after this call; null if it failed or too many callers wait. */
    suspend fun confirm(): RecordView? {
        val answer = CompletableDeferred<RecordView?>()
        if (!trySend(RecordWatcherMessage.Confirm(answer))) return null
        return answer.await()
    }

    override fun start(): Job = super.start().also { trySend(RecordWatcherMessage.Refresh) }

    override suspend fun receive(message: RecordWatcherMessage) {
        when (message) {
            is RecordWatcherMessage.Confirm -> {
                if (nextCallers.size < maxWaiting) nextCallers.add(message.answer) else message.answer.complete(null)
            }
            RecordWatcherMessage.Refresh -> refreshRequested = true
            RecordWatcherMessage.TimerFired -> {
                timer = null
                if (clock.now() - lastReadBegan >= IDLE_INTERVAL) refreshRequested = true
            }
            is RecordWatcherMessage.ReadCompleted -> readCompleted(message.confirmed)
        }
        schedule()
    }

    private fun readCompleted(confirmed: Boolean) {
        isReading = false
        // [FAILURE_INTERVAL] also applies if the read ended with an unexpected exception.
        lastReadFailed = !confirmed
        val answered = currentCallers
        currentCallers = ArrayList()
        answered.forEach { it.complete(if (confirmed) replica else null) }
    }

    /** Begins the next read, or starts the timer for it. */
    private fun schedule() {
        if (isReading) return
        val now = clock.now()
        val isReadRequested = refreshRequested || nextCallers.isNotEmpty()
        // Spacing out the reads lets callers share a read and keeps to the key-value store's rate limit.
        val interval = if (lastReadFailed) FAILURE_INTERVAL else MIN_INTERVAL
        val sinceLast = now - lastReadBegan
        if (isReadRequested && (sinceLast >= interval || lastReadBegan == Duration.ZERO)) {
            beginRead(now)
        } else if (timer?.isActive != true || isReadRequested) {
            startTimer((if (isReadRequested) interval else IDLE_INTERVAL) - sinceLast)
        }
    }

    private fun startTimer(wait: Duration) {
        timer?.cancel()
        timer =
            scope.launch {
                delay(wait)
                timer = null
                enqueue(RecordWatcherMessage.TimerFired)
            }
    }

    private fun beginRead(now: Duration) {
        timer?.cancel()
        timer = null
        isReading = true
        refreshRequested = false
        lastReadBegan = now
        currentCallers = nextCallers
        nextCallers = ArrayList()
        scope.launch {
            var confirmed = false
            try {
                confirmed = read(now)
            } finally {
                // Sent however the read ended, because no further read would begin without this message.
                enqueue(RecordWatcherMessage.ReadCompleted(confirmed))
            }
        }
    }

    /** Returns whether the replica is confirmed to include everything that was written before [began]. */
    private suspend fun read(began: Duration): Boolean {
        try {
            val events = readChanges() ?: readAll()
            readSucceeded(began)
            listener.onRecordsRead(events, began)
            return true
        } catch (e: ServiceException) {
            readFailed(e)
            return false
        }
    }

    /**
     * Reads and applies the changes since the last read. Returns null if all records have to be read instead, because
     * none were read before or [revision] is too old.
     */
    private suspend fun readChanges(): List<RecordEvent>? {
        val after = revision ?: return null
        val changes = store.changes(Keys.ROOT, after) ?: return null
        if (changes.changes.isNotEmpty()) {
            log.debug("changes read: after={} revision={} changes={}", after, changes.revision, changes.changes.size)
        }
        return changes.changes.mapNotNull(replica::apply).also { revision = changes.revision }
    }

    private suspend fun readAll(): List<RecordEvent> {
        // The next read of changes starts at the first page's revision. Changes that later pages include already are
        // then applied twice.
        val pages = RecordPages.read(store)
        revision = pages.revision
        log.info("all records read: records={} revision={}", pages.entries.size, pages.revision)
        return replica.replace(pages.entries)
    }

    private fun readSucceeded(began: Duration) {
        val failedReads = failures.reset()
        if (failedReads > 0) log.info("records can be read again: failedReads={}", failedReads)
        confirmedAt = began
    }

    private fun readFailed(failure: ServiceException) {
        val now = clock.now()
        if (!failures.countFailure(now)) return
        log.warn(
            "reading the records failed: reason={} failures={} for={}",
            failure.message,
            failures.count,
            failures.duration(now),
        )
    }

    private companion object {
        /**
         * The minimum interval between reads. It is short compared with a heartbeat interval and long compared with the
         * duration of a read.
         */
        val MIN_INTERVAL = 70.milliseconds

        /** The minimum interval after a failed read; it reduces the load on a failing key-value store. */
        val FAILURE_INTERVAL = 250.milliseconds

        /** The interval between reads that no caller requested. These reads pick up what other controllers wrote. */
        val IDLE_INTERVAL = 300.milliseconds
    }
}
