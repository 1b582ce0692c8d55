package umberslip.records

import umberslip.core.JobId
import umberslip.core.TaskId

/**
 * The keys of stored records. They must never change, because controllers of different versions share the records
 * during an upgrade.
 *
 * All records that a controller replicates are stored under [ROOT]. Outcomes of jobs are stored outside it, because
 * they are kept permanently and read one by one.
 */
object Keys {
    /** The prefix of all replicated records. */
    const val ROOT = "u/"

    /** The key of the [LeaderRecord], which is bound to the leader's lease and is removed when the lease expires. */
    const val LEADER = "u/owner"

    /** The key of the [TermRecord]. */
    const val TERM = "u/term"

    /** The key of the [BootingMachinesRecord]. */
    const val BOOTING_MACHINES = "u/fleet"

    /** The key of the [MachineSetRecord] of the machines whose leases only the leader may renew. */
    const val REVOKED_RENEWALS = "u/condemned"
    private const val JOB = "u/job/"
    private const val PROGRESS = "u/run/"
    private const val LOG = "u/log/"
    private const val FOLLOWER_RENEWALS = "u/relayed/"
    private const val OUTCOME = "end/"

    /** Returns the key of a [JobRecord]. */
    fun job(id: JobId): String = JOB + id.value

    /** Returns the key of the [ProgressRecord] of one progress block of a job. */
    fun progress(
        id: JobId,
        block: Int,
    ): String = "$PROGRESS${id.value}/$block"

    /** Returns the key of the [LogRecord] in a slot of the write-ahead log. */
    fun log(slot: Int): String = LOG + slot

    /** Returns the key of the [MachineSetRecord] of the machines whose leases the follower [member] renewed. */
    fun followerRenewals(member: String): String = FOLLOWER_RENEWALS + member

    /** Returns the key of an [OutcomeRecord]. */
    fun outcome(id: JobId): String = OUTCOME + id.value

    /** Returns whether [key] was built by [followerRenewals]. */
    fun isFollowerRenewalsKey(key: String): Boolean = key.startsWith(FOLLOWER_RENEWALS)

    /** Returns the slot of the write-ahead log that is stored at [key]; null for other keys. */
    fun parseLogSlot(key: String): Int? = if (key.startsWith(LOG)) key.substring(LOG.length).toIntOrNull() else null

    /** Returns the id of the job whose [JobRecord] is stored at [key]; null for other keys. */
    fun parseJobId(key: String): JobId? = if (key.startsWith(JOB)) JobId.parse(key.substring(JOB.length)) else null

    /** Returns the progress block whose [ProgressRecord] is stored at [key]; null for other keys. */
    fun parseProgressKey(key: String): ProgressKey? {
        if (!key.startsWith(PROGRESS)) return null
        // After the prefix, the key has the form of a task id with the block number in place of the task index.
        val blockId = TaskId.parse(key.substring(PROGRESS.length)) ?: return null
        return ProgressKey(blockId.job, blockId.index)
    }
}

/** Identifies a progress block by its job and its number within the job. */
data class ProgressKey(
    val job: JobId,
    val block: Int,
)
