package umberslip.records

import umberslip.core.JobId
import umberslip.core.Term

/** The numbers of a job's tasks that are done and that are on machines, according to the records. */
data class Progress(
    val done: Int,
    val running: Int,
)

/**
 * A read-only view of the records of all unfinished jobs, for use on the actors' thread. The view is live: it reflects
 * later reads of the key-value store.
 */
interface RecordView {
    /** The record of the current leader; null if there is none. */
    val leader: Versioned<LeaderRecord>?

    /** The highest term that was ever used; null before the first election. */
    val term: Versioned<Term>?

    /** The stored [BootingMachinesRecord], not parsed yet; null if there is none. */
    val bootingMachines: Any?

    /** The machines whose leases only the leader may renew. */
    val revokedRenewals: Versioned<MachineSetRecord>?

    /** The keys of malformed records. No controller overwrites these records, and their contents are unknown. */
    val unreadable: Set<String>

    /** Returns the record of an unfinished job; null for other jobs, and if all versions read so far were malformed. */
    fun job(id: JobId): Versioned<JobRecord>?

    /**
     * Returns the record of an unfinished job, for callers that have to distinguish a missing record from a malformed
     * one.
     *
     * @throws MalformedRecordException if there is a record, but it is malformed
     */
    fun readJob(id: JobId): Versioned<JobRecord>? {
        val key = Keys.job(id)
        if (key in unreadable) throw MalformedRecordException(key, "the reason was logged on the first read")
        return job(id)
    }

    /** Returns the records of all unfinished jobs. */
    fun jobs(): Map<JobId, Versioned<JobRecord>>

    /** Returns the progress records of each job by block number. */
    fun progressRecords(): Map<JobId, Map<Int, Versioned<ProgressRecord>>>

    /** Returns the entries of the write-ahead log by slot. */
    fun log(): Map<Int, Versioned<LogRecord>>

    /** Returns a job's progress according to its progress records and the later log entries. */
    fun progress(id: JobId): Progress
}
