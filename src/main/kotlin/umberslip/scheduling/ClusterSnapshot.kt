package umberslip.scheduling

import umberslip.agents.TaskState
import umberslip.cloud.Offer
import umberslip.core.MachineName
import umberslip.core.Resources
import umberslip.core.Shape
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

/** Where tasks may run; tasks with the same answer are planned for together. */
data class PlacementConstraint(
    val instanceTypes: List<String>?,
    val zone: String?,
    val spot: Boolean,
) {
    fun allows(offer: Offer): Boolean =
        (instanceTypes == null || offer.type in instanceTypes) &&
            (zone == null || offer.zone == zone) &&
            (spot || !offer.spot)
}

/**
 * Work that is to be placed: tasks alike in room and in the time they need. [slack] is how long it can
 * wait for its start and still be done when it should.
 */
data class PendingWork(
    val where: PlacementConstraint,
    val resources: Resources,
    val tasks: Int,
    val seconds: Double,
    val slack: Duration = Duration.ZERO,
)

/** A task on a machine, and for how long it still needs its room. */
class RunningTask(
    val resources: Resources,
    val seconds: Double,
)

data class MachineSnapshot(
    val name: MachineName,
    val offer: Offer,
    val capacity: Resources?,
    val usable: Boolean,
    val isDraining: Boolean,
    val isQuarantined: Boolean,
    val interruptedIn: Duration?,
    val tasks: Int,
    val running: List<RunningTask>,
    val sinceContact: Duration?,
    /** As [sinceContact], with what other controllers heard. */
    val sinceAnyContact: Duration,
    val leaseExpired: Boolean,
    /** A time by which it was rented for certain. */
    val provisionedBefore: Duration,
    val runningCpus: Double,
    val fetchingCpus: Double,
)

/** What the fleet is planned from. */
class ClusterSnapshot(
    val machines: List<MachineSnapshot>,
    val waiting: List<PendingWork>,
) {
    companion object {
        /** More tasks than any job has. */
        private const val MANY = 1e6

        fun of(
            scheduler: SchedulerState,
            now: Duration,
        ): ClusterSnapshot {
            val machines = scheduler.machines.values.map { view(it, now) }
            val waiting = ArrayList<PendingWork>()
            for (team in scheduler.teams.values) {
                // What a team's limit does not let start needs no machine.
                var cpus = team.team.cpusMax?.minus(team.usedCpus) ?: Double.MAX_VALUE
                for (job in team.waiting) {
                    if (job.retryAfter > now) continue
                    val byLimit =
                        if (job.resources.cpus > 0) {
                            (cpus / job.resources.cpus).coerceAtMost(MANY).toInt()
                        } else {
                            job.waiting
                        }
                    val tasks = minOf(job.waiting, byLimit, if (job.isQuarantined) 1 else Int.MAX_VALUE)
                    if (tasks <= 0) continue
                    cpus -= tasks * job.resources.cpus
                    val daemon = job.spec.shape == Shape.DAEMON
                    val seconds = if (daemon) LONG else job.expected
                    val time = if (daemon) LONG.seconds else job.expectedRunTime
                    val slack = job.objectiveDeadlines.firstOrNull { it > now + time }?.let { it - now - time } ?: PATIENT
                    // What the limit holds back follows in the same places, one after the other.
                    waiting += PendingWork(where(job), job.resources, tasks, seconds * job.waiting / tasks, slack)
                }
            }
            return ClusterSnapshot(machines, waiting)
        }

        /** A job of one zone that has tasks there has no use for machines elsewhere. */
        private fun where(job: RunningJob): PlacementConstraint {
            val bound = if (job.spec.oneZone) job.zones.keys.singleOrNull { it.isNotEmpty() } else null
            return PlacementConstraint(job.spec.instanceTypes, job.spec.zone ?: bound, job.spec.spot)
        }

        private fun view(
            m: Machine,
            now: Duration,
        ): MachineSnapshot =
            MachineSnapshot(
                m.name,
                Offer(m.type, m.zone, m.spot),
                m.capacity,
                m.usable,
                m.isDraining,
                m.isQuarantined,
                m.interruptionAt?.minus(now),
                m.assignments.size,
                m.assignments.values.map { a ->
                    val ran = a.runningSince?.let { (now - it).toDouble(DurationUnit.SECONDS) } ?: 0.0
                    val left =
                        if (a.job.spec.shape == Shape.DAEMON) {
                            LONG
                        } else {
                            (a.job.expected - ran).coerceAtLeast(SOON)
                        }
                    RunningTask(a.resources, left)
                },
                m.lastContact?.let { now - it },
                m.timeSinceContact(now),
                m.leaseExpiry <= now,
                m.firstContact ?: m.loadedAt,
                m.assignments.values.sumOf { if (it.status == TaskState.RUNNING) it.resources.cpus else 0.0 },
                m.assignments.values.sumOf { if (it.status == TaskState.FETCHING) it.resources.cpus else 0.0 },
            )

        private const val LONG = 1e6

        /** What has missed every target it had can wait for cheap machines. */
        private val PATIENT = 200.seconds
        private const val SOON = 4.0
    }
}
