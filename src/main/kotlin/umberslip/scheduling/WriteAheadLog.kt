package umberslip.scheduling

import umberslip.core.JobId
import umberslip.core.MachineName
import umberslip.records.JobOutcome
import umberslip.records.Keys
import umberslip.records.LogRecord
import umberslip.records.LogRow
import umberslip.records.LoggedExit
import umberslip.records.MachineSetRecord
import umberslip.records.OutcomeRecord
import umberslip.records.Placement
import umberslip.records.Versioned
import umberslip.settings.StoreSettings
import umberslip.store.Precondition
import umberslip.store.Version
import umberslip.store.Write
import java.util.BitSet
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** A run of a job's tasks whose progress is one record. */
class ProgressBlock(
    val job: RunningJob,
    val number: Int,
) {
    val key = Keys.progress(job.spec.id, number)
    var version = Version.NONE
    var edits = 0L
    var written = 0L

    /** The log holds a copy of all up to this edit in later entries, so earlier entries need not be kept for it. */
    var copied = 0L
    var lastAttempt = 0L

    /** The start with the highest attempt number that is only in the log. */
    var lastLogged: Placement? = null
        private set

    /** The tasks that the progress record shows as done, counted from its first. */
    var storedDone = BitSet()

    fun startLogged(placement: Placement) {
        if (placement.attempt > (lastLogged?.attempt ?: 0L)) lastLogged = placement
    }

    /** Whether what was logged up to that edit is stored elsewhere, too. */
    fun isStored(edit: Long): Boolean = written >= edit || copied >= edit

    /** Since when a change is unwritten. */
    var dirtySince: Duration? = null
}

/** A task that ended on its machine, or is certainly not there any more; to be recorded. */
class TaskExit(
    val job: RunningJob,
    val index: Int,
    val attempt: Long,
    val done: Boolean,
    private val block: ProgressBlock,
    private val edits: Long,
    val since: Duration,
) {
    var logged = false

    /** In the log, or in its progress block's record: the worker need not keep it any longer. */
    val recorded: Boolean get() = logged || block.written >= edits
}

/** A place in the log; it is free again once every progress block that it names is written. */
private class LogSlot(
    val number: Int,
) {
    val key = Keys.log(number)
    var version = Version.NONE
    private val open = ArrayList<Pair<ProgressBlock, Long>>()

    fun names(blocks: List<Pair<ProgressBlock, Long>>) {
        open.clear()
        open += blocks
    }

    /**
     * Asked for every slot whenever there is something to log; what is written stays so, and is not looked at again.
     */
    val free: Boolean
        get() {
            while (open.isNotEmpty() && open.last().let { (block, edits) -> block.isStored(edits) }) {
                open.removeAt(open.lastIndex)
            }
            return open.isEmpty()
        }

    /** The progress blocks for whose sake the entry is kept. */
    val reservedFor: List<ProgressBlock> get() = open.filter { (block, edits) -> !block.isStored(edits) }.map { it.first }
}

/** A progress record as it is written: up to which edit, and with which tasks as done. */
class ProgressWrite(
    val block: ProgressBlock,
    val edits: Long,
    val done: BitSet,
)

/** Writes of one transaction, and what they stand for. */
class WriteBatch(
    val preconditions: List<Precondition>,
    val writes: List<Write>,
    val blocks: List<ProgressWrite>,
    val starts: List<Assignment>,
    val exits: List<TaskExit>,
    val finishedJobs: List<Pair<RunningJob, JobOutcome>>,
    val obsoleteKeys: List<String>,
    val logged: List<Pair<Int, List<Pair<ProgressBlock, Long>>>>,
    /** Progress blocks that the batch copies in the log, each with the edit up to which it does so. */
    val copies: List<Pair<ProgressBlock, Long>>,
    val revokedRenewals: Set<MachineName>?,
)

/**
 * What the leader has still to write, and under which versions. Starts and ends of tasks go into a log
 * first, many in one value; the records of the jobs' progress follow at leisure, and for a job that
 * ends before that they are never written. So the writes do not grow with the number of tasks. Pure.
 */
