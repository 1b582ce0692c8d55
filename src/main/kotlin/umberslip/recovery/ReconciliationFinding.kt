package umberslip.recovery

import umberslip.agents.ReportedTask
import umberslip.agents.TaskState
import umberslip.core.JobId
import umberslip.core.TaskId
import umberslip.scheduling.Assignment
import umberslip.scheduling.Machine
import umberslip.scheduling.RunningJob

/** The leader's action on a task, chosen by comparing the records with the machine's heartbeat. */
enum class ReconciliationDecision {
    /** The task continues to run; no command is needed. */
    CONTINUE,

    /** The task's exit is recorded first. Only then is the task cleared from the machine. */
    RECORD_EXIT,

    /** The start is recorded, but the task is not on the machine: the command is repeated under the same attempt. */
    REPEAT_START,

    /** The task is certainly not on the machine and should not run: its recorded start is withdrawn. */
    WITHDRAW,

    STOP,
    CLEAR,
}

/**
 * The state in which a new leader finds a task. It follows from the loaded records and from the first heartbeat that
 * shows what is on the task's machine. Each finding has one decision, which is taken with the response to that
 * heartbeat. Until then, the task counts as running (see [RecoveryTracker.unreconciledMachines]).
 *
 * [jsonName] is published in JSON and as a metric tag, so it must not change when a constant is renamed.
 */
enum class ReconciliationFinding(
    val decision: ReconciliationDecision,
    val jsonName: String,
) {
    /** The task is recorded, and the machine has it under the recorded attempt. */
    ADOPTED(ReconciliationDecision.CONTINUE, "adopted"),

    /** The task is recorded, and the machine reports its exit, which is not recorded yet. */
    EXIT_UNRECORDED(ReconciliationDecision.RECORD_EXIT, "end_unrecorded"),

    /** The task is recorded and still on the machine although its job was cancelled. */
    CANCELLED(ReconciliationDecision.STOP, "cancelled"),

    /** The task is recorded but not on the machine: its start command was lost, or a lease expiry stopped the task. */
    NOT_REPORTED(ReconciliationDecision.REPEAT_START, "not_reported"),

    /** Like [NOT_REPORTED], but the task's job was cancelled. */
    NOT_REPORTED_CANCELLED(ReconciliationDecision.WITHDRAW, "not_reported_cancelled"),

    /** The task is on the machine although the records say that it is done. */
    DONE_RUNNING(ReconciliationDecision.STOP, "done_running"),
    DONE_EXITED(ReconciliationDecision.CLEAR, "done_ended"),

    /** The task is on the machine under an attempt that is not recorded there: another attempt is recorded, or none. */
    OTHER_ATTEMPT_RUNNING(ReconciliationDecision.STOP, "other_attempt_running"),
    OTHER_ATTEMPT_EXITED(ReconciliationDecision.CLEAR, "other_attempt_ended"),

    /**
     * The task is on the machine, but its job has no record: the job has finished and its outcome is stored elsewhere,
     * or the job was never accepted.
     */
    JOB_UNKNOWN_RUNNING(ReconciliationDecision.STOP, "job_unknown_running"),
    JOB_UNKNOWN_EXITED(ReconciliationDecision.CLEAR, "job_unknown_ended"),
    ;

    companion object {
        /** Returns a finding for each task that is recorded on [machine] or reported by it. Changes no state. */
        fun classify(
            machine: Machine,
            reported: List<ReportedTask>,
            jobs: Map<JobId, RunningJob>,
        ): Map<TaskId, ReconciliationFinding> {
            val findings = LinkedHashMap<TaskId, ReconciliationFinding>()
            for (task in reported) {
                findings[task.task] = classifyReported(task, findRecorded(machine, task.task), jobs[task.task.job])
            }
            for ((task, assignment) in machine.assignments) {
                if (assignment.reserved || task in findings) continue
                findings[task] = if (assignment.job.cancelled) NOT_REPORTED_CANCELLED else NOT_REPORTED
            }
            return findings
        }

        private fun findRecorded(
            machine: Machine,
            task: TaskId,
        ): Assignment? = machine.assignments[task]?.takeIf { !it.reserved }

        private fun classifyReported(
            reported: ReportedTask,
            recorded: Assignment?,
            job: RunningJob?,
        ): ReconciliationFinding {
            val hasExited = reported.status == TaskState.EXITED
            return when {
                recorded != null && recorded.attempt == reported.attempt -> classifyRecorded(recorded, hasExited)
                job == null -> if (hasExited) JOB_UNKNOWN_EXITED else JOB_UNKNOWN_RUNNING
                job.isDone(reported.task.index) -> if (hasExited) DONE_EXITED else DONE_RUNNING
                else -> if (hasExited) OTHER_ATTEMPT_EXITED else OTHER_ATTEMPT_RUNNING
            }
        }

        private fun classifyRecorded(
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
