package umberslip.actor

import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.launch
import org.slf4j.LoggerFactory
import java.util.concurrent.atomic.AtomicInteger
import kotlin.time.Duration

/**
 * Owns its state and is spoken to by messages only.
 *
 * What comes from outside is bounded: a sender whose message does not fit is told so and decides for
 * itself (a front door answers 503, a worker's heartbeat is refused), so no queue grows without limit.
 * What the controller's own parts owe one another always has room: there is a bounded number of it, and
 * an outcome, a change of the records or of leadership that went missing would never be made good.
 */
abstract class Actor<M : Any>(
    private val name: String,
    private val scope: CoroutineScope,
    private val capacity: Int = DEFAULT_CAPACITY,
) {
    protected val log = LoggerFactory.getLogger("umberslip.$name")
    private val mailbox = Channel<M>(Channel.UNLIMITED)
    private val queued = AtomicInteger()

    /** For what comes from outside, or is a hint; false where the mailbox is full. */
    fun trySend(message: M): Boolean = queued.get() < capacity && enqueue(message)

    /** For what must not be lost; false only once the actor has ended. */
    fun enqueue(message: M): Boolean {
        if (!mailbox.trySend(message).isSuccess) return false
        queued.incrementAndGet()
        return true
    }

    /** Handles one message; a failure is logged and harms that message alone. */
    protected abstract suspend fun receive(message: M)

    open fun start(): Job =
        scope.launch {
            for (message in mailbox) {
                queued.decrementAndGet()
                try {
                    receive(message)
                } catch (e: CancellationException) {
                    throw e
                } catch (e: Exception) {
                    log.error("{} failed on {}", name, message::class.simpleName, e)
                }
            }
        }

    companion object {
        /**
         * Room for what an actor's own parts send. An actor that gets requests adds one for each connection: requests
         * are not pipelined, so there are never more of them at once.
         */
        const val DEFAULT_CAPACITY = 2048
    }
}
