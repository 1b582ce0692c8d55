package umberslip.scheduling

import umberslip.core.MachineName
import umberslip.records.Keys
import umberslip.records.MachineSetRecord
import umberslip.records.Placement
import umberslip.records.Versioned
import umberslip.settings.StoreSettings
import umberslip.store.Version
import kotlin.time.Duration

/**
 * What the leader has still to write, and under which versions.
 *
 * Starts and exits of tasks go first into a log, many in one value. The records of the jobs' progress follow later, and
 * are never written for a job that finishes before that. So the number of writes does not grow with that of tasks.
 *
 * Pure: it makes batches with [nextBatch], whose outcome the caller reports by [applied], [notApplied] or [rejected]
 * before it asks for the next one. Time is an input. Confined to the leader actor.
 */
class WriteAheadLog(
    private val limits: StoreSettings,
    private var leaderVersion: Version,
    /** Higher than that of any entry of former terms. */
    firstSequenceNumber: Long,
    slotCount: Int = slotCount(limits.valueBytes),
) {
    private val budget = TransactionBudget(limits)
    private val slots = LogSlots(slotCount, firstSequenceNumber)
    private val pending = PendingWrites()
    private val revokedRenewals = RevokedRenewals()

    /** The machines whose lease renewal is to be revoked, or is, in that order; the caller adds and removes them. */
    val pendingRevocations: MutableSet<MachineName> get() = revokedRenewals.pending

    // ---- what is to be written ----

    /** The leader's record has a new version: writes under the former version fail from now on. */
    fun fenced(version: Version) {
        leaderVersion = version
    }

    /** The task was placed; its start is to be recorded. */
    fun started(
        assignment: Assignment,
        now: Duration,
    ) {
        pending.starts += assignment
        pending.edited(assignment.job.block(assignment.index), now)
    }

    /** The start was not recorded, and is not to be any more. */
    fun withdrawn(assignment: Assignment) {
        pending.starts -= assignment
    }

    /**
     * The task exited, or is certainly not on its machine. Where its start was never recorded, no worker knows of it,
     * and there is nothing to record unless it is done.
     */
    fun ended(
        assignment: Assignment,
        done: Boolean,
        now: Duration,
    ): TaskExit {
        val block = assignment.job.block(assignment.index)
        pending.edited(block, now)
        val edit = BlockEdit(block, block.lastEdit)
        val exit = TaskExit(assignment.job, assignment.index, assignment.attempt, done, edit, now)
        val wasRecorded = !pending.starts.remove(assignment)
        if (wasRecorded || done) pending.exits += exit
        jobChanged(assignment.job)
        return exit
    }

    /** Whether the job is terminal may have changed. */
    fun jobChanged(job: RunningJob) {
        if (job.isTerminal) pending.finishedJobs += job else pending.finishedJobs -= job
    }

    /** The job's record is deleted: nothing of the job is to be written any more. */
    fun remove(job: RunningJob) = pending.remove(job)

    /** Deletes a key that nothing needs any more. */
    fun drop(key: String) {
        pending.obsoleteKeys += key
    }

    // ---- the records of former leaders ----

    /** Takes over an entry of the log whose effects on the progress blocks that it [named] are applied already. */
    fun load(
        slotNumber: Int,
        version: Version,
        named: Collection<ProgressBlock>,
        now: Duration,
    ) {
        named.forEach { pending.edited(it, now) }
        slots[slotNumber]?.entryWritten(named.map { BlockEdit(it, it.lastEdit) }, version)
    }

    /** Takes over the record of revoked renewals; machines that are not [known] need none. */
    fun load(
        record: Versioned<MachineSetRecord>,
        known: Set<MachineName>,
    ) = revokedRenewals.load(record, known)

    // ---- batches and their outcome ----

    /**
     * The next writes, the most needed first; null where none is due.
     *
     * @param maxWrites how many writes the caller allows
     * @param machines those that the leader knows
     */
    fun nextBatch(
        maxWrites: Int,
        machines: Set<MachineName>,
        now: Duration,
    ): WriteBatch? {
        val transaction = TransactionBuilder(budget.limitsFor(maxWrites))
        // Every write has a precondition of its own, so the guards of jobs share the others.
        val maxLogPreconditions =
            limits.transactionOps * (TransactionBuilder.PRECONDITIONS_PER_WRITE - 1) - OTHER_PRECONDITIONS
        BatchComposer(transaction, pending, slots, now).compose(revokedRenewals, machines, maxLogPreconditions)
        return transaction.build(leaderVersion)
    }

    /** The key-value store applied the batch. Returns the machines that have newly recorded starts. */
    fun applied(
        batch: WriteBatch,
        version: Version,
    ): Set<MachineName> {
        batch.revokedRenewals?.let { revokedRenewals.applied(it, version) }
        for ((block, edit) in batch.copiedBlocks) block.copied(edit)
        batch.progressWrites.forEach { progressWritten(it, version) }
        for ((number, edits) in batch.loggedSlots) slots[number]?.entryWritten(edits, version)
        for (exit in batch.exits) {
            exit.logged()
            pending.exits -= exit
        }
        val machineNames = HashSet<MachineName>()
        for (assignment in batch.starts) if (startRecorded(assignment)) machineNames += assignment.machineName
        return machineNames
    }

    private fun progressWritten(
        write: ProgressWrite,
        version: Version,
    ) {
        val block = write.block
        block.recordWritten(write, version)
        pending.unflushedBlocks -= block
        if (block.isDiscarded) {
            // Its job was removed while the batch was in flight.
            pending.obsoleteKeys += block.key
        } else if (block.lastEdit != write.edit) {
            // Edited while the batch was in flight: it moves to the end.
            pending.unflushedBlocks += block
        }
    }

    /** False where the assignment was recorded before, or has ended meanwhile. */
    private fun startRecorded(assignment: Assignment): Boolean {
        pending.starts -= assignment
        if (assignment.job.assigned[assignment.index] !== assignment || assignment.recorded) return false
        assignment.recorded = true
        val placement = Placement(assignment.index, assignment.attempt, assignment.machineName)
        assignment.job.block(assignment.index).startLogged(placement)
        return true
    }

    /** The key-value store did not apply the batch. What it stood for goes into later batches. */
    fun notApplied(batch: WriteBatch) {
        pending.obsoleteKeys.addAll(batch.obsoleteKeys)
    }

    /** As [notApplied], and the same batch would be rejected again: from now on less goes into one. */
    fun rejected(batch: WriteBatch) {
        notApplied(batch)
        budget.halve()
    }

    /**
     * The key-value store has [key] with this version, or without a version does not have it. For a key whose
     * precondition failed, or whose write had an indeterminate outcome.
     */
    fun resolve(
        key: String,
        version: Version?,
    ) {
        val resolved = version ?: Version.NONE
        if (key == Keys.REVOKED_RENEWALS) {
            revokedRenewals.resolve(resolved)
        } else {
            Keys.parseLogSlot(key)?.let { slots[it] }?.version = resolved
        }
    }

    /** The record at [key] is malformed: a slot of the log with that key is not written any more. */
    fun leaveAlone(key: String) {
        Keys.parseLogSlot(key)?.let { slots[it] }?.isUnreadable = true
    }

    companion object {
        /** Besides one for each write: of the leader's record, and of the revoked renewals. */
        private const val OTHER_PRECONDITIONS = 2

        /** How many slots the log has where values take so many bytes. */
        fun slotCount(valueBytes: Int): Int = LogSlots.countFor(valueBytes)
    }
}
