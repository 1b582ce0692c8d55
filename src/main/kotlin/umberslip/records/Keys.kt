package umberslip.records

import umberslip.core.JobId
import umberslip.core.TaskId

/**
 * The keys of stored records. They never change: controllers of different versions share them during an upgrade.
 *
 * All records that a controller replicates lie under [ROOT]. Outcomes of jobs lie outside it, since they are stored
 * for ever and read one by one.
 */
object Keys {
    /** The prefix of all replicated records. */
    const val ROOT = "u/"

    /** The [LeaderRecord]; bound to the leader's lease, so that it disappears when that expires. */
    const val LEADER = "u/owner"

    /** The [TermRecord]. */
    const val TERM = "u/term"

    /** The [BootingMachinesRecord]. */
    const val BOOTING_MACHINES = "u/fleet"

    /** The [MachineSetRecord] of machines whose leases only the leader may renew. */
    const val REVOKED_RENEWALS = "u/condemned"
    private const val JOB = "u/job/"
    private const val PROGRESS = "u/run/"
    private const val LOG = "u/log/"
    private const val FOLLOWER_RENEWALS = "u/relayed/"
    private const val OUTCOME = "end/"

    /** The key of a [JobRecord]. */
    fun job(id: JobId): String = JOB + id.value

    /** The key of the [ProgressRecord] of one progress block of a job. */
    fun progress(
        id: JobId,
        block: Int,
    ): String = "$PROGRESS${id.value}/$block"

    /** The key of the [LogRecord] in a slot of the write-ahead log. */
    fun log(slot: Int): String = LOG + slot

    /** The key of the [MachineSetRecord] of machines whose leases the follower [member] renewed. */
    fun followerRenewals(member: String): String = FOLLOWER_RENEWALS + member

    /** The key of an [OutcomeRecord]. */
    fun outcome(id: JobId): String = OUTCOME + id.value

    /** Whether [key] is one of [followerRenewals]. */
    fun isFollowerRenewals(key: String): Boolean = key.startsWith(FOLLOWER_RENEWALS)

    /** The slot whose log entry lies at [key]; null for other keys. */
    fun parseLogSlot(key: String): Int? = if (key.startsWith(LOG)) key.substring(LOG.length).toIntOrNull() else null

    /** The job whose record lies at [key]; null for other keys. */
    fun parseJobId(key: String): JobId? = if (key.startsWith(JOB)) JobId.parse(key.substring(JOB.length)) else null

    /** The progress block whose record lies at [key]; null for other keys. */
    fun parseProgressKey(key: String): ProgressKey? {
        if (!key.startsWith(PROGRESS)) return null
        // Such keys have the form of task ids, with the number of a block in place of a task's.
        val blockId = TaskId.parse(key.substring(PROGRESS.length)) ?: return null
        return ProgressKey(blockId.job, blockId.index)
    }
}

/** Which progress block of which job. */
data class ProgressKey(
    val job: JobId,
    val block: Int,
)