class WriteAheadLog(
    private val limits: StoreSettings,
    private var leaderVersion: Version,
    firstSeq: Long,
    slotCount: Int = slotCount(limits.valueBytes),
) {
    private val slots = List(slotCount, ::LogSlot)

    /** Of what the limits allow, how much is used; less once the key-value store has rejected a batch for its size. */
    private var share = 1.0

    /** Rises with every logged entry, across terms too. */
    private var seq = firstSeq

    /** Placed and not recorded yet, in the order of placing. */
    private val starts = LinkedHashSet<Assignment>()

    /** Ended and not recorded yet, in the order of ending. */
    private val ends = LinkedHashSet<TaskExit>()

    /** Progress that is not in its own record yet, the oldest change first. */
    private val dirty = LinkedHashSet<ProgressBlock>()

    /** Jobs that are over but for the writing of it. */
    private val over = LinkedHashSet<RunningJob>()
    private val obsoleteKeys = ArrayDeque<String>()

    /** Machines that the record condemns, and those that it should. */
    private var revokedRenewals: Set<MachineName> = emptySet()
    private var revokedRenewalsVersion = Version.NONE

    /**
     * In the order in which they came, since only the first so many fit into the record: what is in it
     * stays until it is taken from here. What was left out for a later one would be in others' reach again.
     */
    val pendingRevocations = LinkedHashSet<MachineName>()

    /** The leader's record has a new version: writes under the former one come through no more. */
    fun fenced(version: Version) {
        leaderVersion = version
    }

    fun started(
        a: Assignment,
        now: Duration,
    ) {
        starts += a
        touch(a.job.block(a.index), now)
    }

    /** Not recorded, and not to be any more. */
    fun withdrawn(a: Assignment) {
        starts -= a
    }

    /** It ended, or is certainly gone. Of what was never recorded nobody was told, so nothing is to be written. */
    fun ended(
        a: Assignment,
        done: Boolean,
        now: Duration,
    ): TaskExit {
        val block = a.job.block(a.index)
        touch(block, now)
        val ending = TaskExit(a.job, a.index, a.attempt, done, block, block.edits, now)
        if (!starts.remove(a) || done) ends += ending
        jobChanged(a.job)
        return ending
    }

    /** Whether a job is over may have changed. */
    fun jobChanged(job: RunningJob) {
        if (job.isTerminal) over += job else over -= job
    }

    fun remove(job: RunningJob) {
        starts.removeAll { it.job === job }
        ends.removeAll { it.job === job }
        over -= job
        for (block in job.knownBlocks()) {
            block.written = Long.MAX_VALUE
            dirty -= block
            if (block.version != Version.NONE) obsoleteKeys += block.key
        }
    }

    fun drop(key: String) {
        obsoleteKeys += key
    }

    private fun touch(
        block: ProgressBlock,
        now: Duration,
    ) {
        block.edits++
        if (block.dirtySince == null) block.dirtySince = now
        dirty += block
    }

    /** Takes up a log entry as a former leader left it, whose effects on [named] are applied already. */
    fun load(
        number: Int,
        version: Version,
        named: Collection<ProgressBlock>,
        now: Duration,
    ) {
        named.forEach { touch(it, now) }
        val slot = slots.getOrNull(number) ?: return
        slot.version = version
        slot.names(named.map { it to it.edits })
    }

    fun load(
        record: Versioned<MachineSetRecord>,
        known: Set<MachineName>,
    ) {
        revokedRenewals = record.value.machineNames
        revokedRenewalsVersion = record.version
        pendingRevocations += revokedRenewals.filter { it in known }
    }

    /** The next writes, most needed first; null where none is due. */
    fun nextBatch(
        maxOps: Int,
        machines: Set<MachineName>,
        now: Duration,
    ): WriteBatch? {
        val ops = (maxOps * share).toInt().coerceAtLeast(MIN_OPS)
        val valueBytes = (limits.valueBytes * share).toInt()
        val transactionBytes = (MAX_TRANSACTION_BYTES * share).toInt()
        return Composer(ops, valueBytes, transactionBytes, now).compose(machines)
    }

    private inner class Composer(
        private val maxOps: Int,
        private val valueBytes: Int,
        private val maxBytes: Int,
        private val now: Duration,
    ) {
        private val writes = ArrayList<Write>()
        private val preconditions = ArrayList<Precondition>()
        private val blocks = ArrayList<ProgressWrite>()
        private val included = ArrayList<Assignment>()
        private val endings = ArrayList<TaskExit>()
        private val ended = ArrayList<Pair<RunningJob, JobOutcome>>()
        private val droppedKeys = ArrayList<String>()
        private val logged = ArrayList<Pair<Int, List<Pair<ProgressBlock, Long>>>>()
        private val copies = ArrayList<Pair<ProgressBlock, Long>>()
        private var size = 0
        private val guardedJobs = HashSet<RunningJob>()

        fun compose(machines: Set<MachineName>): WriteBatch? {
            pendingRevocations.retainAll(machines)
            var revocation: Set<MachineName>? = null
            val fitting = MachineSetRecord.fitting(pendingRevocations, valueBytes)
            if (fitting != revokedRenewals) {
                revocation = fitting
                writes += Write.Put(Keys.REVOKED_RENEWALS, MachineSetRecord(fitting).toMap())
                preconditions += Precondition(Keys.REVOKED_RENEWALS, revokedRenewalsVersion)
                size += fitting.sumOf { it.value.length + MACHINE_NAME_BYTES }
            }
            jobsOver()
            val lasting = log()
            // Progress can wait and then takes fewer writes; without a free slot it makes one free.
            for (block in dirty) {
                if (writes.size >= maxOps || size >= maxBytes) break
                if (lasting && (block.dirtySince ?: now) + LAZY > now) break
                if (!block.job.isTerminal) add(block)
            }
            while (writes.size < maxOps && obsoleteKeys.isNotEmpty()) {
                val key = obsoleteKeys.removeFirst()
                droppedKeys += key
                writes += Write.Drop(key)
            }
            if (writes.isEmpty()) return null
            preconditions += Precondition(Keys.LEADER, leaderVersion)
            return WriteBatch(preconditions, writes, blocks, included, endings, ended, droppedKeys, logged, copies, revocation)
        }

        private fun jobsOver() {
            // Where few writes fit, what is over is not to keep starts waiting.
            val most = if (starts.isEmpty()) maxOps else maxOf(2, maxOps / 2)
            for (job in over) {
                if (writes.size + 2 > most || preconditions.size + OUTCOME_PRECONDITIONS > maxOps * PRECONDITIONS_PER_WRITE) break
                val key = Keys.job(job.spec.id)
                val end = if (job.cancelled || job.dependencyCancelled) JobOutcome.CANCELLED else JobOutcome.DONE
                preconditions += Precondition(key, job.record.version)
                if (!job.cancelled) {
                    writes += Write.Put(Keys.outcome(job.spec.id), OutcomeRecord(end, job.spec.tasks).toMap())
                    preconditions += Precondition(Keys.outcome(job.spec.id), Version.NONE)
                }
                writes += Write.Drop(key)
                ended += job to end
            }
        }

        /** Starts wait for their record; ends come along, or go alone after a while. False where slots run out. */
        private fun log(): Boolean {
            val due =
                starts.isNotEmpty() || (ends.firstOrNull { !it.job.isTerminal }?.let { now - it.since >= END_WAITS } ?: false)
            if (!due) return true
            val free = slots.filterTo(ArrayDeque()) { it.free }
            val lasting = free.size >= slots.size / RESERVE
            if (!lasting) copyOne(free)
            val openStarts = ArrayDeque(guardable())
            val openEnds = ArrayDeque(ends.filter { !it.job.isTerminal })
            while (openStarts.isNotEmpty() || openEnds.isNotEmpty()) {
                if (free.size <= COPY_SLOTS) return false
                if (writes.size >= maxOps || size + valueBytes > maxBytes) break
                if (!write(free.removeFirst(), openStarts, openEnds)) break
            }
            return lasting
        }

        /** Copies the progress block that most entries are kept for among those whose own record fits into no value. */
        private fun copyOne(free: ArrayDeque<LogSlot>) {
            val entries = HashMap<ProgressBlock, Int>()
            for (slot in slots) for (block in slot.reservedFor) entries.merge(block, 1, Int::plus)
            val blocks =
                entries.keys
                    .filter { !it.job.isTerminal && it.job.progressRecord(it, seq).bytes > valueBytes }
                    .sortedByDescending { entries.getValue(it) }
            for (block in blocks) {
                val rows = LogCompaction(block).rows(valueBytes)
                if (rows.size < entries.getValue(block) && fits(rows.size) && rows.size <= free.size) {
                    copy(block, rows, free)
                    return
                }
            }
        }

        private fun fits(entries: Int): Boolean {
            val bytes = size + entries * valueBytes
            return writes.size + entries <= maxOps && bytes <= maxBytes
        }

        private fun copy(
            block: ProgressBlock,
            rows: List<LogRow>,
            free: ArrayDeque<LogSlot>,
        ) {
            copies += block to block.edits
            touch(block, now)
            size += rows.size * valueBytes
            for (row in rows) writeEntry(free.removeFirst(), mapOf(block.job.spec.id to row), listOf(block))
        }

        /**
         * Guards for so many jobs fit only: the highest priority that were placed first, with all of their starts. Were
         * it so many starts in a row, a batch would hold a few of each of some jobs, and hundreds would wait.
         */
        private fun guardable(): List<Assignment> {
            val most = limits.transactionOps * (PRECONDITIONS_PER_WRITE - 1) - OTHER_PRECONDITIONS - preconditions.size
            val jobs = HashSet<RunningJob>()
            return starts.sortedBy { it.job.priority }.filter {
                it.job in jobs || (jobs.size < most && jobs.add(it.job))
            }
        }

        /** A start is recorded only if its job is not cancelled by then, whoever has told so meanwhile. */
        private fun precondition(job: RunningJob) {
            if (!guardedJobs.add(job)) return
            val precondition = Precondition(Keys.job(job.spec.id), job.record.version)
            preconditions += precondition
            size += precondition.key.length + PRECONDITION_BYTES
        }

        /** False where nothing more fits into the transaction. */
        private fun write(
            slot: LogSlot,
            openStarts: ArrayDeque<Assignment>,
            openEnds: ArrayDeque<TaskExit>,
        ): Boolean {
            val rows = LinkedHashMap<JobId, Pair<ArrayList<Placement>, ArrayList<LoggedExit>>>()
            val named = LinkedHashSet<ProgressBlock>()
            var bytes = LogRecord.FIXED_BYTES

            fun fits(
                job: RunningJob,
                more: Int,
            ): Boolean {
                val need = more + if (job.spec.id in rows) 0 else LogRecord.bytes(job.spec.id)
                if (named.isNotEmpty() && bytes + need > valueBytes) return false
                bytes += need
                return true
            }
            while (true) {
                val a = openStarts.firstOrNull() ?: break
                val p = Placement(a.index, a.attempt, a.machineName)
                if (!fits(a.job, LogRecord.bytes(p))) break
                precondition(a.job)
                rows.getOrPut(a.job.spec.id) { ArrayList<Placement>() to ArrayList() }.first += p
                named += a.job.block(a.index)
                included += openStarts.removeFirst()
            }
            while (openStarts.isEmpty()) {
                val e = openEnds.firstOrNull() ?: break
                val row = LoggedExit(e.index, e.attempt, e.done)
                if (!fits(e.job, LogRecord.bytes(row))) break
                rows.getOrPut(e.job.spec.id) { ArrayList<Placement>() to ArrayList() }.second += row
                named += e.job.block(e.index)
                endings += openEnds.removeFirst()
            }
            if (named.isEmpty()) return false
            size += bytes
            writeEntry(slot, rows.mapValues { (_, row) -> LogRow(row.first, row.second) }, named)
            return true
        }

        private fun writeEntry(
            slot: LogSlot,
            rows: Map<JobId, LogRow>,
            named: Collection<ProgressBlock>,
        ) {
            writes += Write.Put(slot.key, LogRecord(++seq, rows).toMap())
            preconditions += Precondition(slot.key, slot.version)
            logged += slot.number to named.map { it to it.edits }
        }

        private fun add(block: ProgressBlock) {
            val record = block.job.progressRecord(block, seq)
            val bytes = record.bytes
            // Cut by a former, larger limit: it stays in the log, and fits once more of its tasks are done.
            if (bytes > valueBytes) return
            size += bytes
            writes += Write.Put(block.key, record.toMap())
            preconditions += Precondition(block.key, block.version)
            blocks += ProgressWrite(block, block.edits, record.done)
            for (p in record.placed) block.job.assigned[p.index]?.let { if (!it.recorded) included += it }
        }
    }

    /** Taken by the key-value store; answered with the machines that got starts recorded. */
    fun applied(
        batch: WriteBatch,
        version: Version,
    ): Set<MachineName> {
        val touched = HashSet<MachineName>()
        batch.revokedRenewals?.let {
            revokedRenewals = it
            revokedRenewalsVersion = version
        }
        for ((block, edits) in batch.copies) block.copied = maxOf(block.copied, edits)
        for (write in batch.blocks) {
            val block = write.block
            block.version = version
            block.written = maxOf(block.written, write.edits)
            block.storedDone = write.done
            dirty -= block
            if (block.written == Long.MAX_VALUE) {
                // Its job ended while this was on its way.
                obsoleteKeys += block.key
            } else if (block.edits == write.edits) {
                block.dirtySince = null
            } else {
                // Changed while it was on its way: it takes its place at the end.
                dirty += block
            }
        }
        for ((number, named) in batch.logged) {
            slots[number].version = version
            slots[number].names(named)
        }
        for (e in batch.exits) {
            e.logged = true
            ends -= e
        }
        for (a in batch.starts) {
            starts -= a
            if (a.job.assigned[a.index] !== a || a.recorded) continue
            a.recorded = true
            a.job.block(a.index).startLogged(Placement(a.index, a.attempt, a.machineName))
            touched += a.machineName
        }
        return touched
    }

    /** Not carried out; the obsolete keys are dropped later. */
    fun notApplied(batch: WriteBatch) {
        obsoleteKeys.addAll(batch.obsoleteKeys)
    }

    /** Not carried out, and not to be tried again as it is: from now on less goes into one. */
    fun rejected(batch: WriteBatch) {
        notApplied(batch)
        share = (share / 2).coerceAtLeast(LEAST_SHARE)
    }

    /** What the key-value store shows of a key whose precondition failed, or whose write's fate is unknown. */
    fun resolve(
        key: String,
        version: Version?,
    ) {
        val slot = Keys.asLog(key)
        if (key == Keys.REVOKED_RENEWALS) {
            revokedRenewalsVersion = version ?: Version.NONE
            // What it says is not known; it is written again, and counts from then.
            revokedRenewals = setOf(UNKNOWN_MACHINE)
        } else if (slot != null) {
            slots.getOrNull(slot)?.version = version ?: Version.NONE
        }
    }

    companion object {
        private const val MAX_TRANSACTION_BYTES = 50_000
        private const val LEAST_SHARE = 0.125

        /** The end of a job takes two. */
        private const val MIN_OPS = 2
        private const val PRECONDITIONS_PER_WRITE = 4

        /** Besides one for each write: the leader's record, and the machines condemned. */
        private const val OTHER_PRECONDITIONS = 2
        private const val PRECONDITION_BYTES = 24

        /** Of the job, of its end, and of the leader's record. */
        private const val OUTCOME_PRECONDITIONS = 3
        private const val MACHINE_NAME_BYTES = 4
        private val UNKNOWN_MACHINE = MachineName("")

        /** What the log may take altogether: every controller keeps a copy, and a new leader reads it all. */
        private const val LOG_BYTES = 2 * 1024 * 1024
        private const val MIN_SLOTS = 256
        private const val MAX_SLOTS = 1024

        /**
         * Entries take as long to become free whatever their size, so with small values there must be more of them.
         * Versions that use fewer read the others, too.
         */
        fun slotCount(valueBytes: Int): Int = (LOG_BYTES / valueBytes).coerceIn(MIN_SLOTS, MAX_SLOTS)

        /** Kept free, since room in the log is made by copies that need slots themselves. */
        private const val COPY_SLOTS = 4

        /** With fewer free slots than one in so many, room is made in the log. */
        private const val RESERVE = 8

        /** A progress record follows after this long, if its job still runs. */
        private val LAZY = 20.seconds

        /** Ends wait this long for starts to be written with. */
        private val END_WAITS = 1.seconds
    }
}
