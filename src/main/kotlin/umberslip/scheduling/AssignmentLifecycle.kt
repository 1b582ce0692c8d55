package umberslip.scheduling

import umberslip.core.JobId
import umberslip.core.MachineName
import kotlin.time.Duration

/**
 * Adds and removes the assignments of tasks to machines, and updates everything that tracks them: the job, the machine,
 * the team's quota, both queues and the write-ahead log. The collections are owned by [SchedulerState].
 */
internal class AssignmentLifecycle(
    private val jobs: Map<JobId, RunningJob>,
    private val machines: Map<MachineName, Machine>,
    private val teams: Map<String, Dispatcher>,
    private val cachedImages: MutableSet<String>,
    private val starvationGuard: StarvationGuard,
    private val writeAheadLog: WriteAheadLog,
) {
    /** Assigns the task to the machine. Its resources count for the machine and for the team's quota from now on. */
    fun attach(
        assignment: Assignment,
        machine: Machine,
    ) {
        val job = assignment.job
        job.assign(assignment)
        machine.add(assignment)
        cachedImages.add(job.spec.image)
        teams[job.spec.team]?.quota?.allocate(assignment.resources)
        refresh(job)
    }

    /** Removes the assignment without queuing any write for it. The task waits to be placed again unless it is done. */
    fun detach(assignment: Assignment) {
        machines[assignment.machineName]?.remove(assignment)
        assignment.job.unassign(assignment)
        teams[assignment.job.spec.team]?.quota?.deallocate(assignment.resources)
        refresh(assignment.job)
    }

    /** Sets the attempt number and queues the start for writing. Only a recorded start may be sent to the worker. */
    fun start(
        assignment: Assignment,
        attempt: Long,
        now: Duration,
    ) {
        assignment.attempt = attempt
        assignment.job.block(assignment.index).lastAttempt = attempt
        writeAheadLog.started(assignment, now)
    }

    /**
     * Ends the assignment of a task that has exited or is certainly not on its machine any more. The task is completed
     * if [isDone]; otherwise it waits to be placed again. Returns the exit, which has to be recorded before the worker
     * may clear the task.
     */
    fun release(
        assignment: Assignment,
        now: Duration,
        isDone: Boolean = false,
    ): TaskExit {
        // Set before the task is detached, since detaching requeues a task that is not done.
        if (isDone) assignment.job.setDone(assignment.index)
        detach(assignment)
        return writeAheadLog.ended(assignment, isDone, now)
    }

    /** Releases the resources that are reserved for an incomplete gang. */
    fun withdrawReserved(job: RunningJob) {
        job.assigned.values
            .filter { it.reserved }
            .forEach(::detach)
        job.assemblingSince = null
    }

    /** Withdraws the job's tasks whose starts are not stored. No worker has received these starts. */
    fun withdrawUnrecorded(job: RunningJob) {
        withdrawReserved(job)
        job.assigned.values.filter { !it.recorded }.forEach {
            writeAheadLog.withdrawn(it)
            detach(it)
        }
    }

    /** Updates the queues and the write-ahead log after a change of the job's tasks or of its state. */
    fun refresh(job: RunningJob) {
        if (jobs[job.spec.id] !== job) return
        teams[job.spec.team]?.refresh(job)
        starvationGuard.refresh(job)
        writeAheadLog.jobChanged(job)
    }
}
