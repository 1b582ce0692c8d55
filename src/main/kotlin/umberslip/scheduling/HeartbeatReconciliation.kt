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
 * Compares the tasks that a current heartbeat lists with those assigned to its machine, and applies what the worker
 * knows better: what runs, what exited, and what is not there.
 */
internal class HeartbeatReconciliation(
    private val assignments: AssignmentLifecycle,
    private val failures: FailureTracker,
) {
    private val log = LoggerFactory.getLogger("umberslip.scheduling")

    /** [isNewEpoch] says that the agent restarted since its last heartbeat, so what ran before is not there now. */
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
        forgetClearedExits(machine)
        for (assignment in absent(machine)) applyAbsence(machine, assignment, isNewEpoch, now)
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
        machine.awaitingClear[assignment.id] = assignments.release(assignment, now, isDone = cause == ExitCause.DONE)
        when (cause) {
            ExitCause.DONE -> {
                failures.succeeded(machine, job)
                ranFor?.let(job::runTimeObserved)
            }
            ExitCause.ERROR -> failures.failed(machine, job, ranFor ?: Duration.ZERO, now)
            ExitCause.MACHINE_FULL, ExitCause.ALREADY_PRESENT -> machine.noPlacementUntil = now + REFUSED_RETRY
            ExitCause.UNKNOWN -> job.retryAfter = now + REFUSED_RETRY
            ExitCause.STOPPED, ExitCause.GANG_MEMBER_LOST, ExitCause.GANG_INCOMPLETE -> Unit
        }
    }

    /** An exit that the worker does not list any more is cleared there. */
    private fun forgetClearedExits(machine: Machine) {
        if (machine.awaitingClear.isEmpty()) return
        machine.awaitingClear.entries.removeIf { (task, exit) -> machine.reported[task]?.attempt != exit.attempt }
    }

    /** Recorded tasks that the heartbeat does not list; nearly always none, so no list is made for none. */
    private fun absent(machine: Machine): List<Assignment> {
        var absent: ArrayList<Assignment>? = null
        for (assignment in machine.assignments.values) {
            if (!assignment.recorded || assignment.reserved || assignment.isReported) continue
            absent = (absent ?: ArrayList()).also { it += assignment }
        }
        return absent.orEmpty()
    }

    /**
     * The task is not on the machine, and a response that would still start it has no effect, since the worker has sent
     * a newer heartbeat. Its start is sent again, unless the task should not be here any more.
     */
    private fun applyAbsence(
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
        /** After a worker refused a task, since its state changes with the next heartbeats. */
        val REFUSED_RETRY = 2.seconds
    }
}
