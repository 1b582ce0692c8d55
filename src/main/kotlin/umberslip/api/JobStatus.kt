package umberslip.api

import umberslip.core.JobId
import umberslip.http.Response
import umberslip.records.JobOutcome
import umberslip.records.OutcomeRecord
import umberslip.records.Progress

/** The status of a job as users see it. */
internal sealed interface JobStatus {
    /** No such job was ever accepted. */
    data object Unknown : JobStatus

    data class Unfinished(
        val progress: Progress,
    ) : JobStatus

    /** A final status: no later response to any user may report a different one. */
    data class Finished(
        val outcome: OutcomeRecord,
    ) : JobStatus
}

/** Builds the responses of the users' API. Their field names and values are defined only here. */
internal object JobResponses {
    private const val ID = "uid"
    private const val STATUS = "status"
    private const val DONE_TASKS = "done"
    private const val RUNNING_TASKS = "running"

    private const val QUEUED = "queued"
    private const val RUNNING = "running"
    private const val DONE = "done"
    private const val CANCELLED = "aborted"

    /** The response to a status request, to a cancellation, and to the submission of a job accepted before. */
    fun status(
        id: JobId,
        status: JobStatus,
    ): Response =
        when (status) {
            JobStatus.Unknown -> Response.error(404, "no such job")
            is JobStatus.Unfinished -> {
                val (done, running) = status.progress
                status(id, if (running > 0) RUNNING else QUEUED, done, running)
            }
            is JobStatus.Finished ->
                when (status.outcome.outcome) {
                    JobOutcome.DONE -> status(id, DONE, doneTasks = status.outcome.tasks)
                    JobOutcome.CANCELLED -> status(id, CANCELLED)
                }
        }

    private fun status(
        id: JobId,
        status: String,
        doneTasks: Int = 0,
        runningTasks: Int = 0,
    ) = Response(200, mapOf(ID to id.value, STATUS to status, DONE_TASKS to doneTasks, RUNNING_TASKS to runningTasks))

    /** The job was accepted, but is [cancelled] at once if one of its dependencies is. */
    fun accepted(
        id: JobId,
        cancelled: Boolean,
    ) = Response(201, mapOf(ID to id.value, STATUS to if (cancelled) CANCELLED else QUEUED))

    /** The job's record would exceed the size limit of stored values. */
    fun tooLarge() = Response.error(400, "the job's description is too large")

    /** The job can never run. */
    fun infeasible(reason: String) = Response.error(422, reason)
}
