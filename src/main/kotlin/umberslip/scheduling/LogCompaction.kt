package umberslip.scheduling

import umberslip.records.LogRecord
import umberslip.records.LogRow
import umberslip.records.LoggedExit
import umberslip.records.Placement

/**
 * Copies everything that the log has to hold for a progress block into as few entries as possible.
 *
 * A progress record may be larger than a value while most of its tasks run: progress blocks are sized by the first of
 * the key-value store's value limits, and a later limit may be lower. Until the record fits, every log entry that
 * affects the block is retained. A copy of everything that is still valid in those entries frees them. The copy
 * consists of ordinary log entries, which every version reads: later entries take precedence over earlier ones, and a
 * start whose task has exited meanwhile is reconciled with the next heartbeat of its machine.
 */
internal class LogCompaction(
    block: ProgressBlock,
) {
    private val job = block.job
    private val firstIndex = block.number * job.tasksPerBlock
    private val indices = firstIndex until minOf(firstIndex + job.tasksPerBlock, job.spec.tasks)
    private val starts = indices.mapNotNull { job.assigned[it] }.filter { it.recorded }.map(::placementOf)
    private val doneExits =
        indices
            .filter { job.isDone(it) && !block.storedDone[it - firstIndex] }
            .map { LoggedExit(it, ANY_ATTEMPT, true) }

    /**
     * The logged start with the highest attempt number, which must remain in the log since attempt numbers only rise.
     * Null if one of [starts] has at least that number.
     */
    private val lastLoggedStart = block.lastLoggedStart?.takeIf { last -> starts.none { it.attempt >= last.attempt } }

    private fun placementOf(start: Assignment) = Placement(start.index, start.attempt, start.machineName)

    /** Returns the rows of the block's job, each for a log entry of its own that fits into a value of [valueBytes]. */
    fun rows(valueBytes: Int): List<LogRow> {
        val rows = RowSequence(valueBytes - LogRecord.FIXED_BYTES - LogRecord.bytes(job.spec.id))
        for (start in listOfNotNull(lastLoggedStart) + starts) rows.rowWithSpace(LogRecord.bytes(start)).starts += start
        // Exits follow all starts, so that the exit of the last logged attempt is read after its start.
        val lastExit = lastLoggedStart?.let { LoggedExit(it.index, it.attempt, job.isDone(it.index)) }
        for (exit in listOfNotNull(lastExit) + doneExits) rows.rowWithSpace(LogRecord.bytes(exit)).exits += exit
        return rows.build()
    }

    /** Rows that are filled one after the other, each up to [bytesPerRow]. */
    private class RowSequence(
        private val bytesPerRow: Int,
    ) {
        private val rows = ArrayList<LogRowBuilder>()
        private var remainingBytes = 0

        /**
         * Returns the last row, or a new one if the last has fewer than [bytes] left, and uses up these bytes of it.
         */
        fun rowWithSpace(bytes: Int): LogRowBuilder {
            if (rows.isEmpty() || remainingBytes < bytes) {
                rows += LogRowBuilder()
                remainingBytes = bytesPerRow
            }
            remainingBytes -= bytes
            return rows.last()
        }

        fun build(): List<LogRow> = rows.map { it.build() }
    }

    private companion object {
        /** The attempt number of an exit has no effect if the task is done. */
        const val ANY_ATTEMPT = 0L
    }
}
