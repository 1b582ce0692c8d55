package umberslip.scheduling

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Moves tasks off machines that are to be terminated, so that the machines become empty sooner. A task is moved if it
 * saves a checkpoint when stopped, has enough run time left, and fits on another machine now. Pure: time is an input.
 */
internal class Migration(
    private val scheduler: SchedulerState,
) {
    /** Requests stops for the tasks on [machines] that are worth moving, as long as they fit on other machines. */
    fun migrate(
        machines: List<Machine>,
        now: Duration,
    ) {
        val candidates = machines.flatMap { machine -> machine.assignments.values.filter { isWorthMoving(it, now) } }
        if (candidates.isEmpty()) return
        // Tasks that are already being stopped are expected to take free places first.
        var stoppingCount = scheduler.machines.values.sumOf { machine -> stoppingTasks(machine) }
        val placesByJob = HashMap<RunningJob, Int>()
        for (assignment in candidates) {
            val places = placesByJob.getOrPut(assignment.job) { placesFor(assignment.job) }
            if (places <= stoppingCount) continue
            assignment.requestStop(assignment.job.spec.checkpointSaveSeconds.seconds)
            stoppingCount++
        }
    }

    private fun isWorthMoving(
        assignment: Assignment,
        now: Duration,
    ): Boolean {
        val remaining = assignment.remainingRunTime(now) ?: return false
        if (!assignment.mayMigrate(now, MIN_RUNTIME_BEFORE_MIGRATION)) return false
        return remaining >= assignment.job.spec.checkpointSaveSeconds.seconds * 2 + MIN_REMAINING_RUNTIME
    }

    private fun stoppingTasks(machine: Machine): Int = machine.assignments.values.count { it.gracePeriod != null }

    /** Returns how many tasks of the job fit on usable machines now. */
    private fun placesFor(job: RunningJob): Int =
        scheduler.machines.values.sumOf { machine ->
            if (machine.isUsable && job.mayRunOn(machine)) {
                machine.freeResources()?.countOf(job.resources) ?: 0
            } else {
                0
            }
        }

    private companion object {
        /** Users count a start only if no command stops the task within 30 s; 2 s more cover message delays. */
        val MIN_RUNTIME_BEFORE_MIGRATION = 32.seconds

        /**
         * The run time that must be left beyond the time to save and restore a checkpoint. A task with less left ends
         * about as soon where it runs.
         */
        val MIN_REMAINING_RUNTIME = 10.seconds
    }
}
