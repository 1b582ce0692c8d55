package umberslip.scheduling

import kotlin.time.Duration

/**
 * The end of a task's attempt on its machine, to be recorded: the task exited, or is certainly not on the machine.
 *
 * Made by [WriteAheadLog.ended]. Confined to the leader actor.
 */
class TaskExit(
    val job: RunningJob,
    val index: Int,
    val attempt: Long,
    /** Whether the task completed successfully; otherwise it waits to be placed again. */
    val done: Boolean,
    /** The edit of its progress block that stands for it. */
    private val edit: BlockEdit,
    /** When the leader received it, or became certain of it. */
    val since: Duration,
) {
    private var isLogged = false

    /** Whether the log or the block's record holds it: the worker may be commanded to clear the task. */
    val isRecorded: Boolean get() = isLogged || edit.block.isInRecord(edit.edit)

    /** The log holds it. */
    fun logged() {
        isLogged = true
    }
}
