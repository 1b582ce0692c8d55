package umberslip.recovery

import umberslip.agents.Machine
import umberslip.agents.ReportedTask
import umberslip.agents.TaskState
import umberslip.dispatch.Assignment
import umberslip.dispatch.RunningJob
import umberslip.records.JobId
import umberslip.records.TaskId

/** What the owner does about a task, once it knows how the records and the machine's report compare. */
enum class Decision {
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
 * How a new owner finds a task, by the records that it took over and by the first report that proves what is on the
 * task's machine. Each finding has one decision. It is taken with the answer to that report; until such a report comes,
 * the task counts as running (see [RecoveryTracker.unheardMachines]).
 */
enum class TaskFinding(
    val decision: Decision,
) {
    /** Recorded, and the machine has it under the recorded attempt. */
    ADOPTED(Decision.KEEP),

    /** Recorded, and the machine reports that it ended; the records do not say so yet. */
    END_UNRECORDED(Decision.RECORD_END),

    /** Recorded, and still on the machine though its job was cancelled. */
    CANCELLED(Decision.STOP),

    /** Recorded, and not on the machine: the order to start it was lost, or a lease that ran out killed it. */
    NOT_REPORTED(Decision.TELL_START_AGAIN),

    /** As [NOT_REPORTED], of a job that was cancelled. */
    NOT_REPORTED_CANCELLED(Decision.WITHDRAW),

    /** On the machine though the records say that it is done. */
    DONE_RUNNING(Decision.STOP),
    DONE_ENDED(Decision.CLEAR),

    /** On the machine under an attempt that is not recorded there: another one is, or none. */
    OTHER_ATTEMPT_RUNNING(Decision.STOP),
    OTHER_ATTEMPT_ENDED(Decision.CLEAR),

    /** Of a job without a record: it has ended and its end is kept elsewhere, or it was never accepted. */
    JOB_UNKNOWN_RUNNING(Decision.STOP),
    JOB_UNKNOWN_ENDED(Decision.CLEAR),
    ;

    companion object {
        /** One finding for each task that is recorded on [machine], or reported by it. Changes nothing. */
        fun of(
            machine: Machine,
            reported: List<ReportedTask>,
            jobs: Map<JobId, RunningJob>,
        ): Map<TaskId, TaskFinding> {
            val findings = LinkedHashMap<TaskId, TaskFinding>()
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
        ): TaskFinding {
            val ended = reported.status == TaskState.ENDED
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
        ): TaskFinding =
            when {
                ended -> END_UNRECORDED
                recorded.job.cancelled -> CANCELLED
                else -> ADOPTED
            }
    }
}
