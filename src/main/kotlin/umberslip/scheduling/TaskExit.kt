package umberslip.scheduling

import kotlin.time.Duration

/**
 * The end of a task attempt on its machine, which is to be recorded: the task exited, or is certainly not on the
 * machine.
 *
 * Created by [WriteAheadLog.ended]. Confined to the leader actor.
 */
class TaskExit(
    val job: RunningJob,
    val index: Int,
    val attempt: Long,
    /** Whether the task completed successfully; otherwise it waits to be placed again. */
    val done: Boolean,
    /** The edit of the task's progress block that includes the exit. */
    private val edit: BlockEdit,
    /** When the leader received the exit, or became certain of it. */
    val since: Duration,
) {
    private var isLogged = false

    /** Whether the exit is stored in the log or the progress record, so that the worker may clear the task. */
    val isRecorded: Boolean get() = isLogged || edit.block.isInRecord(edit.edit)

    /** Notes that the exit is stored in the log. */
    fun logged() {
        isLogged = true
    }
}
