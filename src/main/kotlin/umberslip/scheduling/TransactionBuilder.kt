package umberslip.scheduling

import umberslip.core.MachineName
import umberslip.records.JobOutcome
import umberslip.records.Keys
import umberslip.records.LogRecord
import umberslip.records.MachineSetRecord
import umberslip.records.OutcomeRecord
import umberslip.records.ProgressRecord
import umberslip.store.Precondition
import umberslip.store.Version
import umberslip.store.Write

/**
 * Collects the writes of one transaction with their preconditions, and the state changes that the writes record. The
 * caller decides what to write next, and checks here whether it still fits into [limits].
 */
internal class TransactionBuilder(
    val limits: TransactionLimits,
) {
    private val writes = ArrayList<Write>()
    private val preconditions = ArrayList<Precondition>()
    private val progressWrites = ArrayList<ProgressWrite>()
    private val starts = ArrayList<Assignment>()
    private val exits = ArrayList<TaskExit>()
    private val finishedJobs = ArrayList<FinishedJob>()
    private val obsoleteKeys = ArrayList<String>()
    private val logEntryWrites = ArrayList<LogEntryWrite>()
    private val copiedBlocks = ArrayList<BlockEdit>()
    private var revokedRenewals: Set<MachineName>? = null
    private val jobsWithPrecondition = HashSet<RunningJob>()

    /** The estimated size of the writes. Finished jobs and deletions are small and not counted. */
    private var bytes = 0

    val preconditionCount: Int get() = preconditions.size

    val hasSpaceForWrite: Boolean get() = writes.size < limits.maxWrites

    val isFull: Boolean get() = !hasSpaceForWrite || bytes >= limits.transactionBytes

    /** Returns whether [count] more log entries fit, each as large as a value may be. */
    fun hasSpaceForEntries(count: Int): Boolean {
        val bytesWithEntries = bytes + count * limits.valueBytes
        return writes.size + count <= limits.maxWrites && bytesWithEntries <= limits.transactionBytes
    }

    /** Returns whether one more finished job fits into a transaction of at most [maxWrites] writes. */
    fun hasSpaceForFinishedJob(maxWrites: Int): Boolean =
        writes.size + FINISHED_JOB_WRITES <= maxWrites &&
            preconditions.size + FINISHED_JOB_PRECONDITIONS <= limits.maxWrites * PRECONDITIONS_PER_WRITE

    fun putRevokedRenewals(
        machineNames: Set<MachineName>,
        storedVersion: Version,
    ) {
        revokedRenewals = machineNames
        put(Keys.REVOKED_RENEWALS, MachineSetRecord(machineNames).toMap(), storedVersion)
        bytes += machineNames.sumOf { it.value.length + MACHINE_NAME_OVERHEAD_BYTES }
    }

    /** Deletes the job's record. Also writes the job's outcome, unless its cancellation has already written it. */
    fun finishJob(job: RunningJob) {
        val key = Keys.job(job.spec.id)
        val outcome = if (job.cancelled || job.dependencyCancelled) JobOutcome.CANCELLED else JobOutcome.DONE
        preconditions += Precondition(key, job.record.version)
        if (!job.cancelled) {
            put(Keys.outcome(job.spec.id), OutcomeRecord(outcome, job.spec.tasks).toMap(), Version.NONE)
        }
        writes += Write.Delete(key)
        finishedJobs += FinishedJob(job, outcome)
    }

    /** Notes that the transaction records a start, by a log entry or a progress record that the caller adds. */
    fun recordStart(assignment: Assignment) {
        starts += assignment
    }

    /** Notes that the transaction records an exit, by a log entry that the caller adds. */
    fun recordExit(exit: TaskExit) {
        exits += exit
    }

    /**
     * Makes the transaction fail if the job's record has changed, as it does when another controller cancels the job.
     */
    fun addJobPrecondition(job: RunningJob) {
        if (!jobsWithPrecondition.add(job)) return
        val precondition = Precondition(Keys.job(job.spec.id), job.record.version)
        preconditions += precondition
        bytes += precondition.key.length + PRECONDITION_OVERHEAD_BYTES
    }

    /** Adds a log entry that affects [blocks] and takes [entryBytes]. */
    fun putLogEntry(
        slot: LogSlot,
        entry: LogRecord,
        blocks: Collection<ProgressBlock>,
        entryBytes: Int,
    ) {
        bytes += entryBytes
        put(slot.key, entry.toMap(), slot.version)
        logEntryWrites += LogEntryWrite(slot.number, blocks.map { BlockEdit(it, it.lastEdit) })
    }

    /** Notes that the log entries that are added next hold a copy of [block]. */
    fun beginBlockCopy(block: ProgressBlock) {
        copiedBlocks += BlockEdit(block, block.lastEdit)
    }

    /** Adds the record of [block], which takes [recordBytes]. */
    fun putProgress(
        block: ProgressBlock,
        record: ProgressRecord,
        recordBytes: Int,
    ) {
        bytes += recordBytes
        put(block.key, record.toMap(), block.version)
        progressWrites += ProgressWrite(block, block.lastEdit, record.done)
    }

    fun delete(key: String) {
        obsoleteKeys += key
        writes += Write.Delete(key)
    }

    /** Returns the batch, which is valid only while the leader's record has [leaderVersion]; null if it is empty. */
    fun build(leaderVersion: Version): WriteBatch? {
        if (writes.isEmpty()) return null
        preconditions += Precondition(Keys.LEADER, leaderVersion)
        return WriteBatch(
            preconditions,
            writes,
            progressWrites,
            starts,
            exits,
            finishedJobs,
            obsoleteKeys,
            logEntryWrites,
            copiedBlocks,
            revokedRenewals,
        )
    }

    private fun put(
        key: String,
        data: Map<String, Any?>,
        version: Version,
    ) {
        writes += Write.Put(key, data)
        preconditions += Precondition(key, version)
    }

    companion object {
        /** The key-value store accepts four times as many preconditions as writes. */
        const val PRECONDITIONS_PER_WRITE = 4

        /** A finished job takes two writes: its outcome, and the deletion of its record. */
        const val FINISHED_JOB_WRITES = 2

        /** A finished job takes three preconditions: on its record, on its outcome, and on the leader's record. */
        private const val FINISHED_JOB_PRECONDITIONS = 3

        /** The size of a precondition without its key. */
        private const val PRECONDITION_OVERHEAD_BYTES = 24

        /** The size of a machine name in a record without its characters. */
        private const val MACHINE_NAME_OVERHEAD_BYTES = 4
    }
}
