package umberslip.scheduling

import umberslip.agents.ReportedTask
import umberslip.agents.TaskState
import umberslip.agents.WorkerCommand
import umberslip.core.JobId
import umberslip.core.TaskId
import kotlin.time.Duration
import kotlin.time.DurationUnit

/** Derives the commands for a worker from the recorded assignments and the worker's newest heartbeat. Pure. */
internal class WorkerCommands(
    private val jobs: Map<JobId, RunningJob>,
) {
    /**
     * Returns the commands that answer the newest heartbeat of [machine]. Starts are included only if [mayStart].
     * Commands are repeated until a heartbeat shows that they were executed.
     */
    fun commandsFor(
        machine: Machine,
        mayStart: Boolean,
    ): List<WorkerCommand> {
        if (!machine.isReconciled || machine.isTerminating) return emptyList()
        val commands = ArrayList<WorkerCommand>()
        // Tasks that are not started yet, since a worker refuses a task of which it still lists a former attempt.
        val blockedStarts = HashSet<TaskId>()
        for (reported in machine.reported.values) {
            val assignment = machine.assignments[reported.task]
            if (assignment != null && assignment.attempt == reported.attempt) {
                stopCommand(assignment)?.let { commands += it }
            } else if (reported.status != TaskState.EXITED) {
                blockedStarts += reported.task
                commands += WorkerCommand.Stop(reported.task, reported.attempt, 0.0)
            } else if (isSuperseded(reported) || isExitRecorded(machine, reported)) {
                commands += WorkerCommand.Clear(reported.task, reported.attempt)
            } else {
                blockedStarts += reported.task
            }
        }
        if (mayStart) addStarts(machine, blockedStarts, commands)
        return commands
    }

    private fun stopCommand(assignment: Assignment): WorkerCommand.Stop? {
        val gracePeriod = if (assignment.job.cancelled) Duration.ZERO else assignment.gracePeriod ?: return null
        return WorkerCommand.Stop(assignment.id, assignment.attempt, gracePeriod.toDouble(DurationUnit.SECONDS))
    }

    /** Whether a later start of the task is recorded, so that the exit of this attempt need not be recorded. */
    private fun isSuperseded(reported: ReportedTask): Boolean {
        val assignment = jobs[reported.task.job]?.assigned?.get(reported.task.index) ?: return false
        return assignment.recorded && assignment.attempt > reported.attempt
    }

    private fun isExitRecorded(
        machine: Machine,
        reported: ReportedTask,
    ): Boolean {
        val exit = machine.exitsAwaitingClear[reported.task] ?: return true
        return exit.attempt != reported.attempt || exit.isRecorded
    }

    private fun addStarts(
        machine: Machine,
        blockedStarts: Set<TaskId>,
        commands: MutableList<WorkerCommand>,
    ) {
        for (assignment in machine.assignments.values) {
            if (commands.size >= MAX_COMMANDS) return
            if (!assignment.recorded || assignment.job.cancelled || assignment.gracePeriod != null) continue
            if (assignment.isReported || assignment.id in blockedStarts) continue
            commands += WorkerCommand.Start(assignment.id, assignment.attempt)
        }
    }

    private companion object {
        /** Keeps a response within the protocol's size limit. */
        const val MAX_COMMANDS = 300
    }
}
