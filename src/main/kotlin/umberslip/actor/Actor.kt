package umberslip.actor

import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.launch
import org.slf4j.LoggerFactory
import java.util.concurrent.atomic.AtomicInteger

/**
 * Owns its state, which only its own messages change, one after the other in the order in which they were sent.
 *
 * Messages from outside the controller are bounded by [capacity]: [trySend] refuses what does not fit, and its caller
 * decides what to do (the API for users answers 503, a worker's heartbeat is refused), so that no queue grows without
 * limit. What the controller's own parts send is never refused by [enqueue]: there is a bounded number of it, and the
 * outcome of a write, or a change of the records or of leadership, would never be sent again.
 *
 * Sending is safe from any thread; messages are handled on the threads of [scope]. [name] is that of the logger, after
 * `umberslip.`.
 */
abstract class Actor<M : Any>(
    private val name: String,
    private val scope: CoroutineScope,
    private val capacity: Int = DEFAULT_CAPACITY,
) {
    protected val log = LoggerFactory.getLogger("umberslip.$name")
    private val mailbox = Channel<M>(Channel.UNLIMITED)
    private val queued = AtomicInteger()

    /** For messages from outside, or hints; false where the mailbox is full. */
    fun trySend(message: M): Boolean = queued.get() < capacity && enqueue(message)

    /** For messages that must not be lost; false only once the actor has ended. */
    fun enqueue(message: M): Boolean {
        if (!mailbox.trySend(message).isSuccess) return false
        queued.incrementAndGet()
        return true
    }

    /** Handles one message. A failure is logged and affects that message alone. */
    protected abstract suspend fun receive(message: M)

    /** Begins to handle messages, those sent before included; they are handled until [scope] ends. */
    open fun start(): Job =
        scope.launch {
            for (message in mailbox) {
                queued.decrementAndGet()
                try {
                    receive(message)
                } catch (e: CancellationException) {
                    throw e
                } catch (e: Exception) {
                    log.error("message handler failed: actor={} message={}", name, message::class.simpleName, e)
                }
            }
        }

    companion object {
        /**
         * Enough for the messages of the controller's own parts. An actor that gets requests adds one for each
         * connection: requests are not pipelined, so there are never more of them at once.
         */
        const val DEFAULT_CAPACITY = 2048
    }
}
