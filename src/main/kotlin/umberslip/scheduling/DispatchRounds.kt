package umberslip.scheduling

import umberslip.agents.TaskState
import umberslip.core.Resources
import umberslip.core.Shape
import kotlin.time.Duration

/** What a machine offers in a dispatch round, until the next task is placed on it. */
class FreeCapacity(
    val machine: Machine,
    val resources: Resources,
    /** How long the machine stays; infinite unless it is drained. */
    val availableFor: Duration,
    val now: Duration,
) {
    /** What is left once a task was placed on the machine. */
    fun afterPlacement(): FreeCapacity? = machine.freeResources()?.let { FreeCapacity(machine, it, availableFor, now) }
}

/** Fills a machine's free resources with tasks: the teams take turns, and starving jobs get their share of them. */
internal class DispatchRounds(
    private val teams: Map<String, Dispatcher>,
    private val starvationGuard: StarvationGuard,
    private val assignments: AssignmentLifecycle,
    private val gangAssembly: GangAssembly,
) {
    /** Places tasks on [machine]; false if [isOutOfTime] ended the round before all was placed that may be. */
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
                starvationGuard.dispatched(job, outOfTurn = job === starving, now)
                free = free.afterPlacement() ?: return true
            }
            if (isOutOfTime()) return false
            refresh(candidates, job, free)
        }
        return true
    }

    /** Null if nothing may be placed on the machine now, whatever waits. */
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

    /** Whether something runs there that the records do not know, so that the free resources are not known either. */
    private fun hasUnknownTasks(machine: Machine): Boolean =
        machine.reported.values.any {
            it.status != TaskState.EXITED && machine.assignments[it.task]?.attempt != it.attempt
        }

    private fun starvingJob(free: FreeCapacity): RunningJob? = starvationGuard.next(free.now) { mayPlace(it, free) }

    private fun mayPlace(
        job: RunningJob,
        free: FreeCapacity,
    ): Boolean = teams[job.spec.team]?.mayPlace(job, free) == true

    /** Only the team of the placed job can have another first choice; those of the others may no longer fit. */
    private fun refresh(
        candidates: MutableMap<Dispatcher, RunningJob>,
        placed: RunningJob,
        free: FreeCapacity,
    ) {
        for (dispatcher in candidates.keys.toList()) {
            val stillFits = free.resources.covers(candidates.getValue(dispatcher).resources)
            if (dispatcher.team.name != placed.spec.team && stillFits) continue
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
