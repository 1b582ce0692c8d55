package umberslip.scheduling

import umberslip.agents.TaskState
import umberslip.cloud.Offer
import umberslip.core.MachineName
import umberslip.core.Resources
import umberslip.core.Shape
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

/** The offers on whose machines tasks may run. Tasks with equal constraints are planned together. */
data class PlacementConstraint(
    val instanceTypes: List<String>?,
    val zone: String?,
    val spot: Boolean,
) {
    /** Whether the tasks may run on machines of [offer]. */
    fun allows(offer: Offer): Boolean =
        (instanceTypes == null || offer.type in instanceTypes) &&
            (zone == null || offer.zone == zone) &&
            (spot || !offer.spot)
}

/**
 * Work that waits to be placed: [tasks] tasks, each of which takes [resources] for [seconds] on average. [slack] is how
 * long the start of the work can be delayed without missing its next objective deadline. [concurrentTasks] tasks must
 * run at the same time, in one zone if [oneZone]. For a gang these are all of its unfinished tasks, including those
 * already placed; for independent tasks the number is 1.
 */
data class PendingWork(
    val where: PlacementConstraint,
    val resources: Resources,
    val tasks: Int,
    val seconds: Double,
    val slack: Duration = Duration.ZERO,
    val concurrentTasks: Int = 1,
    val oneZone: Boolean = false,
)

/** A task on a machine, and how many more seconds it needs its resources. */
class RunningTask(
    val resources: Resources,
    val seconds: Double,
) {
    /** Whether the task keeps its resources until it is stopped. */
    val isEndless: Boolean get() = seconds >= ENDLESS_SECONDS

    companion object {
        /** The run time assumed for daemons, which run until they are stopped. It is long enough for any plan. */
        const val ENDLESS_SECONDS = 1e6
    }
}

/** The state of a machine as the provisioner plans with it. Durations are relative to the time of the snapshot. */
data class MachineSnapshot(
    val name: MachineName,
    val offer: Offer,
    /** Null while the instance type is not known. */
    val capacity: Resources?,
    val isUsable: Boolean,
    val isDraining: Boolean,
    val isQuarantined: Boolean,
    /** The time until the spot interruption; null without an interruption notice. */
    val timeUntilInterruption: Duration?,
    /** The number of assigned tasks, including those that do not run yet. */
    val tasks: Int,
    /** All assigned tasks, including those that do not run yet. */
    val assignedTasks: List<RunningTask>,
    /** The time since the last contact with the leader; null before the first in this term. */
    val sinceContact: Duration?,
    /** The time since the last contact with any controller, or since the records were loaded if there was none. */
    val sinceAnyContact: Duration,
    val leaseExpired: Boolean,
    /** A time on the leader's monotonic clock by which the machine had certainly been provisioned. */
    val provisionedBefore: Duration,
    val runningCpus: Double,
    val fetchingCpus: Double,
)

