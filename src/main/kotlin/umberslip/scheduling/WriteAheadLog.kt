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
 * Collects what the leader has to write to the key-value store, and keeps the versions that guard the writes.
 *
 * Starts and exits of tasks are first written to a log, many in one value. The jobs' progress records follow later, and
 * are never written for a job that finishes before that. The number of writes therefore does not grow with the number
 * of tasks.
 *
 * [nextBatch] composes a batch, and the caller reports its outcome by [applied], [notApplied] or [rejected] before it
 * asks for the next one. Pure: time is an input. Confined to the leader actor.
 */
class WriteAheadLog(
    private val limits: StoreSettings,
    private var leaderVersion: Version,
    /** Higher than the sequence number of any entry of former terms. */
    firstSequenceNumber: Long,
    slotCount: Int = slotCount(limits.valueBytes),
) {
    private val budget = TransactionBudget(limits)
    private val slots = LogSlots(slotCount, firstSequenceNumber)
    private val pending = PendingWrites()
    private val revokedRenewals = RevokedRenewals()

    /**
     * The machines whose lease renewal is revoked or is to be revoked, in the order in which they were added. The
     * caller adds and removes machines.
     */
    val pendingRevocations: MutableSet<MachineName> get() = revokedRenewals.pending

    // ---- what is to be written ----

    /** Takes the new version of the leader's record; writes under the former version fail from now on. */
    fun fenced(version: Version) {
        leaderVersion = version
    }

    /** Queues the start of a task that was placed, to be recorded. */
    fun started(
        assignment: Assignment,
        now: Duration,
    ) {
        pending.starts += assignment
        pending.blockEdited(assignment.job.block(assignment.index), now)
    }

    /** Removes the start of a task that was withdrawn before its start was recorded. */
    fun withdrawn(assignment: Assignment) {
        pending.starts -= assignment
    }

    /**
     * Queues the exit of a task to be recorded. The task exited or is certainly not on its machine. If its start was
     * never recorded, no worker knows of the task, and its exit is recorded only if it is [done].
     */
    fun ended(
        assignment: Assignment,
        done: Boolean,
        now: Duration,
    ): TaskExit {
        val block = assignment.job.block(assignment.index)
        pending.blockEdited(block, now)
        val edit = BlockEdit(block, block.lastEdit)
        val exit = TaskExit(assignment.job, assignment.index, assignment.attempt, done, edit, now)
        val wasRecorded = !pending.starts.remove(assignment)
        if (wasRecorded || done) pending.exits += exit
        jobChanged(assignment.job)
        return exit
    }

    /** Queues the job's outcome to be written if the job is terminal; otherwise removes it from the queue. */
    fun jobChanged(job: RunningJob) {
        if (job.isTerminal) pending.finishedJobs += job else pending.finishedJobs -= job
    }

    /**
     * Removes everything that is to be written for a job whose record was deleted, and deletes its progress records.
     */
    fun remove(job: RunningJob) = pending.remove(job)

    /** Queues the deletion of a key that is no longer needed. */
    fun deleteKey(key: String) {
        pending.obsoleteKeys += key
    }

    // ---- the records of former leaders ----

    /** Takes over a log entry of a former leader, whose effects on [affectedBlocks] have been applied already. */
    fun loadEntry(
        slotNumber: Int,
        version: Version,
        affectedBlocks: Collection<ProgressBlock>,
        now: Duration,
    ) {
        affectedBlocks.forEach { pending.blockEdited(it, now) }
        slots[slotNumber]?.entryWritten(affectedBlocks.map { BlockEdit(it, it.lastEdit) }, version)
    }

    /** Takes over the record of revoked renewals of a former leader, except for machines not in [knownMachines]. */
    fun loadRevokedRenewals(
        record: Versioned<MachineSetRecord>,
        knownMachines: Set<MachineName>,
    ) = revokedRenewals.load(record, knownMachines)

    // ---- batches and their outcomes ----

    /**
     * Returns the next writes, the most urgent first, or null if none are due.
     *
     * @param maxWrites the number of writes that the caller allows
     * @param knownMachines the machines that the leader knows; lease renewal is revoked only for these
     */
    fun nextBatch(
        maxWrites: Int,
        knownMachines: Set<MachineName>,
        now: Duration,
    ): WriteBatch? {
        val transaction = TransactionBuilder(budget.limitsFor(maxWrites))
        // Each write may need one precondition on its own key; the preconditions on job records share the rest.
        val maxLogPreconditions =
            limits.transactionOps * (TransactionBuilder.PRECONDITIONS_PER_WRITE - 1) - OTHER_PRECONDITIONS
        BatchComposer(transaction, pending, slots, now).compose(revokedRenewals, knownMachines, maxLogPreconditions)
        return transaction.build(leaderVersion)
    }

    /** Updates the state after the store has applied [batch]. Returns the machines that have newly recorded starts. */
    fun applied(
        batch: WriteBatch,
        version: Version,
    ): Set<MachineName> {
        batch.revokedRenewals?.let { revokedRenewals.applied(it, version) }
        for ((block, edit) in batch.copiedBlocks) block.copied(edit)
        batch.progressWrites.forEach { progressWritten(it, version) }
        for ((slotNumber, edits) in batch.logEntryWrites) slots[slotNumber]?.entryWritten(edits, version)
        for (exit in batch.exits) {
            exit.logged()
            pending.exits -= exit
        }
        val machineNames = HashSet<MachineName>()
        for (assignment in batch.starts) if (markStartRecorded(assignment)) machineNames += assignment.machineName
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
            // The block's job was removed while the batch was in flight.
            pending.obsoleteKeys += block.key
        } else if (block.lastEdit != write.edit) {
            // The block was edited while the batch was in flight, and moves to the end of the queue.
            pending.unflushedBlocks += block
        }
    }

    /** Marks a start as recorded. Returns false if it was recorded before, or the assignment has ended meanwhile. */
    private fun markStartRecorded(assignment: Assignment): Boolean {
        pending.starts -= assignment
        if (assignment.job.assigned[assignment.index] !== assignment || assignment.recorded) return false
        assignment.recorded = true
        val placement = Placement(assignment.index, assignment.attempt, assignment.machineName)
        assignment.job.block(assignment.index).startLogged(placement)
        return true
    }

    /**
     * Requeues the contents of a batch that the key-value store did not apply, for later batches. Only the obsolete
     * keys have to be added again, since everything else is still pending.
     */
    fun notApplied(batch: WriteBatch) {
        pending.obsoleteKeys.addAll(batch.obsoleteKeys)
    }

    /** Like [notApplied]. The store would reject the same batch again, so later batches have half the size. */
    fun rejected(batch: WriteBatch) {
        notApplied(batch)
        budget.halve()
    }

    /**
     * Sets the [version] that [key] has in the key-value store, null if the key does not exist. Called for a key whose
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

    /** Notes that the record at [key] is malformed. If the key is a slot of the log, the slot is no longer written. */
    fun markUnreadable(key: String) {
        Keys.parseLogSlot(key)?.let { slots[it] }?.isUnreadable = true
    }

    companion object {
        /** Preconditions besides one for each write: on the leader's record, and on the revoked renewals. */
        private const val OTHER_PRECONDITIONS = 2

        /** Returns the number of slots that the log has if a value may take [valueBytes]. */
        fun slotCount(valueBytes: Int): Int = LogSlots.countFor(valueBytes)
    }
}
