package umberslip.api

import kotlinx.coroutines.CompletableDeferred
import umberslip.core.JobId
import umberslip.records.JobRecord

/** What became of a submission that was to be written. */
internal enum class SubmissionResult {
    CREATED,

    /** The job was accepted before. */
    KNOWN,

    /** Not written, or it is unknown whether; a retry shows which. */
    UNCONFIRMED,
}

/** A submission on its way into the key-value store; [bytes] is the size of its record there. */
internal class PendingSubmission(
    val record: JobRecord,
    val bytes: Int,
) {
    val id: JobId get() = record.spec.id
    val result = CompletableDeferred<SubmissionResult>()
}

/** Submissions that wait to be written, in order of arrival. Pure state of the [JobApi]. */
internal class SubmissionQueue(
    /** The most puts of a transaction. */
    private val maxWrites: Int,
) {
    private val submissions = ArrayDeque<PendingSubmission>()

    /** Whether no more submissions should be added for now. */
    val isFull: Boolean get() = submissions.size >= MAX_SUBMISSIONS

    fun add(submission: PendingSubmission) = submissions.addLast(submission)

    /** Removes as many submissions as fit into one transaction; none if none waits. */
    fun nextBatch(): List<PendingSubmission> {
        val batch = ArrayList<PendingSubmission>()
        var bytes = 0
        while (batch.size < maxWrites && submissions.isNotEmpty()) {
            bytes += submissions.first().bytes + PRECONDITION_BYTES
            if (batch.isNotEmpty() && bytes > MAX_TRANSACTION_BYTES) break
            batch += submissions.removeFirst()
        }
        return batch
    }

    private companion object {
        /** About as many as are written before their users give up. */
        const val MAX_SUBMISSIONS = 100

        /** Safely below the protocol's 64 KiB. */
        const val MAX_TRANSACTION_BYTES = 50_000

        /** The two preconditions of a submission. */
        const val PRECONDITION_BYTES = 150
    }
}
