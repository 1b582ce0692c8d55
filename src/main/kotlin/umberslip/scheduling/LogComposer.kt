package umberslip.scheduling

import umberslip.records.LogRecord
import umberslip.records.LogRow
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Adds the log entries that are due to a transaction. */
internal class LogComposer(
    private val transaction: TransactionBuilder,
    private val pending: PendingWrites,
    private val slots: LogSlots,
    /** How many preconditions the transaction may have once those on job records, but not those on slots, are added. */
    private val maxPreconditions: Int,
    private val now: Duration,
) {
    /**
     * Adds entries with starts, which are due at once, and exits. If there are no starts, exits are written only once
     * the oldest of them has waited for a while.
     *
     * @return whether enough slots are free for progress records to be written later; writing them frees slots
     */
    fun compose(): Boolean {
        if (pending.starts.isEmpty() && !areExitsDue()) return true
        val freeSlots = slots.freeSlots()
        val hasEnoughFreeSlots = freeSlots.size >= slots.count / FREE_SLOT_DIVISOR
        if (!hasEnoughFreeSlots) compact(freeSlots)
        val starts = ArrayDeque(startsWithinPreconditionLimit())
        val exits = ArrayDeque(pending.exits.filter { !it.job.isTerminal })
        while (starts.isNotEmpty() || exits.isNotEmpty()) {
            if (freeSlots.size <= SLOTS_KEPT_FOR_COMPACTION) return false
            if (!transaction.hasSpaceForEntries(1)) break
            if (!addEntry(freeSlots.removeFirst(), starts, exits)) break
        }
        return hasEnoughFreeSlots
    }

    private fun areExitsDue(): Boolean {
        val oldest = pending.exits.firstOrNull { !it.job.isTerminal } ?: return false
        return now - oldest.since >= MAX_EXIT_DELAY
    }

    /**
     * Copies one progress block within the log to free the entries that are retained for it. Of the blocks whose record
     * does not fit into a value, it takes the one with the most retained entries whose copy frees slots and fits.
     */
    private fun compact(freeSlots: ArrayDeque<LogSlot>) {
        val valueBytes = transaction.limits.valueBytes
        val retainedEntries = slots.retainedEntriesByBlock()
        val blocks = retainedEntries.keys.filter { !it.job.isTerminal && recordBytes(it) > valueBytes }
        for (block in blocks.sortedByDescending { retainedEntries.getValue(it) }) {
            val rows = LogCompaction(block).rows(valueBytes)
            val freesSlots = rows.size < retainedEntries.getValue(block)
            if (freesSlots && transaction.hasSpaceForEntries(rows.size) && rows.size <= freeSlots.size) {
                addCopy(block, rows, freeSlots)
                return
            }
        }
    }

    private fun recordBytes(block: ProgressBlock): Int = block.job.progressRecord(block, slots.sequenceNumber).bytes

    private fun addCopy(
        block: ProgressBlock,
        rows: List<LogRow>,
        freeSlots: ArrayDeque<LogSlot>,
    ) {
        transaction.beginBlockCopy(block)
        // The copy counts as an edit of its own, which no copy holds yet, so that its entries are retained.
        pending.blockEdited(block, now)
        for (row in rows) {
            val entry = LogRecord(slots.nextSequenceNumber(), mapOf(block.job.spec.id to row))
            transaction.putLogEntry(freeSlots.removeFirst(), entry, listOf(block), transaction.limits.valueBytes)
        }
    }

    /**
     * Returns the starts of as many jobs as the transaction has preconditions for, one for each job. It takes the jobs
     * of the highest priority whose tasks were placed first, each with all of its starts. If it took the first starts
     * instead, a batch would hold only a few starts of each of some jobs, and hundreds of jobs would wait.
     */
    private fun startsWithinPreconditionLimit(): List<Assignment> {
        val maxJobs = maxPreconditions - transaction.preconditionCount
        val jobs = HashSet<RunningJob>()
        return pending.starts.sortedBy { it.job.priority }.filter {
            it.job in jobs || (jobs.size < maxJobs && jobs.add(it.job))
        }
    }

    /** Moves as many of [starts], and then of [exits], as fit into an entry. Returns false if there were none. */
    private fun addEntry(
        slot: LogSlot,
        starts: ArrayDeque<Assignment>,
        exits: ArrayDeque<TaskExit>,
    ): Boolean {
        val entry = LogEntryBuilder(transaction.limits.valueBytes)
        while (starts.isNotEmpty() && entry.add(starts.first())) {
            val assignment = starts.removeFirst()
            transaction.addJobPrecondition(assignment.job)
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
        /**
         * If fewer than one in this many slots are free, progress records are written without delay, and progress
         * blocks are copied, so that slots become free.
         */
        const val FREE_SLOT_DIVISOR = 8

        /** Slots that other entries leave free for copies of progress blocks, which need slots before they free any. */
        const val SLOTS_KEPT_FOR_COMPACTION = 4

        /** Exits wait at most this long to be written together with starts. */
        val MAX_EXIT_DELAY = 1.seconds
    }
}
