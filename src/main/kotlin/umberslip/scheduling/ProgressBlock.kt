package umberslip.scheduling

import umberslip.records.Keys
import umberslip.records.Placement
import umberslip.store.Version
import java.util.BitSet
import kotlin.time.Duration

/**
 * A fixed range of a job's tasks whose progress is stored in one record.
 *
 * Every change of one of its tasks is an edit, and edits are numbered from 1 within a term. The log retains an edit
 * until the block's record, or a later copy of the block in the log, holds it as well. Confined to the leader actor.
 */
class ProgressBlock(
    val job: RunningJob,
    val number: Int,
) {
    /** The key of the block's record. */
    val key = Keys.progress(job.spec.id, number)

    /** The version of the block's record, which guards the next write of the record. */
    var version = Version.NONE

    /** The number of the newest edit. */
    var lastEdit = 0L
        private set

    /** The newest edit that the block's record holds. */
    private var writtenEdit = 0L

    /** The newest edit that a copy of the block in the log holds. */
    private var copiedEdit = 0L

    /** The highest attempt number that was ever used for one of its tasks. */
    var lastAttempt = 0L

    /** The start with the highest attempt number, of those that this leader recorded or loaded from the log. */
    var lastLoggedStart: Placement? = null
        private set

    /** The tasks that the block's record shows as done, counted from the block's first task. */
    var storedDone = BitSet()

    /** Since when the block's record has lacked an edit; null if it holds all edits. */
    var unflushedSince: Duration? = null
        private set

    /** Whether the log holds, or held, a copy of the block. */
    val hasCopy: Boolean get() = copiedEdit > 0

    /** Whether the block's job was removed, so that nothing of the block is to be written any more. */
    val isDiscarded: Boolean get() = writtenEdit == DISCARDED

    /** Notes that one of its tasks changed. */
    fun edited(now: Duration) {
        lastEdit++
        if (unflushedSince == null) unflushedSince = now
    }

    /** Notes that the start of one of its tasks is recorded. */
    fun startLogged(placement: Placement) {
        if (placement.attempt > (lastLoggedStart?.attempt ?: 0L)) lastLoggedStart = placement
    }

    /** Notes that the log has a copy of the block with all edits up to [edit]. */
    fun copied(edit: Long) {
        copiedEdit = maxOf(copiedEdit, edit)
    }

    /** Notes that a write of the block's record was applied. */
    fun recordWritten(
        write: ProgressWrite,
        version: Version,
    ) {
        this.version = version
        writtenEdit = maxOf(writtenEdit, write.edit)
        storedDone = write.done
        if (!isDiscarded && lastEdit == write.edit) unflushedSince = null
    }

    /** Notes that the block's job was removed, so that nothing of the block is written any more. */
    fun discard() {
        writtenEdit = DISCARDED
    }

    /** Returns whether the block's record holds [edit], or no longer has to since the job was removed. */
    fun isInRecord(edit: Long): Boolean = writtenEdit >= edit

    /** Returns whether log entries need not be retained for [edit]. */
    fun isStoredElsewhere(edit: Long): Boolean = writtenEdit >= edit || copiedEdit >= edit

    private companion object {
        /** Higher than any edit, so that no log entry is retained for the block. */
        const val DISCARDED = Long.MAX_VALUE
    }
}

/** All edits of [block] up to the number [edit]. */
data class BlockEdit(
    val block: ProgressBlock,
    val edit: Long,
) {
    /** Whether log entries need not be retained for these edits. */
    val isStoredElsewhere: Boolean get() = block.isStoredElsewhere(edit)
}
