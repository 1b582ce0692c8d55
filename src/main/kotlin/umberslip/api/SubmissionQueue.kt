package umberslip.api

import kotlinx.coroutines.CompletableDeferred
import umberslip.core.JobId
import umberslip.records.JobRecord

/** The result of writing a submission. */
internal enum class SubmissionResult {
    CREATED,

    /** A record or an outcome of the job existed before. */
    ALREADY_ACCEPTED,

    /** Not written, or the outcome of the write is indeterminate. A retry by the user shows which. */
    UNCONFIRMED,
}

/** A submission that waits to be written to the key-value store; [bytes] is the size of its record there. */
internal class PendingSubmission(
    val record: JobRecord,
    val bytes: Int,
) {
    val id: JobId get() = record.spec.id
    val result = CompletableDeferred<SubmissionResult>()
}

/** A queue of submissions to be written, in order of arrival. Pure state of [JobApi]. */
internal class SubmissionQueue(
    /** The maximum number of writes in a transaction. */
    private val maxWrites: Int,
) {
    private val submissions = ArrayDeque<PendingSubmission>()

    /** Whether further submissions should be refused for now. */
    val isFull: Boolean get() = submissions.size >= MAX_SUBMISSIONS

    fun add(submission: PendingSubmission) = submissions.addLast(submission)

    /** Removes and returns as many submissions as fit into one transaction, or none if the queue is empty. */
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
        /** About the number that can be written before their users time out. */
        const val MAX_SUBMISSIONS = 100

        /** Leaves a margin below the protocol's limit of 64 KiB. */
        const val MAX_TRANSACTION_BYTES = 50_000

        /** The number of bytes counted for the two preconditions of a submission. */
        const val PRECONDITION_BYTES = 150
    }
}
