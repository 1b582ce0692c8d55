package umberslip.records

import umberslip.core.JobId
import umberslip.core.Term

/** How many tasks of a job are done, and how many are on machines, as the records say. */
data class Progress(
    val done: Int,
    val running: Int,
)

/**
 * A read-only view of all records of unfinished jobs, for the actors' thread. It is live: later reads of the key-value
 * store show in it.
 */
interface RecordView {
    /** Null where no member leads. */
    val leader: Versioned<LeaderRecord>?

    /** The highest term that was ever used; null before the first election. */
    val term: Versioned<Term>?

    /** The stored [BootingMachinesRecord], not parsed yet; null where there is none. */
    val bootingMachines: Any?

    /** The machines whose leases only the leader may renew. */
    val revokedRenewals: Versioned<MachineSetRecord>?

    /** The keys of malformed records; these are left alone, and what they hold is unknown. */
    val unreadable: Set<String>

    /** The record of an unfinished job; null for others, and for one whose first record is malformed. */
    fun job(id: JobId): Versioned<JobRecord>?

    /**
     * The record of an unfinished job, where it matters whether there is none.
     *
     * @throws MalformedRecordException where there is one, but it is malformed
     */
    fun readJob(id: JobId): Versioned<JobRecord>? {
        val key = Keys.job(id)
        if (key in unreadable) throw MalformedRecordException(key, "see the log of the first read")
        return job(id)
    }

    /** The records of all unfinished jobs. */
    fun jobs(): Map<JobId, Versioned<JobRecord>>

    /** The progress records of each job by block. */
    fun progressRecords(): Map<JobId, Map<Int, Versioned<ProgressRecord>>>

    /** The entries of the write-ahead log by slot. */
    fun log(): Map<Int, Versioned<LogRecord>>

    /** A job's progress by its progress records and the later log entries. */
    fun progress(id: JobId): Progress
}
