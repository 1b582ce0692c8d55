package umberslip.scheduling

import umberslip.agents.TaskState
import umberslip.core.Resources
import umberslip.core.Shape
import kotlin.time.Duration

/** The free capacity of a machine at one step of a dispatch round; each placement makes it out of date. */
class FreeCapacity(
    val machine: Machine,
    val resources: Resources,
    /** How long the machine stays available; infinite unless it is draining. */
    val availableFor: Duration,
    val now: Duration,
) {
    /** Returns the capacity that is left after a task was placed; null if the machine's resources are not known. */
    fun afterPlacement(): FreeCapacity? = machine.freeResources()?.let { FreeCapacity(machine, it, availableFor, now) }
}

/** Fills a machine's free resources with tasks. Teams take turns, and starving jobs get a share of the placements. */
internal class DispatchRounds(
    private val teams: Map<String, Dispatcher>,
    private val starvationGuard: StarvationGuard,
    private val assignments: AssignmentLifecycle,
    private val gangAssembly: GangAssembly,
) {
    /** Places tasks on [machine]. Returns false if [isOutOfTime] ended the round while more tasks might be placed. */
    fun run(
        machine: Machine,
        now: Duration,
        isOutOfTime: () -> Boolean,
    ): Boolean {
        var free = freeCapacity(machine, now) ?: return true
        val candidates = LinkedHashMap<Dispatcher, RunningJob>()
        for (team in teams.values) team.nextJob(free)?.let { candidates[team] = it }
        while (candidates.isNotEmpty()) {
            val starving = starvingJob(free)
            val job = starving ?: candidates.getValue(WeightedRoundRobin.next(candidates) ?: return true)
            val index = job.nextTask()
            if (index != null) {
                place(job, index, machine, now)
                starvationGuard.recordDispatch(job, outOfTurn = job === starving, now)
                free = free.afterPlacement() ?: return true
            }
            if (isOutOfTime()) return false
            updateCandidates(candidates, job, free)
        }
        return true
    }

    /** Returns the free capacity of the machine; null if nothing may be placed there now, whichever jobs wait. */
    private fun freeCapacity(
        machine: Machine,
        now: Duration,
    ): FreeCapacity? {
        if (!machine.acceptsWork || machine.noPlacementUntil > now) return null
        val availableFor = if (machine.isUsable) Duration.INFINITE else machine.remainingDrainTime(now)
        val resources = machine.freeResources() ?: return null
        if (resources.isExhausted || hasUnknownTasks(machine)) return null
        return FreeCapacity(machine, resources, availableFor, now)
    }

    /** Whether the machine reports a live attempt that is not assigned to it; its free resources are unknown then. */
    private fun hasUnknownTasks(machine: Machine): Boolean =
        machine.reported.values.any {
            it.status != TaskState.EXITED && machine.assignments[it.task]?.attempt != it.attempt
        }

    private fun starvingJob(free: FreeCapacity): RunningJob? = starvationGuard.nextJob(free.now) { mayPlace(it, free) }

    private fun mayPlace(
        job: RunningJob,
        free: FreeCapacity,
    ): Boolean = teams[job.spec.team]?.mayPlace(job, free) == true

    /**
     * Selects new candidates after a task of [placedJob] was placed: for the team of that job, since its first choice
     * may have changed, and for teams whose candidate no longer fits.
     */
    private fun updateCandidates(
        candidates: MutableMap<Dispatcher, RunningJob>,
        placedJob: RunningJob,
        free: FreeCapacity,
    ) {
        for (dispatcher in candidates.keys.toList()) {
            val stillFits = free.resources.covers(candidates.getValue(dispatcher).resources)
            if (dispatcher.team.name != placedJob.spec.team && stillFits) continue
            val next = dispatcher.nextJob(free)
            if (next == null) candidates.remove(dispatcher) else candidates[dispatcher] = next
        }
    }

    private fun place(
        job: RunningJob,
        index: Int,
        machine: Machine,
        now: Duration,
    ) {
        job.lastPlaced = now
        if (machine.reservedFor === job) machine.endReservation("task placed", now)
        val assignment = Assignment(job, index, attempt = 0, machine.name, machine.zone)
        if (job.spec.shape == Shape.GANG) {
            gangAssembly.reserve(assignment, machine, now)
        } else {
            assignments.attach(assignment, machine)
            assignments.start(assignment, job.highestAttempt() + 1, now)
        }
    }
}
