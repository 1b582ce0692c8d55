package umberslip.actor

import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.launch
import org.slf4j.LoggerFactory
import kotlin.time.Duration

/** The steady clock, as the time passed since some fixed moment of this process. */
fun interface Clock {
    fun now(): Duration
}

/**
 * Owns its state and is spoken to by messages only.
 *
 * The mailbox is bounded: a sender whose message does not fit is told so and decides for itself
 * (a front door answers 503, a worker's report is refused), so no queue grows without limit.
 */
abstract class Actor<M : Any>(private val name: String, private val scope: CoroutineScope, capacity: Int = 2048) {
    protected val log = LoggerFactory.getLogger("umberslip.$name")
    private val mailbox = Channel<M>(capacity)

    fun tell(message: M): Boolean = mailbox.trySend(message).isSuccess

    /** Handles one message; a failure is logged and harms that message alone. */
    protected abstract suspend fun receive(message: M)

    open fun start(): Job = scope.launch {
        for (message in mailbox) {
            try {
                receive(message)
            } catch (e: CancellationException) {
                throw e
            } catch (e: Exception) {
                log.error("{} failed on {}", name, message::class.simpleName, e)
            }
        }
    }
}
