package umberslip.scheduling

import umberslip.store.Version
import kotlin.time.Duration

/** What is not recorded yet, in the order in which it became so. Removed once a write of it is applied. */
internal class PendingWrites {
    /** Assignments whose start is not recorded. */
    val starts = LinkedHashSet<Assignment>()

    /** Exits that are not recorded. */
    val exits = LinkedHashSet<TaskExit>()

    /** Progress blocks with edits that their own record does not hold. */
    val unflushedBlocks = LinkedHashSet<ProgressBlock>()

    /** Jobs that are terminal, but whose outcome is not recorded. */
    val finishedJobs = LinkedHashSet<RunningJob>()

    /** Keys to be deleted. */
    val obsoleteKeys = ArrayDeque<String>()

    /** A task of [block] changed. */
    fun edited(
        block: ProgressBlock,
        now: Duration,
    ) {
        block.edited(now)
        unflushedBlocks += block
    }

    /** Forgets all that concerns [job], and deletes its progress records. */
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
