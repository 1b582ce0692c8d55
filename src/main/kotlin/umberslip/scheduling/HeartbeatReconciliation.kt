package umberslip.scheduling

import org.slf4j.LoggerFactory
import umberslip.agents.ExitCause
import umberslip.agents.Heartbeat
import umberslip.agents.ReportedTask
import umberslip.agents.TaskState
import umberslip.core.TaskId
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Compares the tasks that a current heartbeat lists with those assigned to its machine, and updates the assignments to
 * what the worker reports: tasks that run, tasks that exited, and tasks that are not on the machine.
 */
internal class HeartbeatReconciliation(
    private val assignments: AssignmentLifecycle,
    private val failures: FailureTracker,
) {
    private val log = LoggerFactory.getLogger("umberslip.scheduling")

    /**
     * Reconciles the machine's assignments with [heartbeat]. If [isNewEpoch], the agent has restarted since its last
     * heartbeat, so tasks that ran before are no longer on the machine.
     */
    fun reconcile(
        machine: Machine,
        heartbeat: Heartbeat,
        isNewEpoch: Boolean,
        now: Duration,
    ) {
        for (assignment in machine.assignments.values) assignment.isReported = false
        val reported = HashMap<TaskId, ReportedTask>(heartbeat.tasks.size * 2)
        for (task in heartbeat.tasks) {
            reported[task.task] = task
            applyReported(machine, task, now)
        }
        machine.reported = reported
        removeClearedExits(machine)
        for (assignment in unreportedAssignments(machine)) applyUnreported(machine, assignment, isNewEpoch, now)
        if (isNewEpoch) {
            log.info(
                "agent restarted: machine={} epoch={}",
                machine.name.value,
                heartbeat.heartbeatVersion.epoch,
            )
        }
    }

    private fun applyReported(
        machine: Machine,
        task: ReportedTask,
        now: Duration,
    ) {
        val assignment = machine.assignments[task.task]
        if (assignment == null || assignment.attempt != task.attempt || assignment.reserved) return
        assignment.isReported = true
        assignment.status = task.status
        if (task.status == TaskState.RUNNING && assignment.runningSince == null) {
            assignment.runningSince = now
            machine.imageFetched(assignment.job.spec.image)
        }
        if (task.status == TaskState.EXITED) applyExit(machine, assignment, task.cause ?: ExitCause.ERROR, now)
    }

    private fun applyExit(
        machine: Machine,
        assignment: Assignment,
        cause: ExitCause,
        now: Duration,
    ) {
        val job = assignment.job
        val ranFor = assignment.runningSince?.let { now - it }
        machine.exitsAwaitingClear[assignment.id] =
            assignments.release(assignment, now, isDone = cause == ExitCause.DONE)
        when (cause) {
            ExitCause.DONE -> {
                failures.succeeded(machine, job)
                ranFor?.let(job::runTimeObserved)
            }
            ExitCause.ERROR -> failures.failed(machine, job, ranFor ?: Duration.ZERO, now)
            ExitCause.MACHINE_FULL, ExitCause.ALREADY_PRESENT -> machine.noPlacementUntil = now + REFUSED_RETRY_DELAY
            ExitCause.UNKNOWN -> job.retryAfter = now + REFUSED_RETRY_DELAY
            ExitCause.STOPPED, ExitCause.GANG_MEMBER_LOST, ExitCause.GANG_INCOMPLETE -> Unit
        }
    }

    /** Removes exits of tasks that the worker no longer lists, since it has cleared them. */
    private fun removeClearedExits(machine: Machine) {
        if (machine.exitsAwaitingClear.isEmpty()) return
        machine.exitsAwaitingClear.entries.removeIf { (task, exit) -> machine.reported[task]?.attempt != exit.attempt }
    }

    /** Returns the recorded tasks that the heartbeat does not list. Allocates no list if there are none, as usual. */
    private fun unreportedAssignments(machine: Machine): List<Assignment> {
        var unreported: ArrayList<Assignment>? = null
        for (assignment in machine.assignments.values) {
            if (!assignment.recorded || assignment.reserved || assignment.isReported) continue
            unreported = (unreported ?: ArrayList()).also { it += assignment }
        }
        return unreported.orEmpty()
    }

    /**
     * Handles a task that is not on the machine. No earlier response can start it any more, since the worker has sent a
     * newer heartbeat. The task stays assigned, so its start is sent again, unless the agent restarted or the task
     * should not run here any more; then it is released.
     */
    private fun applyUnreported(
        machine: Machine,
        assignment: Assignment,
        isNewEpoch: Boolean,
        now: Duration,
    ) {
        assignment.status = null
        assignment.runningSince = null
        val mayStay = machine.isUsable || machine.remainingDrainTime(now) > Duration.ZERO
        val shouldStop = assignment.gracePeriod != null || assignment.job.cancelled
        if (isNewEpoch || shouldStop || !mayStay) assignments.release(assignment, now)
    }

    private companion object {
        /** The wait before a retry after a worker refused a task, since its state changes with the next heartbeats. */
        val REFUSED_RETRY_DELAY = 2.seconds
    }
}
