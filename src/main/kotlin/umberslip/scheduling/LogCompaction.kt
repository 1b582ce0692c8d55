package umberslip.scheduling

import umberslip.records.LogRecord
import umberslip.records.LogRow
import umberslip.records.LoggedExit
import umberslip.records.Placement

/**
 * Copies all that the log has to hold of a progress block into as few entries as possible.
 *
 * A progress record may be larger than a value while most of its tasks run, since progress blocks are cut by the
 * first of the key-value store's limits. Until it fits, every log entry that names the progress block is retained. A
 * copy of all that those entries still say makes them free. It is an ordinary entry of the log, which every version
 * reads: later entries win over earlier ones, and a start whose task exited meanwhile is reconciled with its machine's
 * next heartbeat.
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

    /** The highest attempt number ever logged must stay readable, since numbers only rise. */
    private val lastLogged = block.lastLogged?.takeIf { last -> starts.none { it.attempt >= last.attempt } }

    private fun placementOf(start: Assignment) = Placement(start.index, start.attempt, start.machineName)

    /** The rows of the block's job, each for an entry of its own that fits into a value of [valueBytes]. */
    fun rows(valueBytes: Int): List<LogRow> {
        val rows = RowSequence(valueBytes - LogRecord.FIXED_BYTES - LogRecord.bytes(job.spec.id))
        for (start in listOfNotNull(lastLogged) + starts) rows.withSpace(LogRecord.bytes(start)).starts += start
        // Exits follow all starts, so that the exit of the last logged attempt is read after its start.
        val lastExit = lastLogged?.let { LoggedExit(it.index, it.attempt, job.isDone(it.index)) }
        for (exit in listOfNotNull(lastExit) + doneExits) rows.withSpace(LogRecord.bytes(exit)).exits += exit
        return rows.build()
    }

    /** Rows that are filled one after the other, each up to [bytesPerRow]. */
    private class RowSequence(
        private val bytesPerRow: Int,
    ) {
        private val rows = ArrayList<LogRowBuilder>()
        private var remainingBytes = 0

        /** The last row, or a new one where the last does not have so many bytes left; takes them. */
        fun withSpace(bytes: Int): LogRowBuilder {
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
        /** Of a task that is done it does not matter which attempt it was. */
        const val ANY_ATTEMPT = 0L
    }
}
