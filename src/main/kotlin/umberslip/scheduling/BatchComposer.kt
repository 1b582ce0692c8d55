package umberslip.scheduling

import umberslip.core.MachineName
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Chooses what goes into the next batch, the most needed first. Used for one batch. */
internal class BatchComposer(
    private val transaction: TransactionBuilder,
    private val pending: PendingWrites,
    private val slots: LogSlots,
    private val now: Duration,
) {
    /**
     * Adds all that is due and fits: revoked renewals, finished jobs, entries of the log, progress records, deletions.
     *
     * @param machines those that the leader knows; lease renewal is revoked for no others
     * @param maxLogPreconditions see [LogComposer]
     */
    fun compose(
        revokedRenewals: RevokedRenewals,
        machines: Set<MachineName>,
        maxLogPreconditions: Int,
    ) {
        revokedRenewals.addTo(transaction, machines)
        addFinishedJobs()
        val mayProgressWait = LogComposer(transaction, pending, slots, maxLogPreconditions, now).compose()
        addProgress(mayProgressWait)
        addDeletions()
    }

    /** Where few writes fit, finished jobs must not keep starts waiting. */
    private fun addFinishedJobs() {
        val maxWrites = transaction.limits.maxWrites
        val halfOfWrites = maxOf(TransactionBuilder.FINISHED_JOB_WRITES, maxWrites / 2)
        val maxFinishedJobWrites = if (pending.starts.isEmpty()) maxWrites else halfOfWrites
        for (job in pending.finishedJobs) {
            if (!transaction.hasSpaceForFinishedJob(maxFinishedJobWrites)) return
            transaction.finish(job)
        }
    }

    /** A progress record that waits takes fewer writes; without enough free slots it is written to make some free. */
    private fun addProgress(mayWait: Boolean) {
        for (block in pending.unflushedBlocks) {
            if (transaction.isFull) return
            if (mayWait && (block.unflushedSince ?: now) + MAX_FLUSH_DELAY > now) return
            if (!block.job.isTerminal && !block.job.isUnreadable) addProgress(block)
        }
    }

    private fun addProgress(block: ProgressBlock) {
        val record = block.job.progressRecord(block, slots.sequenceNumber)
        val recordBytes = record.bytes
        // Its range was cut by a former, larger limit: it stays in the log, and fits once more of its tasks are done.
        if (recordBytes > transaction.limits.valueBytes) return
        transaction.putProgress(block, record, recordBytes)
        for (placement in record.placed) {
            val assignment = block.job.assigned[placement.index] ?: continue
            if (!assignment.recorded) transaction.recordStart(assignment)
        }
    }

    private fun addDeletions() {
        while (transaction.hasSpaceForWrite && pending.obsoleteKeys.isNotEmpty()) {
            transaction.delete(pending.obsoleteKeys.removeFirst())
        }
    }

    private companion object {
        /** A progress record is written this long after its oldest edit, if its job is not terminal by then. */
        val MAX_FLUSH_DELAY = 20.seconds
    }
}
