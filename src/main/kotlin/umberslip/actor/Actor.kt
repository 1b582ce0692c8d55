package umberslip.actor

import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.launch
import org.slf4j.LoggerFactory
import java.util.concurrent.atomic.AtomicInteger

/**
 * A component that owns its state. Only its messages change the state; it handles them one at a time, in the order in
 * which they were sent.
 *
 * [capacity] bounds the mailbox for messages from outside the controller. If that many messages are queued, [trySend]
 * refuses the message and the caller decides what to do: the API for users responds with 503, and a worker's heartbeat
 * is refused. [enqueue] never refuses messages from the controller's own components while the actor runs. The number of
 * those messages is bounded, and some of them, such as the outcome of a write or a change of the records or of
 * leadership, would never be sent again.
 *
 * Messages may be sent from any thread and are handled on the threads of [scope]. The actor's logger is named
 * `umberslip.` followed by [name].
 */
abstract class Actor<M : Any>(
    private val name: String,
    private val scope: CoroutineScope,
    private val capacity: Int = DEFAULT_CAPACITY,
) {
    protected val log = LoggerFactory.getLogger("umberslip.$name")
    private val mailbox = Channel<M>(Channel.UNLIMITED)
    private val queuedCount = AtomicInteger()

    /** Sends a message from outside the controller, or a hint. Returns false if the mailbox is full. */
    fun trySend(message: M): Boolean = queuedCount.get() < capacity && enqueue(message)

    /** Sends a message that must not be lost. Returns false only once the actor has ended. */
    fun enqueue(message: M): Boolean {
        if (!mailbox.trySend(message).isSuccess) return false
        queuedCount.incrementAndGet()
        return true
    }

    /** Handles one message. An exception is logged, and the next message is handled as usual. */
    protected abstract suspend fun receive(message: M)

    /** Starts to handle messages, including those sent earlier, until [scope] ends. */
    open fun start(): Job =
        scope.launch {
            for (message in mailbox) {
                queuedCount.decrementAndGet()
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
         * This capacity is sufficient for the messages of the controller's own components. An actor that receives
         * requests adds the maximum number of connections: requests are not pipelined, so each connection has at most
         * one at a time.
         */
        const val DEFAULT_CAPACITY = 2048
    }
}
