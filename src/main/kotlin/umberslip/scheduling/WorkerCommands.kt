package umberslip.scheduling

import umberslip.agents.ReportedTask
import umberslip.agents.TaskState
import umberslip.agents.WorkerCommand
import umberslip.core.JobId
import umberslip.core.TaskId
import kotlin.time.Duration
import kotlin.time.DurationUnit

/** Derives the orders for a worker from the records and from the worker's newest heartbeat. Pure. */
class WorkerCommands(
    private val jobs: Map<JobId, RunningJob>,
) {
    /** The same orders are given until a heartbeat shows that they were carried out. */
    fun of(
        machine: Machine,
        mayStart: Boolean,
    ): List<WorkerCommand> {
        if (!machine.isReconciled || machine.isTerminating) return emptyList()
        val commands = ArrayList<WorkerCommand>()
        // The worker refuses a task whose former attempt it still lists.
        val uncleared = HashSet<TaskId>()
        for (reported in machine.reported.values) {
            val assignment = machine.assignments[reported.task]
            if (assignment != null && assignment.attempt == reported.attempt) {
                stopOf(assignment)?.let { commands += it }
            } else if (reported.status != TaskState.EXITED) {
                uncleared += reported.task
                commands += WorkerCommand.Stop(reported.task, reported.attempt, 0.0)
            } else if (isSuperseded(reported) || isEndRecorded(machine, reported)) {
                commands += WorkerCommand.Clear(reported.task, reported.attempt)
            } else {
                uncleared += reported.task
            }
        }
        if (mayStart) addStarts(machine, uncleared, commands)
        return commands
    }

    private fun stopOf(assignment: Assignment): WorkerCommand.Stop? {
        val gracePeriod = if (assignment.job.cancelled) Duration.ZERO else assignment.gracePeriod ?: return null
        return WorkerCommand.Stop(assignment.id, assignment.attempt, gracePeriod.toDouble(DurationUnit.SECONDS))
    }

    /** A later start of the task is recorded, which settles what became of this one. */
    private fun isSuperseded(reported: ReportedTask): Boolean {
        val assignment = jobs[reported.task.job]?.assigned?.get(reported.task.index) ?: return false
        return assignment.recorded && assignment.attempt > reported.attempt
    }

    private fun isEndRecorded(
        machine: Machine,
        reported: ReportedTask,
    ): Boolean {
        val ending = machine.awaitingClear[reported.task] ?: return true
        return ending.attempt != reported.attempt || ending.isRecorded
    }

    private fun addStarts(
        machine: Machine,
        uncleared: Set<TaskId>,
        commands: MutableList<WorkerCommand>,
    ) {
        for (assignment in machine.assignments.values) {
            if (commands.size >= MAX_COMMANDS) return
            if (!assignment.recorded || assignment.job.cancelled || assignment.gracePeriod != null) continue
            if (assignment.seen || assignment.id in uncleared) continue
            commands += WorkerCommand.Start(assignment.id, assignment.attempt)
        }
    }

    private companion object {
        /** Keeps an answer within the size that the protocol allows. */
        const val MAX_COMMANDS = 300
    }
}
