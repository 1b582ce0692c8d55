package umberslip.records

import umberslip.core.JobId
import umberslip.core.MachineName
import umberslip.http.Fields
import umberslip.http.MalformedMessageException

/** A recorded exit: the task either finished on its machine ([done]) or is certainly no longer on it. */
data class LoggedExit(
    /** The task's index in its job. */
    val index: Int,
    val attempt: Long,
    val done: Boolean,
)

/** The starts and exits of one job's tasks in a log entry. */
data class LogRow(
    val starts: List<Placement>,
    val exits: List<LoggedExit>,
)

/**
 * An entry of the write-ahead log. It holds starts and exits of tasks of many jobs in one value, which saves writes.
 *
 * The entry applies to a progress block until the block's [ProgressRecord], which is written later, has reached the
 * entry's [seq].
 */
data class LogRecord(
    /** The entry's sequence number in the log, which increases with every entry, also across terms. */
    val seq: Long,
    val rows: Map<JobId, LogRow>,
) {
    /** Returns the record in its stored form. */
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

        // Positions in a stored row: the job id, then one flat list each for starts, exits of done tasks, and other
        // exits.
        private const val JOB_POSITION = 0
        private const val STARTS_POSITION = 1
        private const val DONE_EXITS_POSITION = 2
        private const val OTHER_EXITS_POSITION = 3

        // The number of consecutive values in a flat list that make up one start or one exit.
        private const val START_FIELDS = 3
        private const val EXIT_FIELDS = 2

        /**
         * An upper bound of the JSON size of the field names and the sequence number. The key-value store's limit for
         * values applies to the JSON form.
         */
        const val FIXED_BYTES = 60

        // The JSON size of the brackets, quotes and commas of a row, a start and an exit.
        private const val ROW_BYTES = 14
        private const val START_BYTES = 5
        private const val EXIT_BYTES = 2

        /** Returns an upper bound of the JSON size of a row without its starts and exits. */
        fun bytes(job: JobId): Int = job.value.length + ROW_BYTES

        /** Returns an upper bound of the JSON size of a start. */
        fun bytes(start: Placement): Int {
            val digits = start.index.toString().length + start.attempt.toString().length
            return digits + start.machineName.value.length + START_BYTES
        }

        /** Returns an upper bound of the JSON size of an exit. */
        fun bytes(exit: LoggedExit): Int = exit.index.toString().length + exit.attempt.toString().length + EXIT_BYTES

        /** @throws MalformedMessageException naming the field that is missing or invalid */
        fun parse(data: Any?): LogRecord {
            val fields = Fields.of(data)
            return LogRecord(fields.long(SEQ), fields.list(ROWS).associate(::parseRow))
        }

        private fun parseRow(entry: Any?): Pair<JobId, LogRow> {
            val row = entry as? List<*> ?: throw MalformedMessageException("$ROWS has a row that is not a list")
            val job =
                (row.getOrNull(JOB_POSITION) as? String)?.let(JobId::parse)
                    ?: throw MalformedMessageException("$ROWS has a row without a job id")
            val starts = flatList(row, STARTS_POSITION).chunked(START_FIELDS).map(::parseStart)
            val exits =
                parseExits(flatList(row, DONE_EXITS_POSITION), done = true) +
                    parseExits(flatList(row, OTHER_EXITS_POSITION), done = false)
            return job to LogRow(starts, exits)
        }

        private fun flatList(
            row: List<*>,
            position: Int,
        ): List<*> =
            row.getOrNull(position) as? List<*>
                ?: throw MalformedMessageException("$ROWS has a row without a list at index $position")

        private fun parseStart(values: List<*>): Placement {
            val index = values[0]
            val attempt = values.getOrNull(1)
            val machineName = values.getOrNull(2)
            if (index !is Long || attempt !is Long || machineName !is String) {
                throw MalformedMessageException("$ROWS has a start that is not [task, attempt, machine]")
            }
            return Placement(parseTaskIndex(ROWS, index), attempt, MachineName(machineName))
        }

        private fun parseExits(
            flatList: List<*>,
            done: Boolean,
        ): List<LoggedExit> =
            flatList.chunked(EXIT_FIELDS).map { values ->
                val index = values[0]
                val attempt = values.getOrNull(1)
                if (index !is Long || attempt !is Long) {
                    throw MalformedMessageException("$ROWS has an exit that is not [task, attempt]")
                }
                LoggedExit(parseTaskIndex(ROWS, index), attempt, done)
            }
    }
}
