package umberslip.records

import umberslip.core.MachineName
import umberslip.http.Fields
import umberslip.http.MalformedMessageException
import java.util.BitSet

/** A recorded start: the task may be on that machine until its exit is recorded. */
data class Placement(
    /** The task's index in its job. */
    val index: Int,
    /** Rises with every start of the task. */
    val attempt: Long,
    val machineName: MachineName,
)

/**
 * The progress of one progress block, a fixed range of a job's tasks: which are done, which are placed, and the
 * highest attempt number ever used there, so that attempt numbers only rise. The log entries up to [seq] are included.
 */
data class ProgressRecord(
    /** Bit 0 stands for the block's first task. */
    val done: BitSet,
    val placed: List<Placement>,
    val lastAttempt: Long,
    /** The place in the log of the last entry that is included. */
    val seq: Long,
) {
    /** An upper bound of the record's size in its JSON form, which is what the limit of values counts. */
    val bytes: Int
        get() {
            val doneBytes = done.length() / DONE_BITS_PER_DIGIT + 2
            val placedBytes = placed.sumOf(LogRecord::bytes) + placed.size * BRACKET_BYTES
            return FIXED_BYTES / 2 + doneBytes + placedBytes
        }

    /** The record as it is stored. */
    fun toMap(): Map<String, Any?> =
        mapOf(
            SEQ to seq,
            DONE to hex(done),
            PLACED to placed.map { listOf(it.index, it.attempt, it.machineName.value) },
            LAST_ATTEMPT to lastAttempt,
        )

    companion object {
        private const val SEQ = "seq"
        private const val DONE = "done"
        private const val PLACED = "placed"
        private const val LAST_ATTEMPT = "last"

        /** More than field names and numbers take; [bytes], which counts what varies, needs only half of it. */
        private const val FIXED_BYTES = 200

        /** An estimate of a placement's size in JSON; tasks that are done take far less. */
        private const val PLACEMENT_BYTES = 34

        /** The brackets around a placement, which a log entry's starts do not have. */
        private const val BRACKET_BYTES = 2
        private const val DONE_BITS_PER_DIGIT = 4
        private const val HEX_RADIX = 16

        /** However small the values are, so that a job has few blocks. */
        private const val MIN_TASKS = 16

        /** However large the values may be, so that writing one block's progress stays cheap. */
        private const val MAX_TASKS = 1024

        /** How many tasks a progress block has, so that its record fits into a value even when all are placed. */
        fun tasksPerBlock(valueBytes: Int): Int {
            val fitting = (valueBytes - FIXED_BYTES) / PLACEMENT_BYTES
            return fitting.coerceIn(MIN_TASKS, MAX_TASKS)
        }

        /** @throws MalformedMessageException naming the field that is missing or invalid */
        fun parse(data: Any?): ProgressRecord {
            val fields = Fields.of(data)
            return ProgressRecord(
                done = unhex(fields.text(DONE)),
                placed = fields.list(PLACED).map(::placement),
                lastAttempt = fields.long(LAST_ATTEMPT),
                seq = fields.long(SEQ),
            )
        }

        private fun placement(row: Any?): Placement {
            val values = row as? List<*>
            val index = values?.getOrNull(0) as? Long
            val attempt = values?.getOrNull(1) as? Long
            val machineName = values?.getOrNull(2) as? String
            if (index == null || attempt == null || machineName == null) {
                throw MalformedMessageException("$PLACED has what is not [task, attempt, machine]")
            }
            return Placement(taskIndex(PLACED, index), attempt, MachineName(machineName))
        }

        private fun hex(bits: BitSet): String = bits.toByteArray().joinToString("") { "%02x".format(it) }

        private fun unhex(text: String): BitSet {
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
