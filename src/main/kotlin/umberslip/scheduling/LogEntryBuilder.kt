package umberslip.scheduling

import umberslip.core.JobId
import umberslip.records.LogRecord
import umberslip.records.LogRow
import umberslip.records.LoggedExit
import umberslip.records.Placement

/** The starts and exits of one job in an entry of the log. */
internal class LogRowBuilder {
    val starts = ArrayList<Placement>()
    val exits = ArrayList<LoggedExit>()

    fun build() = LogRow(starts, exits)
}

/** An entry of the log with starts and exits of many jobs, which together fit into a value of [valueBytes]. */
internal class LogEntryBuilder(
    private val valueBytes: Int,
) {
    private val rows = LinkedHashMap<JobId, LogRowBuilder>()
    private val namedBlocks = LinkedHashSet<ProgressBlock>()

    /** An estimate of what the entry takes, by its JSON form. */
    var bytes = LogRecord.FIXED_BYTES
        private set

    /** The progress blocks of all tasks in the entry. */
    val blocks: Set<ProgressBlock> get() = namedBlocks

    val isEmpty: Boolean get() = namedBlocks.isEmpty()

    /** Adds a start; false, and nothing added, where it does not fit. */
    fun add(assignment: Assignment): Boolean {
        val placement = Placement(assignment.index, assignment.attempt, assignment.machineName)
        if (!takeSpace(assignment.job, LogRecord.bytes(placement))) return false
        rowOf(assignment.job).starts += placement
        namedBlocks += assignment.job.block(assignment.index)
        return true
    }

    /** Adds an exit; false, and nothing added, where it does not fit. */
    fun add(exit: TaskExit): Boolean {
        val loggedExit = LoggedExit(exit.index, exit.attempt, exit.done)
        if (!takeSpace(exit.job, LogRecord.bytes(loggedExit))) return false
        rowOf(exit.job).exits += loggedExit
        namedBlocks += exit.job.block(exit.index)
        return true
    }

    fun build(sequenceNumber: Long) = LogRecord(sequenceNumber, rows.mapValues { (_, row) -> row.build() })

    /** The first of an entry always fits, since there is no smaller entry that it could be in. */
    private fun takeSpace(
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
