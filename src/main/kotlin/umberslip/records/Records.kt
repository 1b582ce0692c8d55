package umberslip.records

import umberslip.core.JobId
import umberslip.core.JobSpec
import umberslip.core.MachineName
import umberslip.core.TaskId
import umberslip.core.Term
import umberslip.http.Fields
import umberslip.http.MalformedMessageException
import umberslip.store.StoreLease
import umberslip.store.Version
import java.time.Instant
import java.util.BitSet

/**
 * The keys. All that a controller replicates lies under [ROOT]; ends of jobs lie outside it, since
 * they are kept for ever and read one by one.
 */
object Keys {
    const val ROOT = "u/"
    const val LEADER = "u/owner"
    const val TERM = "u/term"
    const val BOOTING_MACHINES = "u/fleet"
    const val REVOKED_RENEWALS = "u/condemned"
    private const val JOB = "u/job/"
    private const val PROGRESS = "u/run/"
    private const val LOG = "u/log/"
    private const val FOLLOWER_RENEWALS = "u/relayed/"
    private const val OUTCOME = "end/"

    fun job(id: JobId): String = JOB + id.value

    fun progress(
        id: JobId,
        block: Int,
    ): String = "$PROGRESS${id.value}/$block"

    fun log(slot: Int): String = LOG + slot

    fun renewedByFollower(member: String): String = FOLLOWER_RENEWALS + member

    fun outcome(id: JobId): String = OUTCOME + id.value

    fun isFollowerRenewals(key: String): Boolean = key.startsWith(FOLLOWER_RENEWALS)

    fun asLog(key: String): Int? = if (key.startsWith(LOG)) key.substring(LOG.length).toIntOrNull() else null

    fun asJob(key: String): JobId? = if (key.startsWith(JOB)) JobId.parse(key.substring(JOB.length)) else null

    fun asProgress(key: String): Pair<JobId, Int>? =
        if (key.startsWith(PROGRESS)) {
            TaskId.parse(key.substring(PROGRESS.length))?.let { it.job to it.index }
        } else {
            null
        }
}

/** Who leads, under which term, and under which lease of the key-value store. */
data class LeaderRecord(
    val member: String,
    val term: Term,
    val lease: StoreLease,
) {
    fun toMap(): Map<String, Any?> = mapOf("member" to member, "term" to term.value, "hold" to lease.id)

    companion object {
        fun parse(data: Any?): LeaderRecord =
            Fields.of(data, Keys.LEADER).let {
                LeaderRecord(it.text("member"), Term(it.long("term")), StoreLease(it.long("hold")))
            }
    }
}

/** An accepted job that has not ended, or one told as cancelled whose tasks are not gone yet. */
data class JobRecord(
    val spec: JobSpec,
    val submitted: Instant,
    val cancelled: Boolean,
) {
    fun toMap(): Map<String, Any?> =
        mapOf(
            "spec" to spec.toMap(),
            "submitted_ms" to submitted.toEpochMilli(),
            "cancelled" to cancelled,
        )

    companion object {
        fun parse(data: Any?): JobRecord =
            Fields.of(data).let {
                JobRecord(
                    JobSpecCodec.parse(it.map("spec")),
                    Instant.ofEpochMilli(it.long("submitted_ms")),
                    it.flag("cancelled"),
                )
            }
    }
}

enum class JobOutcome(
    val word: String,
) {
    DONE("done"),
    CANCELLED("aborted"),
}

/** How a job ended; never changed once written. */
data class OutcomeRecord(
    val end: JobOutcome,
    val tasks: Int,
) {
    fun toMap(): Map<String, Any?> = mapOf("status" to end.word, "pieces" to tasks)

    companion object {
        fun parse(data: Any?): OutcomeRecord =
            Fields.of(data).let { f ->
                OutcomeRecord(
                    JobOutcome.entries.find { it.word == f.text("status") } ?: throw MalformedMessageException("unknown end"),
                    f.long("pieces").toInt(),
                )
            }
    }
}

/** A recorded start: the task may be on that machine until the contrary is proven. */
data class Placement(
    val index: Int,
    val attempt: Long,
    val machineName: MachineName,
)

/**
 * The progress of a run of a job's tasks: which are done, which are placed, and the highest attempt
 * number ever used there, so that numbers only rise. Starts logged up to [seq] are in it already.
 */
data class ProgressRecord(
    val done: BitSet,
    val placed: List<Placement>,
    val lastAttempt: Long,
    val seq: Long,
) {
    /** No less than what it takes of a value. */
    val bytes: Int get() = FIXED_BYTES / 2 + done.length() / 4 + 2 + placed.sumOf(LogRecord::bytes) + placed.size * 2

    fun toMap(): Map<String, Any?> =
        mapOf(
            "seq" to seq,
            "done" to hex(done),
            "placed" to placed.map { listOf(it.index, it.attempt, it.machineName.value) },
            "last" to lastAttempt,
        )

    companion object {
        private const val ENTRY_BYTES = 34
        private const val MIN_TASKS = 16
        private const val MAX_TASKS = 1024
        private const val HEX = 16
        private const val FIXED_BYTES = 200

        /** As many tasks as surely fit into one value. */
        fun tasksPerBlock(valueBytes: Int): Int {
            val fitting = (valueBytes - FIXED_BYTES) / ENTRY_BYTES
            return fitting.coerceIn(MIN_TASKS, MAX_TASKS)
        }

        fun parse(data: Any?): ProgressRecord =
            Fields.of(data).let { f ->
                ProgressRecord(
                    unhex(f.text("done")),
                    f.list("placed").map {
                        val row = it as? List<*>
                        val index = row?.getOrNull(0) as? Long
                        val attempt = row?.getOrNull(1) as? Long
                        val machineName = row?.getOrNull(2) as? String
                        if (index == null || attempt == null || machineName == null) {
                            throw MalformedMessageException("a placement is not [task, attempt, host]")
                        }
                        Placement(index.toInt(), attempt, MachineName(machineName))
                    },
                    f.long("last"),
                    f.long("seq"),
                )
            }

        private fun hex(bits: BitSet): String = bits.toByteArray().joinToString("") { "%02x".format(it) }

        private fun unhex(text: String): BitSet {
            if (text.length % 2 != 0) throw MalformedMessageException("odd number of hex digits")
            return BitSet.valueOf(
                ByteArray(text.length / 2) {
                    (text.substring(it * 2, it * 2 + 2).toIntOrNull(HEX) ?: throw MalformedMessageException("not hex")).toByte()
                },
            )
        }
    }
}

