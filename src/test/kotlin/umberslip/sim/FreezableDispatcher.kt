package umberslip.sim

import kotlinx.coroutines.CoroutineDispatcher
import kotlinx.coroutines.Delay
import kotlinx.coroutines.InternalCoroutinesApi
import kotlinx.coroutines.Runnable
import kotlin.coroutines.CoroutineContext

/**
 * Runs a process's coroutines on [base] and can hold all of them up, as when the process is not scheduled for a while:
 * timers come due meanwhile, and all that became ready runs at once afterwards, in order.
 */
@OptIn(InternalCoroutinesApi::class)
class FreezableDispatcher(
    private val base: CoroutineDispatcher,
) : CoroutineDispatcher(),
    Delay by base as Delay {
    private val held = ArrayDeque<Pair<CoroutineContext, Runnable>>()
    private var frozen = false

    fun freeze() {
        frozen = true
    }

    fun thaw() {
        frozen = false
        while (held.isNotEmpty()) {
            val (context, block) = held.removeFirst()
            dispatch(context, block)
        }
    }

    override fun dispatch(
        context: CoroutineContext,
        block: Runnable,
    ) {
        base.dispatch(context, Runnable { if (frozen) held.addLast(context to block) else block.run() })
    }
}
