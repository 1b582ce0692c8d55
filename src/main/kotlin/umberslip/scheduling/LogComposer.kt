package umberslip.scheduling

import umberslip.records.LogRecord
import umberslip.records.LogRow
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Adds the entries of the log that are due to a transaction. */
internal class LogComposer(
    private val transaction: TransactionBuilder,
    private val pending: PendingWrites,
    private val slots: LogSlots,
    /** How many preconditions the entries may bring into the transaction, those of their slots not counted. */
    private val maxPreconditions: Int,
    private val now: Duration,
) {
    /**
     * Starts are due at once. Exits are written with them, or without after a while.
     *
     * @return whether enough slots are free for progress records to wait; they make slots free.
     */
    fun compose(): Boolean {
        if (pending.starts.isEmpty() && !areExitsDue()) return true
        val free = slots.free()
        val hasReserve = free.size >= slots.count / RESERVE
        if (!hasReserve) compact(free)
        val starts = ArrayDeque(guardableStarts())
        val exits = ArrayDeque(pending.exits.filter { !it.job.isTerminal })
        while (starts.isNotEmpty() || exits.isNotEmpty()) {
            if (free.size <= COMPACTION_SLOTS) return false
            if (!transaction.hasSpaceForEntries(1)) break
            if (!addEntry(free.removeFirst(), starts, exits)) break
        }
        return hasReserve
    }

    private fun areExitsDue(): Boolean {
        val oldest = pending.exits.firstOrNull { !it.job.isTerminal } ?: return false
        return now - oldest.since >= MAX_EXIT_DELAY
    }

    /**
     * Copies one progress block, of those whose record fits into no value the one that most entries are retained for.
     */
    private fun compact(free: ArrayDeque<LogSlot>) {
        val valueBytes = transaction.limits.valueBytes
        val retained = slots.retainedEntries()
        val blocks = retained.keys.filter { !it.job.isTerminal && recordBytes(it) > valueBytes }
        for (block in blocks.sortedByDescending { retained.getValue(it) }) {
            val rows = LogCompaction(block).rows(valueBytes)
            val makesSlotsFree = rows.size < retained.getValue(block)
            if (makesSlotsFree && transaction.hasSpaceForEntries(rows.size) && rows.size <= free.size) {
                addCopy(block, rows, free)
                return
            }
        }
    }

    private fun recordBytes(block: ProgressBlock): Int = block.job.progressRecord(block, slots.sequenceNumber).bytes

    private fun addCopy(
        block: ProgressBlock,
        rows: List<LogRow>,
        free: ArrayDeque<LogSlot>,
    ) {
        transaction.copyBlock(block)
        // The entries of the copy are retained for an edit of their own, which no copy holds yet.
        pending.edited(block, now)
        for (row in rows) {
            val entry = LogRecord(slots.nextSequenceNumber(), mapOf(block.job.spec.id to row))
            transaction.putLogEntry(free.removeFirst(), entry, listOf(block), transaction.limits.valueBytes)
        }
    }

    /**
     * The transaction has preconditions for so many jobs only: those of the highest priority whose tasks were placed
     * first, each with all of its starts. If it were the first so many starts, a batch would hold a few of each of some
     * jobs, and hundreds of jobs would wait.
     */
    private fun guardableStarts(): List<Assignment> {
        val maxJobs = maxPreconditions - transaction.preconditionCount
        val jobs = HashSet<RunningJob>()
        return pending.starts.sortedBy { it.job.priority }.filter {
            it.job in jobs || (jobs.size < maxJobs && jobs.add(it.job))
        }
    }

    /** Moves as many of [starts], then of [exits], into an entry as fit; false where none was left to move. */
    private fun addEntry(
        slot: LogSlot,
        starts: ArrayDeque<Assignment>,
        exits: ArrayDeque<TaskExit>,
    ): Boolean {
        val entry = LogEntryBuilder(transaction.limits.valueBytes)
        while (starts.isNotEmpty() && entry.add(starts.first())) {
            val assignment = starts.removeFirst()
            transaction.guard(assignment.job)
            transaction.recordStart(assignment)
        }
        while (starts.isEmpty() && exits.isNotEmpty() && entry.add(exits.first())) {
            transaction.recordExit(exits.removeFirst())
        }
        if (entry.isEmpty) return false
        transaction.putLogEntry(slot, entry.build(slots.nextSequenceNumber()), entry.blocks, entry.bytes)
        return true
    }

    private companion object {
        /** With fewer free slots than one in so many, slots are made free by writing what their entries are for. */
        const val RESERVE = 8

        /** Left free for copies, which make slots free but need some themselves. */
        const val COMPACTION_SLOTS = 4

        /** Exits wait this long for starts to be written with. */
        val MAX_EXIT_DELAY = 1.seconds
    }
}