/** The input of the provisioner's plans: the machines, and the work that waits to be placed. Immutable. */
class ClusterSnapshot(
    val machines: List<MachineSnapshot>,
    val waiting: List<PendingWork>,
    /** Since when the longest-waiting job without a started task has been runnable; null if there is no such job. */
    val oldestUnstartedSince: Duration? = null,
) {
    companion object {
        fun of(
            scheduler: SchedulerState,
            now: Duration,
        ): ClusterSnapshot {
            val machines = scheduler.machines.values.map { machineSnapshot(it, now) }
            val waiting = ArrayList<PendingWork>()
            for (team in scheduler.teams.values) addPendingWork(team, now, waiting)
            return ClusterSnapshot(machines, waiting, oldestUnstartedSince(scheduler))
        }

        private fun oldestUnstartedSince(scheduler: SchedulerState): Duration? =
            scheduler.teams.values
                .flatMap { it.waiting }
                .filter { job -> job.doneCount == 0 && job.assigned.values.none { it.isReported } }
                .minOfOrNull { it.runnableSince }

        private fun addPendingWork(
            team: Dispatcher,
            now: Duration,
            waiting: MutableList<PendingWork>,
        ) {
            // Tasks that the team's quota limit does not allow to start need no machine.
            var quotaCpus = team.quota.maxCpus?.minus(team.quota.usedCpus) ?: Double.MAX_VALUE
            for (job in team.waiting) {
                if (job.retryAfter > now) continue
                val tasks = minOf(job.waiting, tasksWithin(quotaCpus, job), if (job.isQuarantined) 1 else Int.MAX_VALUE)
                if (tasks <= 0) continue
                quotaCpus -= tasks * job.resources.cpus
                waiting += pendingWork(job, tasks, now)
            }
        }

        private fun tasksWithin(
            cpus: Double,
            job: RunningJob,
        ): Int {
            if (job.resources.cpus <= 0) return job.waiting
            return (cpus / job.resources.cpus).coerceAtMost(MAX_TASKS).toInt()
        }

        private fun pendingWork(
            job: RunningJob,
            tasks: Int,
            now: Duration,
        ): PendingWork {
            val isDaemon = job.spec.shape == Shape.DAEMON
            val seconds = if (isDaemon) RunningTask.ENDLESS_SECONDS else job.expectedSeconds
            val runTime = if (isDaemon) RunningTask.ENDLESS_SECONDS.seconds else job.expectedRunTime
            val reachableDeadline = job.objectiveDeadlines.firstOrNull { it > now + runTime }
            val slack = reachableDeadline?.let { it - now - runTime } ?: SLACK_WHEN_ALL_MISSED
            // The tasks that the limit delays run on the same machines afterwards, so their run time is included.
            return PendingWork(
                constraint(job),
                job.resources,
                tasks,
                seconds * job.waiting / tasks,
                slack,
                concurrentTasks(job, tasks),
                job.spec.oneZone,
            )
        }

        /**
         * Returns how many tasks must run at the same time. A gang does not need places for all of its tasks yet while
         * the team's quota limit lets only [placeable] of its waiting tasks start.
         */
        private fun concurrentTasks(
            job: RunningJob,
            placeable: Int,
        ): Int {
            if (job.spec.shape != Shape.GANG || placeable < job.waiting) return 1
            return job.spec.tasks - job.doneCount
        }

        /** A job that must run in one zone and has tasks in a zone cannot use machines in other zones. */
        private fun constraint(job: RunningJob): PlacementConstraint {
            val boundZone = if (job.spec.oneZone) job.zones.keys.singleOrNull { it.isNotEmpty() } else null
            return PlacementConstraint(job.spec.instanceTypes, job.spec.zone ?: boundZone, job.spec.spot)
        }

        private fun machineSnapshot(
            machine: Machine,
            now: Duration,
        ): MachineSnapshot =
            MachineSnapshot(
                name = machine.name,
                offer = Offer(machine.type, machine.zone, machine.spot),
                capacity = machine.capacity,
                isUsable = machine.isUsable,
                isDraining = machine.isDraining,
                isQuarantined = machine.isQuarantined,
                timeUntilInterruption = machine.interruptionAt?.minus(now),
                tasks = machine.assignments.size,
                assignedTasks = machine.assignments.values.map { runningTask(it, now) },
                sinceContact = machine.lastContactAt?.let { now - it },
                sinceAnyContact = machine.timeSinceContact(now),
                leaseExpired = machine.leaseExpiry <= now,
                provisionedBefore = machine.firstContactAt ?: machine.loadedAt,
                runningCpus = cpusInState(machine, TaskState.RUNNING),
                fetchingCpus = cpusInState(machine, TaskState.FETCHING),
            )

        private fun runningTask(
            assignment: Assignment,
            now: Duration,
        ): RunningTask {
            val isDaemon = assignment.job.spec.shape == Shape.DAEMON
            if (isDaemon) return RunningTask(assignment.resources, RunningTask.ENDLESS_SECONDS)
            val ranSeconds = assignment.runningSince?.let { (now - it).toDouble(DurationUnit.SECONDS) } ?: 0.0
            val remaining = (assignment.job.expectedSeconds - ranSeconds).coerceAtLeast(MIN_REMAINING_SECONDS)
            return RunningTask(assignment.resources, remaining)
        }

        private fun cpusInState(
            machine: Machine,
            state: TaskState,
        ): Double = machine.assignments.values.sumOf { if (it.status == state) it.resources.cpus else 0.0 }

        /** More tasks than any job has. */
        private const val MAX_TASKS = 1e6

        /** The slack of work that has missed all its deadlines and can wait for cheap machines. */
        private val SLACK_WHEN_ALL_MISSED = 200.seconds

        /** The least remaining run time assumed for a task, in particular for one that runs longer than expected. */
        private const val MIN_REMAINING_SECONDS = 4.0
    }
}
