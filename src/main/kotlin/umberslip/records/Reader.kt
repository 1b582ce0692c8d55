package umberslip.records

import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import umberslip.actor.Actor
import umberslip.actor.Clock
import umberslip.http.NoAnswer
import umberslip.http.Unavailable
import umberslip.state.StateService
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

sealed interface ReaderMessage {
    /** Answered with a snapshot confirmed by a read begun after this came; null where that failed. */
    class Confirm(
        val answer: CompletableDeferred<RecordView?>,
    ) : ReaderMessage

    /** Something was written that others should see soon. */
    data object Nudge : ReaderMessage

    class ReadEnded(
        val confirmed: Boolean,
    ) : ReaderMessage

    data object Due : ReaderMessage
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
class Reader(
    private val scope: CoroutineScope,
    private val state: StateService,
    private val clock: Clock,
    /** How many requests there can be at once: each may wait for a read. */
    private val maxRequests: Int,
    private val listener: RecordListener,
) : Actor<ReaderMessage>("records", scope, DEFAULT_CAPACITY + maxRequests) {
    private val maxWaiting = DEFAULT_CAPACITY + maxRequests
    private val replica = Replica()
    private var revision: Long? = null
    private var reading = false
    private var running = ArrayList<CompletableDeferred<RecordView?>>()
    private var waiting = ArrayList<CompletableDeferred<RecordView?>>()
    private var nudged = false
    private var failures = 0
    private var lastBegan = Duration.ZERO
    private var timer: Job? = null

    /** When the last confirmed read began, or null before the first. */
    var confirmedAt: Duration? = null
        private set

    suspend fun confirm(): RecordView? {
        val answer = CompletableDeferred<RecordView?>()
        if (!tell(ReaderMessage.Confirm(answer))) return null
        return answer.await()
    }

    override fun start(): Job = super.start().also { tell(ReaderMessage.Nudge) }

    override suspend fun receive(message: ReaderMessage) {
        when (message) {
            is ReaderMessage.Confirm -> {
                if (waiting.size < maxWaiting) waiting.add(message.answer) else message.answer.complete(null)
            }
            ReaderMessage.Nudge -> nudged = true
            ReaderMessage.Due -> {
                timer = null
                if (clock.now() - lastBegan >= IDLE) nudged = true
            }
            is ReaderMessage.ReadEnded -> {
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
        val wanted = nudged || waiting.isNotEmpty()
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
                    post(ReaderMessage.Due)
                }
        }
    }

    private fun begin(now: Duration) {
        timer?.cancel()
        timer = null
        reading = true
        nudged = false
        lastBegan = now
        running = waiting
        waiting = ArrayList()
        scope.launch {
            val confirmed = read(now)
            post(ReaderMessage.ReadEnded(confirmed))
        }
    }

    private suspend fun read(began: Duration): Boolean {
        try {
            val from = revision
            val changes = if (from == null) null else state.changes(Keys.ROOT, from)
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
        } catch (e: Unavailable) {
            failed(e.message)
        } catch (e: NoAnswer) {
            failed(e.message)
        }
        return false
    }

    private suspend fun readAll(): List<RecordEvent> {
        // Changes are taken up from the first page's revision: what the later pages already show is then seen twice.
        val pages = RecordPages.read(state)
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
