package umberslip.scheduling

import umberslip.records.LogRecord
import umberslip.records.LogRow
import umberslip.records.LoggedExit
import umberslip.records.Placement

/**
 * What the log has to hold of a progress block, written anew into as few entries as possible.
 *
 * A progress record may be larger than a value while most of its tasks run, since progress blocks are cut by the
 * first of the key-value store's limits. Until it fits, every log entry that names the progress block is kept. A copy
 * of all that those entries still say makes them free. It is an ordinary entry of the log, which every version reads:
 * later entries win over earlier ones, and a start that ended meanwhile is settled by its machine's next heartbeat.
 */
class LogCompaction(
    block: ProgressBlock,
) {
    private val job = block.job
    private val first = block.number * job.tasksPerBlock
    private val indices = first until minOf(first + job.tasksPerBlock, job.spec.tasks)
    private val starts = indices.mapNotNull { job.assigned[it] }.filter { it.recorded }.map(::placement)
    private val done = indices.filter { job.isDone(it) && !block.storedDone[it - first] }.map { LoggedExit(it, 0, true) }

    /** The highest attempt number ever logged must stay readable, since numbers only rise. */
    private val lastLogged = block.lastLogged?.takeIf { last -> starts.none { it.attempt >= last.attempt } }

    private fun placement(assignment: Assignment) = Placement(assignment.index, assignment.attempt, assignment.machineName)

    /** The rows of the progress block's job, one for each entry, such that each fits into a value. */
    fun rows(valueBytes: Int): List<LogRow> {
        val rows = ArrayList<RowBuilder>()
        val bytesPerEntry = valueBytes - LogRecord.FIXED_BYTES - LogRecord.bytes(job.spec.id)

        fun rowWithSpace(bytes: Int): RowBuilder {
            if (rows.isEmpty() || rows.last().remainingBytes < bytes) rows += RowBuilder(bytesPerEntry)
            return rows.last().also { it.remainingBytes -= bytes }
        }
        for (start in listOfNotNull(lastLogged) + starts) rowWithSpace(LogRecord.bytes(start)).starts += start
        // Ends come after all starts, so that the last attempt's end is read after its start.
        val lastEnd = lastLogged?.let { LoggedExit(it.index, it.attempt, job.isDone(it.index)) }
        for (end in listOfNotNull(lastEnd) + done) rowWithSpace(LogRecord.bytes(end)).ends += end
        return rows.map { LogRow(it.starts, it.ends) }
    }

    private class RowBuilder(
        var remainingBytes: Int,
    ) {
        val starts = ArrayList<Placement>()
        val ends = ArrayList<LoggedExit>()
    }
}
