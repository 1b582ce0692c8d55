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

/** What the [RecordWatcher] handles. */
sealed interface RecordWatcherMessage {
    /** Answered with a view confirmed by a read that began after this message; null where that read failed. */
    class Confirm(
        val answer: CompletableDeferred<RecordView?>,
    ) : RecordWatcherMessage

    /** Something was written that controllers should see soon. */
    data object Refresh : RecordWatcherMessage

    /** The watcher's own: the read under way ended. */
    class ReadCompleted(
        val confirmed: Boolean,
    ) : RecordWatcherMessage

    /** The watcher's own: its timer fired. */
    data object Due : RecordWatcherMessage
}

/** Receives the events of each confirmed read; called on the actors' thread. */
fun interface RecordListener {
    /** The replica shows [events] and everything else that was written before [readBegan]. */
    fun changed(
        events: List<RecordEvent>,
        readBegan: Duration,
    )
}

/**
 * Keeps a replica of the records up to date by reading the changes after the last known revision. One read runs at a
 * time; all who ask for a confirmed view while it runs share the next one.
 */
class RecordWatcher(
    private val scope: CoroutineScope,
    private val store: KeyValueStore,
    private val clock: Clock,
    /** How many requests there can be at once: each may wait for a read. */
    private val maxRequests: Int,
    private val listener: RecordListener,
) : Actor<RecordWatcherMessage>("records", scope, DEFAULT_CAPACITY + maxRequests) {
    private val maxWaiting = DEFAULT_CAPACITY + maxRequests
    private val replica = RecordReplica()

    /** The revision that the replica shows; null before the first complete read. */
    private var revision: Long? = null
    private var isReading = false

    /** Who is answered by the read under way, and who by the next one. */
    private var askedBeforeRead = ArrayList<CompletableDeferred<RecordView?>>()
    private var waiting = ArrayList<CompletableDeferred<RecordView?>>()
    private var refreshRequested = false
    private var lastFailed = false
    private val failures = FailureSeries()
    private var lastBegan = Duration.ZERO
    private var timer: Job? = null

    /** When the last confirmed read began, or null before the first. */
    var confirmedAt: Duration? = null
        private set

    /** The records as of a read that begins after this call; null where it failed or too many callers wait. */
    suspend fun confirm(): RecordView? {
        val answer = CompletableDeferred<RecordView?>()
        if (!trySend(RecordWatcherMessage.Confirm(answer))) return null
        return answer.await()
    }

    override fun start(): Job = super.start().also { trySend(RecordWatcherMessage.Refresh) }

    override suspend fun receive(message: RecordWatcherMessage) {
        when (message) {
            is RecordWatcherMessage.Confirm -> {
                if (waiting.size < maxWaiting) waiting.add(message.answer) else message.answer.complete(null)
            }
            RecordWatcherMessage.Refresh -> refreshRequested = true
            RecordWatcherMessage.Due -> {
                timer = null
                if (clock.now() - lastBegan >= IDLE_INTERVAL) refreshRequested = true
            }
            is RecordWatcherMessage.ReadCompleted -> readCompleted(message.confirmed)
        }
        schedule()
    }

    private fun readCompleted(confirmed: Boolean) {
        isReading = false
        // A read that failed unexpectedly is spaced out as well.
        lastFailed = !confirmed
        val answered = askedBeforeRead
        askedBeforeRead = ArrayList()
        answered.forEach { it.complete(if (confirmed) replica else null) }
    }

    /** Begins the next read, or sets the timer for it. */
    private fun schedule() {
        if (isReading) return
        val now = clock.now()
        val isWanted = refreshRequested || waiting.isNotEmpty()
        // Reads are spaced out: those who ask meanwhile share one, and the key-value store's rate limit is kept.
        val interval = if (lastFailed) FAILURE_INTERVAL else MIN_INTERVAL
        val sinceLast = now - lastBegan
        if (isWanted && (sinceLast >= interval || lastBegan == Duration.ZERO)) {
            begin(now)
        } else if (timer?.isActive != true || isWanted) {
            startTimer((if (isWanted) interval else IDLE_INTERVAL) - sinceLast)
        }
    }

    private fun startTimer(wait: Duration) {
        timer?.cancel()
        timer =
            scope.launch {
                delay(wait)
                timer = null
                enqueue(RecordWatcherMessage.Due)
            }
    }

    private fun begin(now: Duration) {
        timer?.cancel()
        timer = null
        isReading = true
        refreshRequested = false
        lastBegan = now
        askedBeforeRead = waiting
        waiting = ArrayList()
        scope.launch {
            var confirmed = false
            try {
                confirmed = read(now)
            } finally {
                // However the read ended: without this message no other would ever begin.
                enqueue(RecordWatcherMessage.ReadCompleted(confirmed))
            }
        }
    }

    /** Whether the replica is confirmed to show everything written before [began]. */
    private suspend fun read(began: Duration): Boolean {
        try {
            val events = readChanges() ?: readAll()
            succeeded(began)
            listener.changed(events, began)
            return true
        } catch (e: ServiceException) {
            failed(e)
            return false
        }
    }

    /** Null where everything has to be read: at first, and where the known revision is too old. */
    private suspend fun readChanges(): List<RecordEvent>? {
        val from = revision ?: return null
        val changes = store.changes(Keys.ROOT, from) ?: return null
        if (changes.changes.isNotEmpty()) {
            log.debug("changes read: after={} revision={} changes={}", from, changes.revision, changes.changes.size)
        }
        return changes.changes.mapNotNull(replica::apply).also { revision = changes.revision }
    }

    private suspend fun readAll(): List<RecordEvent> {
        // Changes are read on from the first page's revision: what later pages show already is applied twice.
        val pages = RecordPages.read(store)
        revision = pages.revision
        log.info("all records read: records={} revision={}", pages.entries.size, pages.revision)
        return replica.replace(pages.entries)
    }

    private fun succeeded(began: Duration) {
        val failedReads = failures.reset()
        if (failedReads > 0) log.info("records can be read again: failedReads={}", failedReads)
        confirmedAt = began
    }

    private fun failed(failure: ServiceException) {
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
        /** Between reads that somebody waits for: short beside a heartbeat, long beside a read. */
        val MIN_INTERVAL = 70.milliseconds

        /** Between reads while they fail, so that a struggling key-value store is spared. */
        val FAILURE_INTERVAL = 250.milliseconds

        /** Between reads that nobody asked for: they show what other controllers wrote. */
        val IDLE_INTERVAL = 300.milliseconds
    }
}
