package umberslip.scheduling

import org.slf4j.LoggerFactory
import umberslip.core.JobId
import umberslip.core.MachineName
import umberslip.core.Shape
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** How often tasks of a job failed on a machine since the last success there, and when they first and last did. */
class MachineFailures(
    val count: Int,
    val first: Duration,
    val last: Duration,
)

/**
 * Distinguishes a machine that fails every task from a job that fails on every machine, and quarantines either.
 *
 * A job that failed on several machines and succeeded nowhere is retried with exponential back-off. Once as many of its
 * tasks have failed as are assigned, an array is quarantined: it is retried one task at a time, and its failures are no
 * evidence against machines. A job is healthy when a task of it has completed, or runs for longer than those that
 * failed. A machine is quarantined, for good, when healthy jobs fail there and nothing succeeds in between.
 * Pure: time is an input.
 */
class FailureTracker(
    private val jobs: Map<JobId, RunningJob>,
) {
    private val log = LoggerFactory.getLogger("umberslip.scheduling")

    /** Jobs with failures since their last success. */
    private val failing = LinkedHashSet<RunningJob>()

    /** A task of the job completed on the machine, which clears the failures of both. */
    fun succeeded(
        machine: Machine,
        job: RunningJob,
    ) {
        machine.failures.clear()
        if (!failing.remove(job)) return
        job.failures.clear()
        job.isQuarantined = false
    }

    /** A task of the job failed on the machine; [ranFor] is how long it ran, zero if that is not known. */
    fun failed(
        machine: Machine,
        job: RunningJob,
        ranFor: Duration,
        now: Duration,
    ) {
        failing += job
        job.failures.add(machine.name, ranFor)
        val known = machine.failures[job.spec.id]
        machine.failures[job.spec.id] = MachineFailures((known?.count ?: 0) + 1, known?.first ?: now, now)
        backOff(job, now)
        assess(job, now)
        assess(machine, now)
    }

    /** With time, tasks that keep running show that their job is healthy. */
    fun tick(now: Duration) {
        failing.removeAll { jobs[it.spec.id] !== it }
        for (job in failing) assess(job, now)
    }

    private fun backOff(
        job: RunningJob,
        now: Duration,
    ) {
        val failsEverywhere = job.failures.machineCount >= MIN_MACHINES && job.doneCount == 0
        // Tasks that began before the back-off belong to the same try.
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

    /** Quarantines the machine if it is to blame for its failures; called after each failure and on every tick. */
    fun assess(
        machine: Machine,
        now: Duration,
    ) {
        if (machine.isQuarantined || machine.failures.isEmpty() || !isToBlame(machine, now)) return
        machine.isQuarantined = true
        log.warn(
            "machine quarantined after failures: machine={} failed_jobs={}",
            machine.name.value,
            machine.failures.size,
        )
    }

    private fun isToBlame(
        machine: Machine,
        now: Duration,
    ): Boolean {
        val evidence = machine.failures.filterKeys { id -> jobs[id]?.isQuarantined == false }
        val ofHealthyJobs = evidence.filterKeys { id -> jobs[id]?.failures?.isJobHealthy == true }
        if (ofHealthyJobs.values.sumOf { it.count } >= MIN_FAILURES) return true
        if (evidence.size < MIN_JOBS) return false
        // Jobs that are neither healthy nor quarantined yet get time for their tasks elsewhere to decide it.
        return ofHealthyJobs.isNotEmpty() || evidence.values.all { now - it.first >= OBSERVATION_TIME }
    }

    private companion object {
        /** A job that failed on one machine only may have met a faulty one. */
        const val MIN_MACHINES = 2

        /** Healthy jobs, too, fail now and then. */
        const val MIN_FAILURES = 2

        /** One job is no evidence against a machine unless it is healthy. */
        const val MIN_JOBS = 2

        /** A job that fails everywhere fails on other machines within about this time. */
        val OBSERVATION_TIME = 4.seconds

        /** A task that runs so much longer than those that failed is not expected to fail. */
        val HEALTHY_RUN_MARGIN = 5.seconds
    }
}

/** The failures of a job's tasks since the last success of one of them. */
class JobFailures {
    private val machines = HashSet<MachineName>()
    private var tries = 0

    /** A task of the job has completed, or keeps running: it does not fail everywhere. */
    var isJobHealthy = false

    /** How many tasks failed. */
    var taskCount = 0
        private set

    /** The longest run time of a task that failed. */
    var longestRun: Duration = Duration.ZERO
        private set

    /** On how many machines tasks failed. */
    val machineCount: Int get() = machines.size

    /** A task failed on [machine] after running for [ranFor]. */
    fun add(
        machine: MachineName,
        ranFor: Duration,
    ) {
        machines += machine
        taskCount++
        longestRun = maxOf(longestRun, ranFor)
    }

    /** A task succeeded. */
    fun clear() {
        machines.clear()
        tries = 0
        taskCount = 0
        longestRun = Duration.ZERO
    }

    /** How long to wait before the next try: doubles with each call, from 4 s to 64 s. */
    fun nextBackOff(): Duration {
        val doublings = tries.coerceAtMost(MAX_DOUBLINGS)
        tries++
        return FIRST_BACK_OFF * (1 shl doublings)
    }

    private companion object {
        val FIRST_BACK_OFF = 4.seconds
        const val MAX_DOUBLINGS = 4
    }
}
