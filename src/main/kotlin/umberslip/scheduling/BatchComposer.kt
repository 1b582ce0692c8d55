package umberslip.scheduling

import umberslip.core.MachineName
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Composes the next batch, the most urgent writes first. An instance composes one batch only. */
internal class BatchComposer(
    private val transaction: TransactionBuilder,
    private val pending: PendingWrites,
    private val slots: LogSlots,
    private val now: Duration,
) {
    /**
     * Adds all writes that are due and fit, in this order: revoked renewals, finished jobs, log entries, progress
     * records and deletions.
     *
     * @param knownMachines the machines that the leader knows; lease renewal is revoked only for these
     * @param maxLogPreconditions the limit of preconditions for [LogComposer]
     */
    fun compose(
        revokedRenewals: RevokedRenewals,
        knownMachines: Set<MachineName>,
        maxLogPreconditions: Int,
    ) {
        revokedRenewals.addTo(transaction, knownMachines)
        addFinishedJobs()
        val mayDelayProgress = LogComposer(transaction, pending, slots, maxLogPreconditions, now).compose()
        addProgress(mayDelayProgress)
        addDeletions()
    }

    /**
     * Adds finished jobs. While starts are pending, finished jobs may fill only about half of the writes. Otherwise
     * starts would have to wait for them where few writes fit into a transaction.
     */
    private fun addFinishedJobs() {
        val maxWrites = transaction.limits.maxWrites
        val maxWritesWithStarts = maxOf(TransactionBuilder.FINISHED_JOB_WRITES, maxWrites / 2)
        val maxFinishedJobWrites = if (pending.starts.isEmpty()) maxWrites else maxWritesWithStarts
        for (job in pending.finishedJobs) {
            if (!transaction.hasSpaceForFinishedJob(maxFinishedJobWrites)) return
            transaction.finishJob(job)
        }
    }

    /**
     * Adds progress records. With [mayDelay], only those are added that have waited long enough, since later records
     * cover more edits and so need fewer writes. Without it, records are added at once, to free slots of the log.
     */
    private fun addProgress(mayDelay: Boolean) {
        for (block in pending.unflushedBlocks) {
            if (transaction.isFull) return
            if (mayDelay && (block.unflushedSince ?: now) + MAX_FLUSH_DELAY > now) return
            if (!block.job.isTerminal && !block.job.isUnreadable) addProgress(block)
        }
    }

    private fun addProgress(block: ProgressBlock) {
        val record = block.job.progressRecord(block, slots.sequenceNumber)
        val recordBytes = record.bytes
        // The block was sized for an earlier, larger limit. Its edits stay in the log, and its record fits once more of
        // its tasks are done.
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
        /**
         * A progress record is written once it has lacked an edit for this long, unless its job is terminal by then.
         */
        val MAX_FLUSH_DELAY = 20.seconds
    }
}