/** A task of a job that ended on a machine, or is certainly not there any more. */
data class LoggedExit(
    val index: Int,
    val attempt: Long,
    val done: Boolean,
)

/** What a log entry says of one job. */
data class LogRow(
    val starts: List<Placement>,
    val ends: List<LoggedExit>,
)

/**
 * Starts and ends of tasks of many jobs in one value, so that they need few writes. The entry counts
 * for a progress block until the progress record, written later and at leisure, has reached its [seq].
 */
data class LogRecord(
    val seq: Long,
    val rows: Map<JobId, LogRow>,
) {
    fun toMap(): Map<String, Any?> =
        mapOf(
            "seq" to seq,
            "rows" to
                rows.map { (job, row) ->
                    listOf(
                        job.value,
                        row.starts.flatMap { listOf(it.index, it.attempt, it.machineName.value) },
                        row.ends.filter { it.done }.flatMap { listOf(it.index, it.attempt) },
                        row.ends.filter { !it.done }.flatMap { listOf(it.index, it.attempt) },
                    )
                },
        )

    companion object {
        const val FIXED_BYTES = 60

        // Brackets, quotes and commas of a row, a start and an end in their JSON form.
        private const val ROW_BYTES = 14
        private const val START_BYTES = 5
        private const val END_BYTES = 2

        // The fields of a row and of a start, in order.
        private const val STARTS = 1
        private const val DONE = 2
        private const val GONE = 3
        private const val START_FIELDS = 3
        private const val END_FIELDS = 2

        fun bytes(job: JobId): Int = job.value.length + ROW_BYTES

        fun bytes(p: Placement): Int {
            val digits = p.index.toString().length + p.attempt.toString().length
            return digits + p.machineName.value.length + START_BYTES
        }

        fun bytes(e: LoggedExit): Int = e.index.toString().length + e.attempt.toString().length + END_BYTES

        fun parse(data: Any?): LogRecord =
            Fields.of(data).let { f ->
                LogRecord(f.long("seq"), f.list("rows").associate(::row))
            }

        private fun row(entry: Any?): Pair<JobId, LogRow> {
            val row = entry as? List<*> ?: throw MalformedMessageException("a row of the log is not a list")
            val job =
                (row.getOrNull(0) as? String)?.let(JobId::parse) ?: throw MalformedMessageException("a row of the log names no job")
            val starts =
                flat(row, STARTS).chunked(START_FIELDS).map { (index, attempt, machineName) ->
                    if (index !is Long || attempt !is Long || machineName !is String) {
                        throw MalformedMessageException("a start is not [task, attempt, host]")
                    }
                    Placement(index.toInt(), attempt, MachineName(machineName))
                }
            return job to LogRow(starts, ends(flat(row, DONE), true) + ends(flat(row, GONE), false))
        }

        private fun flat(
            row: List<*>,
            at: Int,
        ): List<*> = row.getOrNull(at) as? List<*> ?: throw MalformedMessageException("a row of the log lacks a list")

        private fun ends(
            flat: List<*>,
            done: Boolean,
        ): List<LoggedExit> =
            flat.chunked(END_FIELDS).map { (index, attempt) ->
                if (index !is Long || attempt !is Long) throw MalformedMessageException("an end is not [task, attempt]")
                LoggedExit(index.toInt(), attempt, done)
            }
    }
}

/** A set of machines: those whose leases only the leader may still renew, or those that were relayed. */
data class MachineSetRecord(
    val machineNames: Set<MachineName>,
) {
    fun toMap(): Map<String, Any?> = mapOf("hosts" to machineNames.map { it.value })

    companion object {
        private const val FIXED_BYTES = 20
        private const val ENTRY_BYTES = 3

        /** The first of them, as many as fit into a value: a fleet may have more machines than that. */
        fun fitting(
            machineNames: Collection<MachineName>,
            valueBytes: Int,
        ): Set<MachineName> {
            var bytes = FIXED_BYTES
            return machineNames
                .takeWhile {
                    bytes += it.value.length + ENTRY_BYTES
                    bytes <= valueBytes
                }.toSet()
        }

        fun parse(data: Any?): MachineSetRecord =
            MachineSetRecord(
                (Fields.of(data).textsOrNull("hosts") ?: emptyList()).mapTo(HashSet(), ::MachineName),
            )
    }
}

class Versioned<T>(
    val value: T,
    val version: Version,
)
