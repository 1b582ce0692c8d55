package umberslip.scheduling

import org.slf4j.LoggerFactory
import umberslip.core.Priority
import umberslip.core.Shape
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Stops running tasks to make room for work that found none: for a more urgent job, or for a team below its
 * guarantee from a team beyond its own. Only tasks that save a checkpoint when stopped are preempted, since others
 * would lose their work, and none that started a short while ago. Pure: time is an input.
 */
class Preemption(
    private val scheduler: SchedulerState,
) {
    private val log = LoggerFactory.getLogger("umberslip.scheduling")
    private var lastRun: Duration? = null

    /** A job that waits for room, with the dispatcher of its team. */
    private class Claimant(
        val team: Dispatcher,
        val job: RunningJob,
    ) {
        val isGuaranteed = team.withinGuarantee(job.resources)
    }

    /** Runs unless the last run was a short while ago. */
    fun run(now: Duration) {
        if (lastRun?.let { now - it < INTERVAL } == true) return
        lastRun = now
        scheduler.teams.values.forEach { it.reorder(now) }
        val claimants = claimants(now)
        if (claimants.isEmpty()) return
        val victims = victims()
        val usable = scheduler.machines.values.filter { it.usable }
        // What is being stopped already makes room for the first claimants.
        var stoppingCpus = victims.sumOf(::stoppingCpus)
        // The rest have their turn when these are placed.
        for (claimant in claimants.take(MAX_CLAIMANTS)) {
            if (!claimant.team.withinLimit(claimant.job.resources)) continue
            if (victims.none { mayPreempt(claimant, it) }) continue
            val missing = missingCpus(claimant, usable)
            val covered = minOf(stoppingCpus, missing.coerceAtLeast(0.0))
            stoppingCpus -= covered
            makeRoom(claimant, victims, missing - covered, now)
        }
    }

    /** Those below their guarantee first, then by priority, then by deadline. */
    private fun claimants(now: Duration): List<Claimant> =
        scheduler.teams.values
            .flatMap { team -> team.waiting.filter { isStarved(it, now) }.map { Claimant(team, it) } }
            .sortedWith(compareBy({ !it.isGuaranteed }, { it.job.priority }, { it.job.due }))

    private fun isStarved(
        job: RunningJob,
        now: Duration,
    ): Boolean =
        job.spec.shape == Shape.ARRAY &&
            !job.isQuarantined &&
            job.retryAfter <= now &&
            now - job.waitingSince > PATIENCE

    /** Jobs whose tasks save, the first to give way first. They are ordered by job, so their tasks need no sorting. */
    private fun victims(): List<RunningJob> =
        scheduler.jobs.values
            .filter { it.spec.checkpointIntervalSeconds > 0 && it.spec.shape == Shape.ARRAY && it.assigned.isNotEmpty() }
            .sortedWith(compareBy({ -it.priority.ordinal }, { -it.due.inWholeMilliseconds }))

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
        return claimant.isGuaranteed && victimTeam !== claimant.team && victimTeam.usedCpus > victimTeam.team.cpus
    }

    /** What the claimant could use beyond the free room, within its team's limit. */
    private fun missingCpus(
        claimant: Claimant,
        usable: List<Machine>,
    ): Double {
        val job = claimant.job
        val team = claimant.team
        var missing = job.waiting * job.resources.cpus
        team.team.cpusMax?.let { missing = minOf(missing, it - team.usedCpus) }
        if (claimant.isGuaranteed && job.priority == Priority.IDLE) {
            missing = minOf(missing, team.team.cpus - team.usedCpus)
        }
        return missing - usable.sumOf { freeCpus(it, job) }
    }

    private fun freeCpus(
        machine: Machine,
        job: RunningJob,
    ): Double {
        if (!Dispatcher.allowed(job, machine)) return 0.0
        return (machine.free()?.countOf(job.resources) ?: 0) * job.resources.cpus
    }

    private fun makeRoom(
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
                scheduler.stop(assignment, victim.spec.checkpointSaveSeconds.seconds)
                missing -= assignment.resources.cpus
                log.debug("{} gives way on {}", assignment.id, assignment.machineName.value)
            }
        }
    }

    private fun isWorthStopping(
        assignment: Assignment,
        claimant: RunningJob,
        now: Duration,
    ): Boolean {
        val left = assignment.left(now) ?: return false
        if (left <= MIN_REMAINING || !assignment.mayMigrate(now, MIN_RUN)) return false
        val machine = scheduler.machines[assignment.machineName] ?: return false
        return machine.usable && Dispatcher.allowed(claimant, machine)
    }

    private companion object {
        val INTERVAL = 500.milliseconds

        /** New work waits this long for room before others are stopped. */
        val PATIENCE = 1500.milliseconds

        /** A start counts for the users only if no command stops the task within 30 s. */
        val MIN_RUN = 32.seconds

        /** A task that has less left than this frees its room soon by itself. */
        val MIN_REMAINING = 10.seconds

        /** Bounds the work of one run. */
        const val MAX_CLAIMANTS = 12
    }
}
