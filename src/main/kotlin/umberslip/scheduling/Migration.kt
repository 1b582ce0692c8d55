package umberslip.scheduling

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Moves tasks off machines that are to be terminated, so that these are empty sooner: tasks that save a checkpoint when
 * stopped, have enough left to do, and find free resources elsewhere now. Pure: time is an input.
 */
internal class Migration(
    private val scheduler: SchedulerState,
) {
    /** Stops the tasks on [machines] that are worth moving, as long as there are places for them. */
    fun migrate(
        machines: List<Machine>,
        now: Duration,
    ) {
        val candidates = machines.flatMap { machine -> machine.assignments.values.filter { isWorthMoving(it, now) } }
        if (candidates.isEmpty()) return
        // What is being stopped already takes the places first.
        var stopping = scheduler.machines.values.sumOf { machine -> stoppingTasks(machine) }
        val placesByJob = HashMap<RunningJob, Int>()
        for (assignment in candidates) {
            val places = placesByJob.getOrPut(assignment.job) { placesFor(assignment.job) }
            if (places <= stopping) continue
            assignment.requestStop(assignment.job.spec.checkpointSaveSeconds.seconds)
            stopping++
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

    /** How many tasks of the job fit on usable machines now. */
    private fun placesFor(job: RunningJob): Int =
        scheduler.machines.values.sumOf { machine ->
            if (machine.isUsable && job.mayRunOn(machine)) {
                machine.freeResources()?.countOf(job.resources) ?: 0
            } else {
                0
            }
        }

    private companion object {
        /** A start counts for the users only if no command stops the task within 30 s; two more for the way. */
        val MIN_RUNTIME_BEFORE_MIGRATION = 32.seconds

        /** Beyond the time to save and to restore a checkpoint; with less left, it ends here about as soon. */
        val MIN_REMAINING_RUNTIME = 10.seconds
    }
}
