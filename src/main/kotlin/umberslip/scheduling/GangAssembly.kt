package umberslip.scheduling

import org.slf4j.LoggerFactory
import kotlin.time.Duration

/**
 * Reserves resources for a gang machine by machine and starts all its tasks together, under one attempt number. A gang
 * that is incomplete at its assembly timeout releases its resources, and the timeout of its next assembly is doubled.
 */
internal class GangAssembly(
    private val teams: Map<String, Dispatcher>,
    private val assignments: AssignmentLifecycle,
    private val initialTimeout: Duration,
) {
    private val log = LoggerFactory.getLogger("umberslip.scheduling")

    /** Reserves resources on [machine] for a task of the gang, and starts the gang if this completes it. */
    fun reserve(
        assignment: Assignment,
        machine: Machine,
        now: Duration,
    ) {
        val job = assignment.job
        assignment.reserved = true
        if (job.assemblingSince == null) job.assemblingSince = now
        assignments.attach(assignment, machine)
        if (job.assigned.size == job.spec.tasks - job.doneCount) start(job, now)
    }

    private fun start(
        job: RunningJob,
        now: Duration,
    ) {
        val attempt = job.highestAttempt() + 1
        for (assignment in job.assigned.values) {
            assignment.reserved = false
            assignments.start(assignment, attempt, now)
        }
        job.assemblingSince = null
        job.assemblyTimeout = initialTimeout
    }

    /** Ends every assembly that has reached its timeout; called on every tick. */
    fun enforceTimeouts(now: Duration) {
        val assembling = teams.values.flatMap { team -> team.waiting.filter { it.assemblingSince != null } }
        for (job in assembling) enforceTimeout(job, now)
    }

    private fun enforceTimeout(
        job: RunningJob,
        now: Duration,
    ) {
        val since = job.assemblingSince ?: return
        if (now - since < job.assemblyTimeout) return
        assignments.withdrawReserved(job)
        job.nextAssemblyAt = now + job.assemblyTimeout
        job.assemblyTimeout *= 2
        log.info("gang assembly timed out: job={} next_timeout={}", job.spec.id.value, job.assemblyTimeout)
    }
}
