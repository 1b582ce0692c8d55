package umberslip.scheduling

import umberslip.core.MachineName
import umberslip.records.JobOutcome
import umberslip.store.Precondition
import umberslip.store.Write
import java.util.BitSet

/** The writes of one transaction, and what the leader's state has to follow once the transaction is applied. */
class WriteBatch(
    val preconditions: List<Precondition>,
    val writes: List<Write>,
    /** The progress records among the writes. */
    val progressWrites: List<ProgressWrite>,
    /** The starts that the writes record. */
    val starts: List<Assignment>,
    /** The exits that the writes record. */
    val exits: List<TaskExit>,
    /** The jobs whose outcome is written and whose record is deleted. */
    val finishedJobs: List<FinishedJob>,
    /** Keys deleted because nothing needs them any more. */
    val obsoleteKeys: List<String>,
    /** The entries of the log among the writes. */
    val loggedSlots: List<LoggedSlot>,
    /** The progress blocks that the batch copies within the log. */
    val copiedBlocks: List<BlockEdit>,
    /** The machines whose lease renewal the batch revokes; null where their record is not among the writes. */
    val revokedRenewals: Set<MachineName>?,
)

/** A progress record as it is written: [block] up to the number [edit], with the tasks that it shows as [done]. */
class ProgressWrite(
    val block: ProgressBlock,
    val edit: Long,
    val done: BitSet,
)

/** A job and how it ended. */
data class FinishedJob(
    val job: RunningJob,
    val outcome: JobOutcome,
)

/** A log entry as it is written to the slot [number], with the edits of the progress blocks that it names. */
data class LoggedSlot(
    val number: Int,
    val edits: List<BlockEdit>,
)
