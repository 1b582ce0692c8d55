package umberslip.scheduling

import org.slf4j.LoggerFactory
import umberslip.core.JobId
import umberslip.core.MachineName
import umberslip.core.Shape
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * How often tasks of one job have failed on a machine since the last success of any task there, and the times of the
 * first and the last of these failures.
 */
class MachineFailures(
    val count: Int,
    val first: Duration,
    val last: Duration,
)

/**
 * Distinguishes machines on which every task fails from jobs that fail on every machine, and quarantines both.
 *
 * A job whose tasks failed on several machines and succeeded on none is retried with exponential back-off. If it is an
 * array, it is quarantined once as many of its tasks have failed as are assigned: it is then retried one task at a
 * time, and its failures are no evidence against machines. A job is healthy if one of its tasks has completed, or has
 * run longer than those that failed. A machine is quarantined permanently if healthy jobs fail on it and no task
 * succeeds there in between. Pure: time is an input.
 */
class FailureTracker(
    private val jobs: Map<JobId, RunningJob>,
) {
    private val log = LoggerFactory.getLogger("umberslip.scheduling")

    /** Jobs of which a task has failed since their last success. */
    private val failing = LinkedHashSet<RunningJob>()

    /** Clears the failures of the machine and the job after a task of the job completed on the machine. */
    fun succeeded(
        machine: Machine,
        job: RunningJob,
    ) {
        machine.failures.clear()
        if (!failing.remove(job)) return
        job.failures.clear()
        job.isQuarantined = false
    }

    /** Counts the failure of a task of the job on the machine. [ranFor] is zero if its run time is not known. */
    fun failed(
        machine: Machine,
        job: RunningJob,
        ranFor: Duration,
        now: Duration,
    ) {
        failing += job
        job.failures.add(machine.name, ranFor)
        val previous = machine.failures[job.spec.id]
        machine.failures[job.spec.id] = MachineFailures((previous?.count ?: 0) + 1, previous?.first ?: now, now)
        backOff(job, now)
        assess(job, now)
        assess(machine, now)
    }

    /** Reassesses the failing jobs, since a task that keeps running shows after some time that its job is healthy. */
    fun tick(now: Duration) {
        failing.removeAll { jobs[it.spec.id] !== it }
        for (job in failing) assess(job, now)
    }

    private fun backOff(
        job: RunningJob,
        now: Duration,
    ) {
        val failsEverywhere = job.failures.machineCount >= MIN_MACHINES && job.doneCount == 0
        // Failures of tasks that began before the back-off belong to the same try.
        if (!failsEverywhere || now < job.retryAfter) return
        val wait = job.failures.nextBackOff()
        job.retryAfter = now + wait
        log.warn(
            "job backed off after failures without a success: job={} failed_machines={} wait={}",
            job.spec.id.value,
            job.failures.machineCount,
            wait,
        )
    }

    private fun assess(
        job: RunningJob,
        now: Duration,
    ) {
        val failures = job.failures
        val healthyRunTime = failures.longestRun + HEALTHY_RUN_MARGIN
        failures.isJobHealthy =
            job.doneCount > 0 ||
            job.assigned.values.any { task -> task.runningSince.let { it != null && now - it > healthyRunTime } }
        job.isQuarantined =
            !failures.isJobHealthy &&
            job.spec.shape == Shape.ARRAY &&
            failures.machineCount >= MIN_MACHINES &&
            failures.taskCount >= job.assigned.size
    }

    /** Quarantines the machine if its failures show that it is faulty. Called after each failure and on every tick. */
    fun assess(
        machine: Machine,
        now: Duration,
    ) {
        if (machine.isQuarantined || machine.failures.isEmpty() || !isFaulty(machine, now)) return
        machine.isQuarantined = true
        log.warn(
            "machine quarantined after failures: machine={} failed_jobs={}",
            machine.name.value,
            machine.failures.size,
        )
    }

    private fun isFaulty(
        machine: Machine,
        now: Duration,
    ): Boolean {
        val relevantFailures = machine.failures.filterKeys { id -> jobs[id]?.isQuarantined == false }
        val healthyJobFailures = relevantFailures.filterKeys { id -> jobs[id]?.failures?.isJobHealthy == true }
        if (healthyJobFailures.values.sumOf { it.count } >= MIN_FAILURES) return true
        if (relevantFailures.size < MIN_JOBS) return false
        // A job may be neither healthy nor quarantined yet. Its tasks on other machines get time to show which it is.
        return healthyJobFailures.isNotEmpty() || relevantFailures.values.all { now - it.first >= OBSERVATION_TIME }
    }

    private companion object {
        /** A job whose tasks failed on one machine only may have been placed on a faulty one. */
        const val MIN_MACHINES = 2

        /** Tasks of healthy jobs fail occasionally, too, so one failure does not show that a machine is faulty. */
        const val MIN_FAILURES = 2

        /** The failures of a single job are no evidence against a machine unless the job is healthy. */
        const val MIN_JOBS = 2

        /** A job that fails everywhere fails on other machines within about this time. */
        val OBSERVATION_TIME = 4.seconds

        /** A task that has run this much longer than those that failed is not expected to fail. */
        val HEALTHY_RUN_MARGIN = 5.seconds
    }
}

/** The failures of a job's tasks since the last success of one of them. */
class JobFailures {
    private val machines = HashSet<MachineName>()
    private var backOffs = 0

    /** Whether a task of the job has completed or keeps running, so that the job does not fail everywhere. */
    var isJobHealthy = false

    /** The number of failed task attempts. */
    var taskCount = 0
        private set

    /** The longest run time of a task that failed. */
    var longestRun: Duration = Duration.ZERO
        private set

    /** The number of machines on which tasks failed. */
    val machineCount: Int get() = machines.size

    /** Adds the failure of a task on [machine] that had run for [ranFor]. */
    fun add(
        machine: MachineName,
        ranFor: Duration,
    ) {
        machines += machine
        taskCount++
        longestRun = maxOf(longestRun, ranFor)
    }

    /** Clears the failures after a task of the job succeeded. */
    fun clear() {
        machines.clear()
        backOffs = 0
        taskCount = 0
        longestRun = Duration.ZERO
    }

    /** Returns how long to wait before the next try. The wait doubles with each call, from 4 s to 64 s. */
    fun nextBackOff(): Duration {
        val doublings = backOffs.coerceAtMost(MAX_DOUBLINGS)
        backOffs++
        return FIRST_BACK_OFF * (1 shl doublings)
    }

    private companion object {
        val FIRST_BACK_OFF = 4.seconds
        const val MAX_DOUBLINGS = 4
    }
}
