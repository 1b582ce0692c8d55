package umberslip.scheduling

import umberslip.core.MachineName
import umberslip.records.JobOutcome
import umberslip.store.Precondition
import umberslip.store.Write
import java.util.BitSet

/** The writes of one transaction, and the changes to the leader's state that follow once it is applied. */
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
    /** The keys that are deleted because they are no longer needed. */
    val obsoleteKeys: List<String>,
    /** The log entries among the writes. */
    val logEntryWrites: List<LogEntryWrite>,
    /** The progress blocks that the batch copies within the log. */
    val copiedBlocks: List<BlockEdit>,
    /** The machines whose lease renewal the batch revokes; null if the batch does not write their record. */
    val revokedRenewals: Set<MachineName>?,
)

/** The write of a progress record, which holds the edits of [block] up to the number [edit] and its [done] tasks. */
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

/** The write of a log entry to the slot [slotNumber], with the [edits] of the progress blocks that it affects. */
data class LogEntryWrite(
    val slotNumber: Int,
    val edits: List<BlockEdit>,
)
