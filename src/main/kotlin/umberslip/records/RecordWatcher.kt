package umberslip.records

import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import umberslip.actor.Actor
import umberslip.core.Clock
import umberslip.http.NoResponseException
import umberslip.http.ServiceUnavailableException
import umberslip.store.KeyValueStore
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

sealed interface RecordWatcherMessage {
    /** Answered with a snapshot confirmed by a read begun after this came; null where that failed. */
    class Confirm(
        val answer: CompletableDeferred<RecordView?>,
    ) : RecordWatcherMessage

    /** Something was written that others should see soon. */
    data object Refresh : RecordWatcherMessage

    class ReadCompleted(
        val confirmed: Boolean,
    ) : RecordWatcherMessage

    data object Due : RecordWatcherMessage
}

/** What becomes of the events that reads bring; called on the actors' thread. */
fun interface RecordListener {
    fun changed(
        events: List<RecordEvent>,
        readBegan: Duration,
    )
}

/**
 * Keeps the replica up to date by reading the changes after the last known revision. One read runs
 * at a time; all who ask while it runs share the next one.
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
    private var revision: Long? = null
    private var reading = false
    private var running = ArrayList<CompletableDeferred<RecordView?>>()
    private var waiting = ArrayList<CompletableDeferred<RecordView?>>()
    private var refreshRequested = false
    private var failures = 0
    private var lastBegan = Duration.ZERO
    private var timer: Job? = null

    /** When the last confirmed read began, or null before the first. */
    var confirmedAt: Duration? = null
        private set

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
                if (clock.now() - lastBegan >= IDLE) refreshRequested = true
            }
            is RecordWatcherMessage.ReadCompleted -> {
                reading = false
                val asked = running
                running = ArrayList()
                asked.forEach { it.complete(if (message.confirmed) replica else null) }
            }
        }
        schedule()
    }

    private fun schedule() {
        if (reading) return
        val now = clock.now()
        val wanted = refreshRequested || waiting.isNotEmpty()
        // Reads are spaced out: those who ask meanwhile share one, and the service's rate is kept.
        val gap = if (failures > 0) BACK_OFF else SPACING
        val since = now - lastBegan
        if (wanted && (since >= gap || lastBegan == Duration.ZERO)) {
            begin(now)
        } else if (timer?.isActive != true || wanted) {
            timer?.cancel()
            timer =
                scope.launch {
                    delay(if (wanted) gap - since else IDLE - since)
                    timer = null
                    enqueue(RecordWatcherMessage.Due)
                }
        }
    }

    private fun begin(now: Duration) {
        timer?.cancel()
        timer = null
        reading = true
        refreshRequested = false
        lastBegan = now
        running = waiting
        waiting = ArrayList()
        scope.launch {
            val confirmed = read(now)
            enqueue(RecordWatcherMessage.ReadCompleted(confirmed))
        }
    }

    private suspend fun read(began: Duration): Boolean {
        try {
            val from = revision
            val changes = if (from == null) null else store.changes(Keys.ROOT, from)
            val events =
                if (changes == null) {
                    readAll()
                } else {
                    changes.changes.mapNotNull(replica::apply).also { revision = changes.revision }
                }
            if (failures > 0) log.info("the state service answers again after {} failed reads", failures)
            failures = 0
            confirmedAt = began
            listener.changed(events, began)
            return true
        } catch (e: ServiceUnavailableException) {
            failed(e.message)
        } catch (e: NoResponseException) {
            failed(e.message)
        }
        return false
    }

    private suspend fun readAll(): List<RecordEvent> {
        // Changes are taken up from the first page's revision: what the later pages already show is then seen twice.
        val pages = RecordPages.read(store)
        revision = pages.revision
        log.info("read {} records at revision {}", pages.entries.size, pages.revision)
        return replica.replace(pages.entries)
    }

    private fun failed(why: String?) {
        failures++
        if (failures == 1) log.warn("the records cannot be read: {}", why)
    }

    private companion object {
        val SPACING = 70.milliseconds
        val BACK_OFF = 250.milliseconds
        val IDLE = 300.milliseconds
    }
}
