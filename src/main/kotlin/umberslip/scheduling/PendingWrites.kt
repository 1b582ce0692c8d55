package umberslip.scheduling

import umberslip.store.Version
import kotlin.time.Duration

/** The pending writes, each kind in the order of arrival. They are removed once a batch that holds them is applied. */
internal class PendingWrites {
    /** Assignments whose start is not recorded. */
    val starts = LinkedHashSet<Assignment>()

    /** Exits that are not recorded. */
    val exits = LinkedHashSet<TaskExit>()

    /** Progress blocks with edits that their own record does not hold. */
    val unflushedBlocks = LinkedHashSet<ProgressBlock>()

    /** Jobs that are terminal, but whose outcome is not recorded. */
    val finishedJobs = LinkedHashSet<RunningJob>()

    /** Keys to be deleted. Unlike the others, they are removed from here as soon as they are added to a batch. */
    val obsoleteKeys = ArrayDeque<String>()

    /** Notes that a task of [block] changed, so that its progress record has to be written. */
    fun blockEdited(
        block: ProgressBlock,
        now: Duration,
    ) {
        block.edited(now)
        unflushedBlocks += block
    }

    /** Removes all pending writes of [job], and queues the deletion of its progress records. */
    fun remove(job: RunningJob) {
        starts.removeAll { it.job === job }
        exits.removeAll { it.job === job }
        finishedJobs -= job
        for (block in job.usedBlocks()) {
            block.discard()
            unflushedBlocks -= block
            if (block.version != Version.NONE) obsoleteKeys += block.key
        }
    }
}
