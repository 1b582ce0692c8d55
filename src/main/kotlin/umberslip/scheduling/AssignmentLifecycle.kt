package umberslip.scheduling

import umberslip.core.JobId
import umberslip.core.MachineName
import kotlin.time.Duration

/**
 * Puts assignments on machines and takes them off, and updates everything that counts them: the job, the machine, the
 * team's quota, both queues and the write-ahead log. The collections belong to [SchedulerState].
 */
internal class AssignmentLifecycle(
    private val jobs: Map<JobId, RunningJob>,
    private val machines: Map<MachineName, Machine>,
    private val teams: Map<String, Dispatcher>,
    private val cachedImages: MutableSet<String>,
    private val starvationGuard: StarvationGuard,
    private val writeAheadLog: WriteAheadLog,
) {
    /** Puts the task on the machine; it counts against the machine and the team from now on. */
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

    /** Takes the task off its machine without writing anything; it waits again unless it is done. */
    fun detach(assignment: Assignment) {
        machines[assignment.machineName]?.remove(assignment)
        assignment.job.unassign(assignment)
        teams[assignment.job.spec.team]?.quota?.deallocate(assignment.resources)
        refresh(assignment.job)
    }

    /** Gives the task its attempt number and queues its start for writing; only then may the worker get it. */
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
     * The task is certainly not on its machine any more: it completed if [isDone], else it waits to be placed again.
     * Returns the exit, which is to be recorded before the worker may clear the task.
     */
    fun release(
        assignment: Assignment,
        now: Duration,
        isDone: Boolean = false,
    ): TaskExit {
        // Before the task is detached, since detaching puts what is not done back among the waiting.
        if (isDone) assignment.job.setDone(assignment.index)
        detach(assignment)
        return writeAheadLog.ended(assignment, isDone, now)
    }

    /** Gives up the resources that an incomplete gang holds. */
    fun withdrawReserved(job: RunningJob) {
        job.assigned.values
            .filter { it.reserved }
            .forEach(::detach)
        job.assemblingSince = null
    }

    /** Withdraws the job's tasks whose start is not stored, so no worker has got it. */
    fun withdrawUnrecorded(job: RunningJob) {
        withdrawReserved(job)
        job.assigned.values.filter { !it.recorded }.forEach {
            writeAheadLog.withdrawn(it)
            detach(it)
        }
    }

    /** Brings the queues and the write-ahead log up to date after the job's tasks or its state changed. */
    fun refresh(job: RunningJob) {
        if (jobs[job.spec.id] !== job) return
        teams[job.spec.team]?.refresh(job)
        starvationGuard.refresh(job)
        writeAheadLog.jobChanged(job)
    }
}
