package umberslip.recovery

import umberslip.agents.ReportedTask
import umberslip.agents.TaskState
import umberslip.core.JobId
import umberslip.core.TaskId
import umberslip.scheduling.Assignment
import umberslip.scheduling.Machine
import umberslip.scheduling.RunningJob

/** What the leader does about a task, once it knows how the records and the machine's heartbeat compare. */
enum class ReconciliationDecision {
    /** It goes on running; no command is needed. */
    CONTINUE,

    /** Its exit is written, and only then is it cleared from the machine. */
    RECORD_EXIT,

    /** The start was recorded and did not arrive: the command is repeated under the same attempt number. */
    REPEAT_START,

    /** It is certainly not on the machine and should not be: the recorded start is withdrawn. */
    WITHDRAW,

    STOP,
    CLEAR,
}

/**
 * How a new leader finds a task, by the records that it loaded and by the first heartbeat that shows what is on the
 * task's machine. Each finding has one decision. It is taken with the response to that heartbeat; before, the task
 * counts as running (see [RecoveryTracker.unreconciledMachines]).
 *
 * [jsonName] is published in JSON and as a metric's tag, and stays when a constant is renamed.
 */
enum class ReconciliationFinding(
    val decision: ReconciliationDecision,
    val jsonName: String,
) {
    /** Recorded, and the machine has it under the recorded attempt. */
    ADOPTED(ReconciliationDecision.CONTINUE, "adopted"),

    /** Recorded, and the machine reports that it exited; the records do not say so yet. */
    EXIT_UNRECORDED(ReconciliationDecision.RECORD_EXIT, "end_unrecorded"),

    /** Recorded, and still on the machine though its job was cancelled. */
    CANCELLED(ReconciliationDecision.STOP, "cancelled"),

    /** Recorded, and not on the machine: the command to start it was lost, or a lease expiry stopped it. */
    NOT_REPORTED(ReconciliationDecision.REPEAT_START, "not_reported"),

    /** As [NOT_REPORTED], of a job that was cancelled. */
    NOT_REPORTED_CANCELLED(ReconciliationDecision.WITHDRAW, "not_reported_cancelled"),

    /** On the machine though the records say that it is done. */
    DONE_RUNNING(ReconciliationDecision.STOP, "done_running"),
    DONE_EXITED(ReconciliationDecision.CLEAR, "done_ended"),

    /** On the machine under an attempt that is not recorded there: another one is, or none. */
    OTHER_ATTEMPT_RUNNING(ReconciliationDecision.STOP, "other_attempt_running"),
    OTHER_ATTEMPT_EXITED(ReconciliationDecision.CLEAR, "other_attempt_ended"),

    /** Of a job without a record: it has finished and its outcome is stored elsewhere, or it was never accepted. */
    JOB_UNKNOWN_RUNNING(ReconciliationDecision.STOP, "job_unknown_running"),
    JOB_UNKNOWN_EXITED(ReconciliationDecision.CLEAR, "job_unknown_ended"),
    ;

    companion object {
        /** One finding for each task that is recorded on [machine], or reported by it. Changes nothing. */
        fun of(
            machine: Machine,
            reported: List<ReportedTask>,
            jobs: Map<JobId, RunningJob>,
        ): Map<TaskId, ReconciliationFinding> {
            val findings = LinkedHashMap<TaskId, ReconciliationFinding>()
            for (task in reported) {
                findings[task.task] = ofReported(task, recordedOn(machine, task.task), jobs[task.task.job])
            }
            for ((task, assignment) in machine.assignments) {
                if (assignment.reserved || task in findings) continue
                findings[task] = if (assignment.job.cancelled) NOT_REPORTED_CANCELLED else NOT_REPORTED
            }
            return findings
        }

        private fun recordedOn(
            machine: Machine,
            task: TaskId,
        ): Assignment? = machine.assignments[task]?.takeIf { !it.reserved }

        private fun ofReported(
            reported: ReportedTask,
            recorded: Assignment?,
            job: RunningJob?,
        ): ReconciliationFinding {
            val hasExited = reported.status == TaskState.EXITED
            return when {
                recorded != null && recorded.attempt == reported.attempt -> ofRecorded(recorded, hasExited)
                job == null -> if (hasExited) JOB_UNKNOWN_EXITED else JOB_UNKNOWN_RUNNING
                job.isDone(reported.task.index) -> if (hasExited) DONE_EXITED else DONE_RUNNING
                else -> if (hasExited) OTHER_ATTEMPT_EXITED else OTHER_ATTEMPT_RUNNING
            }
        }

        private fun ofRecorded(
            recorded: Assignment,
            hasExited: Boolean,
        ): ReconciliationFinding =
            when {
                hasExited -> EXIT_UNRECORDED
                recorded.job.cancelled -> CANCELLED
                else -> ADOPTED
            }
    }
}
