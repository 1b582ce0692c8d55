package umberslip.records

import umberslip.core.MachineName
import umberslip.http.Fields
import umberslip.http.MalformedMessageException
import java.util.BitSet

/** A recorded start: the task may be on the machine until its exit is recorded. */
data class Placement(
    /** The task's index in its job. */
    val index: Int,
    /** The attempt number, which increases with every start of the task. */
    val attempt: Long,
    val machineName: MachineName,
)

/**
 * The progress of one progress block, which is a fixed range of a job's tasks. The record holds the tasks that are
 * done, the tasks that are placed, and the highest attempt number ever used in the block, so that attempt numbers only
 * increase. It includes the log entries up to [seq].
 */
data class ProgressRecord(
    /** The done tasks; bit 0 is the block's first task. */
    val done: BitSet,
    val placed: List<Placement>,
    val lastAttempt: Long,
    /** The sequence number of the last log entry that the record includes. */
    val seq: Long,
) {
    /** An upper bound of the record's size in JSON, to which the key-value store's limit for values applies. */
    val bytes: Int
        get() {
            val doneBytes = done.length() / DONE_BITS_PER_DIGIT + 2
            val placedBytes = placed.sumOf(LogRecord::bytes) + placed.size * BRACKET_BYTES
            return FIXED_BYTES / 2 + doneBytes + placedBytes
        }

    /** Returns the record in its stored form. */
    fun toMap(): Map<String, Any?> =
        mapOf(
            SEQ to seq,
            DONE to encodeHex(done),
            PLACED to placed.map { listOf(it.index, it.attempt, it.machineName.value) },
            LAST_ATTEMPT to lastAttempt,
        )

    companion object {
        private const val SEQ = "seq"
        private const val DONE = "done"
        private const val PLACED = "placed"
        private const val LAST_ATTEMPT = "last"

        /**
         * An upper bound of the JSON size of field names and numbers. [bytes] counts the parts of variable size
         * separately and therefore needs only half of it.
         */
        private const val FIXED_BYTES = 200

        /** The estimated JSON size of a placement. A done task takes far less. */
        private const val PLACEMENT_BYTES = 34

        /** The JSON size of the brackets around a placement. The starts in a log entry have no brackets. */
        private const val BRACKET_BYTES = 2
        private const val DONE_BITS_PER_DIGIT = 4
        private const val HEX_RADIX = 16

        /** Keeps the number of a job's blocks low even if values are small. */
        private const val MIN_TASKS_PER_BLOCK = 16

        /** Keeps writing the progress of one block cheap even if values may be large. */
        private const val MAX_TASKS_PER_BLOCK = 1024

        /**
         * Returns the number of tasks in a progress block, chosen so that the block's record fits into a value of
         * [valueBytes] even if all its tasks are placed.
         */
        fun tasksPerBlock(valueBytes: Int): Int {
            val fitting = (valueBytes - FIXED_BYTES) / PLACEMENT_BYTES
            return fitting.coerceIn(MIN_TASKS_PER_BLOCK, MAX_TASKS_PER_BLOCK)
        }

        /** @throws MalformedMessageException naming the field that is missing or invalid */
        fun parse(data: Any?): ProgressRecord {
            val fields = Fields.of(data)
            return ProgressRecord(
                done = decodeHex(fields.text(DONE)),
                placed = fields.list(PLACED).map(::parsePlacement),
                lastAttempt = fields.long(LAST_ATTEMPT),
                seq = fields.long(SEQ),
            )
        }

        private fun parsePlacement(row: Any?): Placement {
            val values = row as? List<*>
            val index = values?.getOrNull(0) as? Long
            val attempt = values?.getOrNull(1) as? Long
            val machineName = values?.getOrNull(2) as? String
            if (index == null || attempt == null || machineName == null) {
                throw MalformedMessageException("$PLACED has an entry that is not [task, attempt, machine]")
            }
            return Placement(parseTaskIndex(PLACED, index), attempt, MachineName(machineName))
        }

        private fun encodeHex(bits: BitSet): String = bits.toByteArray().joinToString("") { "%02x".format(it) }

        private fun decodeHex(text: String): BitSet {
            if (text.length % 2 != 0) throw MalformedMessageException("$DONE has an odd number of hexadecimal digits")
            val bytes =
                ByteArray(text.length / 2) { i ->
                    val byte = text.substring(i * 2, i * 2 + 2).toIntOrNull(HEX_RADIX)
                    (byte ?: throw MalformedMessageException("$DONE is not hexadecimal")).toByte()
                }
            return BitSet.valueOf(bytes)
        }
    }
}
