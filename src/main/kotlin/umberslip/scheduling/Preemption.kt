package umberslip.scheduling

import org.slf4j.LoggerFactory
import umberslip.core.Priority
import umberslip.core.Shape
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Stops running tasks to free resources for jobs that wait for them. A job may preempt jobs of lower priority. A job
 * within its team's guarantee may also preempt jobs of teams that use more than theirs. Only tasks that save a
 * checkpoint when stopped are preempted, since others would lose their progress, and only if they have run for
 * [MIN_RUNTIME]. Pure: time is an input.
 */
internal class Preemption(
    private val scheduler: SchedulerState,
) {
    private val log = LoggerFactory.getLogger("umberslip.scheduling")
    private var lastRun: Duration? = null

    /** A job that waits for resources, with the dispatcher of its team. */
    private class Claimant(
        val team: Dispatcher,
        val job: RunningJob,
    ) {
        val isWithinGuarantee = team.quota.isWithinGuarantee(job.resources)
    }

    /** Stops tasks in favour of jobs that lack resources. Does nothing if the last run was less than [INTERVAL] ago. */
    fun run(now: Duration) {
        if (lastRun?.let { now - it < INTERVAL } == true) return
        lastRun = now
        scheduler.teams.values.forEach { it.reorder(now) }
        val claimants = claimants(now)
        if (claimants.isEmpty()) return
        val victims = victims()
        val usable = scheduler.machines.values.filter { it.isUsable }
        // Tasks that are already being stopped free resources for the first claimants.
        var stoppingCpus = victims.sumOf(::stoppingCpus)
        // The remaining claimants are handled in later runs, once the first ones no longer wait.
        for (claimant in claimants.take(MAX_CLAIMANTS)) {
            if (!claimant.team.quota.isWithinLimit(claimant.job.resources)) continue
            if (victims.none { mayPreempt(claimant, it) }) continue
            val missing = missingCpus(claimant, usable)
            val covered = minOf(stoppingCpus, missing.coerceAtLeast(0.0))
            stoppingCpus -= covered
            preemptFor(claimant, victims, missing - covered, now)
        }
    }

    /** Returns the claimants within their team's guarantee first, then by priority, then by deadline. */
    private fun claimants(now: Duration): List<Claimant> =
        scheduler.teams.values
            .flatMap { team -> team.waiting.filter { lacksResources(it, now) }.map { Claimant(team, it) } }
            .sortedWith(compareBy({ !it.isWithinGuarantee }, { it.job.priority }, { it.job.firstDeadline }))

    private fun lacksResources(
        job: RunningJob,
        now: Duration,
    ): Boolean =
        job.spec.shape == Shape.ARRAY &&
            !job.isQuarantined &&
            job.retryAfter <= now &&
            now - job.waitingSince > MIN_WAIT

    /**
     * Returns the array jobs with assigned tasks that save checkpoints, in the order in which they are preempted.
     * Sorting jobs is cheaper than sorting all their tasks.
     */
    private fun victims(): List<RunningJob> =
        scheduler.jobs.values
            .filter(::isPreemptible)
            .sortedWith(compareBy({ -it.priority.ordinal }, { -it.firstDeadline.inWholeMilliseconds }))

    private fun isPreemptible(job: RunningJob): Boolean {
        val savesCheckpoints = job.spec.checkpointIntervalSeconds > 0
        return savesCheckpoints && job.spec.shape == Shape.ARRAY && job.assigned.isNotEmpty()
    }

    private fun stoppingCpus(job: RunningJob): Double {
        val stopping = job.assigned.values.filter { it.gracePeriod != null }
        return stopping.sumOf { it.resources.cpus }
    }

    private fun mayPreempt(
        claimant: Claimant,
        victim: RunningJob,
    ): Boolean {
        if (victim.priority > claimant.job.priority) return true
        val victimTeam = scheduler.teams[victim.spec.team] ?: return false
        if (!claimant.isWithinGuarantee || victimTeam === claimant.team) return false
        return victimTeam.quota.usedCpus > victimTeam.quota.guaranteedCpus
    }

    /** Returns how many processors the claimant could use beyond the free ones, within its team's limit. */
    private fun missingCpus(
        claimant: Claimant,
        usable: List<Machine>,
    ): Double {
        val job = claimant.job
        val quota = claimant.team.quota
        var missing = job.waiting * job.resources.cpus
        quota.maxCpus?.let { missing = minOf(missing, it - quota.usedCpus) }
        if (claimant.isWithinGuarantee && job.priority == Priority.IDLE) {
            missing = minOf(missing, quota.guaranteedCpus - quota.usedCpus)
        }
        return missing - usable.sumOf { freeCpus(it, job) }
    }

    private fun freeCpus(
        machine: Machine,
        job: RunningJob,
    ): Double {
        if (!job.mayRunOn(machine)) return 0.0
        return (machine.freeResources()?.countOf(job.resources) ?: 0) * job.resources.cpus
    }

    private fun preemptFor(
        claimant: Claimant,
        victims: List<RunningJob>,
        cpus: Double,
        now: Duration,
    ) {
        var missing = cpus
        for (victim in victims.asSequence().filter { mayPreempt(claimant, it) }) {
            for (assignment in victim.assigned.values) {
                if (missing <= 0) return
                if (!isWorthStopping(assignment, claimant.job, now)) continue
                assignment.requestStop(victim.spec.checkpointSaveSeconds.seconds)
                missing -= assignment.resources.cpus
                log.debug("task preempted: task={} machine={}", assignment.id, assignment.machineName.value)
            }
        }
    }

    private fun isWorthStopping(
        assignment: Assignment,
        claimant: RunningJob,
        now: Duration,
    ): Boolean {
        val remaining = assignment.remainingRunTime(now) ?: return false
        if (remaining <= MIN_REMAINING_RUNTIME || !assignment.mayMigrate(now, MIN_RUNTIME)) return false
        val machine = scheduler.machines[assignment.machineName] ?: return false
        return machine.isUsable && claimant.mayRunOn(machine)
    }

    private companion object {
        val INTERVAL = 500.milliseconds

        /** How long a job waits for resources before tasks of other jobs are stopped for it. */
        val MIN_WAIT = 1500.milliseconds

        /** Users count a start only if no command stops the task within 30 s. */
        val MIN_RUNTIME = 32.seconds

        /** A task that is expected to end within this time is not worth stopping. */
        val MIN_REMAINING_RUNTIME = 10.seconds

        /** Bounds the work of one run. */
        const val MAX_CLAIMANTS = 12
    }
}
