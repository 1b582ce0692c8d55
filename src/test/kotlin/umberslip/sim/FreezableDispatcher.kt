package umberslip.sim

import kotlinx.coroutines.CoroutineDispatcher
import kotlinx.coroutines.Delay
import kotlinx.coroutines.InternalCoroutinesApi
import kotlinx.coroutines.Runnable
import kotlin.coroutines.CoroutineContext

/**
 * Runs the coroutines of a simulated process on [base] and can suspend all of them, as if the operating system did not
 * schedule the process for a while. Timers expire meanwhile. Everything that became ready runs in order once the
 * process continues.
 */
@OptIn(InternalCoroutinesApi::class)
class FreezableDispatcher(
    private val base: CoroutineDispatcher,
) : CoroutineDispatcher(),
    Delay by base as Delay {
    private val heldBlocks = ArrayDeque<Pair<CoroutineContext, Runnable>>()
    private var isFrozen = false

    fun freeze() {
        isFrozen = true
    }

    fun thaw() {
        isFrozen = false
        while (heldBlocks.isNotEmpty()) {
            val (context, block) = heldBlocks.removeFirst()
            dispatch(context, block)
        }
    }

    override fun dispatch(
        context: CoroutineContext,
        block: Runnable,
    ) {
        base.dispatch(context, Runnable { if (isFrozen) heldBlocks.addLast(context to block) else block.run() })
    }
}
