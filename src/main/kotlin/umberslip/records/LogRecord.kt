package umberslip.records

import umberslip.core.JobId
import umberslip.core.MachineName
import umberslip.http.Fields
import umberslip.http.MalformedMessageException

/** A recorded exit: the task finished on its machine ([done]), or is certainly not there any more. */
data class LoggedExit(
    /** The task's index in its job. */
    val index: Int,
    val attempt: Long,
    val done: Boolean,
)

/** What a log entry records of one job. */
data class LogRow(
    val starts: List<Placement>,
    val exits: List<LoggedExit>,
)

/**
 * An entry of the write-ahead log: starts and exits of tasks of many jobs in one value, so that they need few writes.
 * It counts for a progress block until the block's [ProgressRecord], which is written later, has reached its [seq].
 */
data class LogRecord(
    /** The entry's place in the log; rises with every entry, also across terms. */
    val seq: Long,
    val rows: Map<JobId, LogRow>,
) {
    /** The record as it is stored. */
    fun toMap(): Map<String, Any?> =
        mapOf(
            SEQ to seq,
            ROWS to
                rows.map { (job, row) ->
                    listOf(
                        job.value,
                        row.starts.flatMap { listOf(it.index, it.attempt, it.machineName.value) },
                        row.exits.filter { it.done }.flatMap { listOf(it.index, it.attempt) },
                        row.exits.filter { !it.done }.flatMap { listOf(it.index, it.attempt) },
                    )
                },
        )

    companion object {
        private const val SEQ = "seq"
        private const val ROWS = "rows"

        // What a row has at which index: its job, then one flat list for each kind of entry.
        private const val JOB_AT = 0
        private const val STARTS_AT = 1
        private const val DONE_AT = 2
        private const val REMOVED_AT = 3

        // How many values of a flat list make up one start, and one exit.
        private const val START_FIELDS = 3
        private const val END_FIELDS = 2

        /** More than the field names and the sequence number take in JSON, which the limit of values counts. */
        const val FIXED_BYTES = 60

        // Brackets, quotes and commas of a row, a start and an exit in their JSON form.
        private const val ROW_BYTES = 14
        private const val START_BYTES = 5
        private const val END_BYTES = 2

        /** An upper bound of what a row takes without its starts and exits. */
        fun bytes(job: JobId): Int = job.value.length + ROW_BYTES

        /** An upper bound of what a start takes. */
        fun bytes(start: Placement): Int {
            val digits = start.index.toString().length + start.attempt.toString().length
            return digits + start.machineName.value.length + START_BYTES
        }

        /** An upper bound of what an exit takes. */
        fun bytes(end: LoggedExit): Int = end.index.toString().length + end.attempt.toString().length + END_BYTES

        /** @throws MalformedMessageException naming the field that is missing or invalid */
        fun parse(data: Any?): LogRecord {
            val fields = Fields.of(data)
            return LogRecord(fields.long(SEQ), fields.list(ROWS).associate(::row))
        }

        private fun row(entry: Any?): Pair<JobId, LogRow> {
            val row = entry as? List<*> ?: throw MalformedMessageException("$ROWS has a row that is not a list")
            val job =
                (row.getOrNull(JOB_AT) as? String)?.let(JobId::parse)
                    ?: throw MalformedMessageException("$ROWS has a row without a job id")
            val starts = flat(row, STARTS_AT).chunked(START_FIELDS).map(::start)
            val ends = ends(flat(row, DONE_AT), done = true) + ends(flat(row, REMOVED_AT), done = false)
            return job to LogRow(starts, ends)
        }

        private fun flat(
            row: List<*>,
            at: Int,
        ): List<*> =
            row.getOrNull(at) as? List<*>
                ?: throw MalformedMessageException("$ROWS has a row without a list at index $at")

        private fun start(values: List<*>): Placement {
            val index = values[0]
            val attempt = values.getOrNull(1)
            val machineName = values.getOrNull(2)
            if (index !is Long || attempt !is Long || machineName !is String) {
                throw MalformedMessageException("$ROWS has a start that is not [task, attempt, machine]")
            }
            return Placement(taskIndex(ROWS, index), attempt, MachineName(machineName))
        }

        private fun ends(
            flat: List<*>,
            done: Boolean,
        ): List<LoggedExit> =
            flat.chunked(END_FIELDS).map { values ->
                val index = values[0]
                val attempt = values.getOrNull(1)
                if (index !is Long || attempt !is Long) {
                    throw MalformedMessageException("$ROWS has an exit that is not [task, attempt]")
                }
                LoggedExit(taskIndex(ROWS, index), attempt, done)
            }
    }
}
