package umberslip.scheduling

import umberslip.core.JobId
import umberslip.records.LogRecord
import umberslip.records.LogRow
import umberslip.records.LoggedExit
import umberslip.records.Placement

/** Builds the row of a log entry that holds the starts and exits of one job. */
internal class LogRowBuilder {
    val starts = ArrayList<Placement>()
    val exits = ArrayList<LoggedExit>()

    fun build() = LogRow(starts, exits)
}

/** Builds a log entry with starts and exits of many jobs, which together fit into a value of [valueBytes]. */
internal class LogEntryBuilder(
    private val valueBytes: Int,
) {
    private val rows = LinkedHashMap<JobId, LogRowBuilder>()
    private val affectedBlocks = LinkedHashSet<ProgressBlock>()

    /** The estimated size of the entry in its JSON form. */
    var bytes = LogRecord.FIXED_BYTES
        private set

    /** The progress blocks that the entry affects: those of all tasks in it. */
    val blocks: Set<ProgressBlock> get() = affectedBlocks

    val isEmpty: Boolean get() = affectedBlocks.isEmpty()

    /** Adds a start. Returns false without adding it if it does not fit. */
    fun add(assignment: Assignment): Boolean {
        val placement = Placement(assignment.index, assignment.attempt, assignment.machineName)
        if (!reserveSpace(assignment.job, LogRecord.bytes(placement))) return false
        rowOf(assignment.job).starts += placement
        affectedBlocks += assignment.job.block(assignment.index)
        return true
    }

    /** Adds an exit. Returns false without adding it if it does not fit. */
    fun add(exit: TaskExit): Boolean {
        val loggedExit = LoggedExit(exit.index, exit.attempt, exit.done)
        if (!reserveSpace(exit.job, LogRecord.bytes(loggedExit))) return false
        rowOf(exit.job).exits += loggedExit
        affectedBlocks += exit.job.block(exit.index)
        return true
    }

    fun build(sequenceNumber: Long) = LogRecord(sequenceNumber, rows.mapValues { (_, row) -> row.build() })

    /**
     * Reserves space for a start or an exit. Returns false if it does not fit. The first one of an entry always fits,
     * since there is no smaller entry that could hold it.
     */
    private fun reserveSpace(
        job: RunningJob,
        taskBytes: Int,
    ): Boolean {
        val neededBytes = taskBytes + if (job.spec.id in rows) 0 else LogRecord.bytes(job.spec.id)
        if (!isEmpty && bytes + neededBytes > valueBytes) return false
        bytes += neededBytes
        return true
    }

    private fun rowOf(job: RunningJob) = rows.getOrPut(job.spec.id) { LogRowBuilder() }
}
