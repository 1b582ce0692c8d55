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
    /** It runs on; nothing is ordered. */
    KEEP,

    /** Its end is written, and only then is it cleared from the machine. */
    RECORD_END,

    /** The start was recorded and did not arrive: it is told again under the same attempt number. */
    TELL_START_AGAIN,

    /** It is certainly not on the machine and should not be: the recorded start is withdrawn. */
    WITHDRAW,

    STOP,
    CLEAR,
}

/**
 * How a new leader finds a task, by the records that it took over and by the first heartbeat that proves what is on the
 * task's machine. Each finding has one decision. It is taken with the answer to that report; until such a heartbeat
 * comes, the task counts as running (see [RecoveryTracker.unheardMachines]).
 */
enum class ReconciliationFinding(
    val decision: ReconciliationDecision,
) {
    /** Recorded, and the machine has it under the recorded attempt. */
    ADOPTED(ReconciliationDecision.KEEP),

    /** Recorded, and the machine heartbeats that it ended; the records do not say so yet. */
    END_UNRECORDED(ReconciliationDecision.RECORD_END),

    /** Recorded, and still on the machine though its job was cancelled. */
    CANCELLED(ReconciliationDecision.STOP),

    /** Recorded, and not on the machine: the order to start it was lost, or a lease that ran out killed it. */
    NOT_REPORTED(ReconciliationDecision.TELL_START_AGAIN),

    /** As [NOT_REPORTED], of a job that was cancelled. */
    NOT_REPORTED_CANCELLED(ReconciliationDecision.WITHDRAW),

    /** On the machine though the records say that it is done. */
    DONE_RUNNING(ReconciliationDecision.STOP),
    DONE_ENDED(ReconciliationDecision.CLEAR),

    /** On the machine under an attempt that is not recorded there: another one is, or none. */
    OTHER_ATTEMPT_RUNNING(ReconciliationDecision.STOP),
    OTHER_ATTEMPT_ENDED(ReconciliationDecision.CLEAR),

    /** Of a job without a record: it has ended and its end is kept elsewhere, or it was never accepted. */
    JOB_UNKNOWN_RUNNING(ReconciliationDecision.STOP),
    JOB_UNKNOWN_ENDED(ReconciliationDecision.CLEAR),
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
            val ended = reported.status == TaskState.EXITED
            return when {
                recorded != null && recorded.attempt == reported.attempt -> ofRecorded(recorded, ended)
                job == null -> if (ended) JOB_UNKNOWN_ENDED else JOB_UNKNOWN_RUNNING
                job.isDone(reported.task.index) -> if (ended) DONE_ENDED else DONE_RUNNING
                else -> if (ended) OTHER_ATTEMPT_ENDED else OTHER_ATTEMPT_RUNNING
            }
        }

        private fun ofRecorded(
            recorded: Assignment,
            ended: Boolean,
        ): ReconciliationFinding =
            when {
                ended -> END_UNRECORDED
                recorded.job.cancelled -> CANCELLED
                else -> ADOPTED
            }
    }
}
