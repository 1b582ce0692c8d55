package umberslip.scheduling

import org.slf4j.LoggerFactory
import umberslip.core.JobId
import umberslip.core.MachineName
import umberslip.core.Shape
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Tells a machine that fails every task from a job that fails on every machine.
 *
 * A job that failed on several machines and succeeded nowhere is retried with exponential back-off. Once most of its
 * tasks have failed it is doubtful: an array is then retried one task at a time, and its failures say nothing about
 * machines. A job is sound when a task of it has completed, or runs for longer than those that failed. A machine is
 * sick when sound jobs fail there and nothing succeeds in between.
 * Pure: time is an input.
 */
class FailureTracker(
    private val jobs: Map<JobId, RunningJob>,
) {
    private val log = LoggerFactory.getLogger("umberslip.scheduling")

    /** Jobs with failures since their last success. */
    private val failing = LinkedHashSet<RunningJob>()

    /** A task of the job completed on the machine. */
    fun succeeded(
        machine: Machine,
        job: RunningJob,
    ) {
        machine.failures.clear()
        if (!failing.remove(job)) return
        job.failures.clear()
        job.isQuarantined = false
    }

    /** A task of the job failed on the machine; [ranFor] is how long it ran, as far as that is known. */
    fun failed(
        machine: Machine,
        job: RunningJob,
        ranFor: Duration,
        now: Duration,
    ) {
        failing += job
        job.failures.add(machine.name, ranFor)
        val known = machine.failures[job.spec.id]
        machine.failures[job.spec.id] = Failures((known?.count ?: 0) + 1, known?.first ?: now, now)
        backOff(job, now)
        judge(job, now)
        judge(machine, now)
    }

    /** As time passes, tasks that keep running show that their job is sound. */
    fun tick(now: Duration) {
        failing.removeAll { jobs[it.spec.id] !== it }
        for (job in failing) judge(job, now)
    }

    private fun backOff(
        job: RunningJob,
        now: Duration,
    ) {
        val failsEverywhere = job.failures.machineCount >= FEW_MACHINES && job.doneCount == 0
        // Failures of tasks that began before the back-off did belong to the same try.
        if (!failsEverywhere || now < job.retryAfter) return
        val wait = job.failures.nextBackOff()
        job.retryAfter = now + wait
        log.warn(
            "job {} failed on {} machines and succeeded on none: waits {}",
            job.spec.id.value,
            job.failures.machineCount,
            wait,
        )
    }

    private fun judge(
        job: RunningJob,
        now: Duration,
    ) {
        val failures = job.failures
        val long = failures.longestRun + LONGER
        failures.isJobSound =
            job.doneCount > 0 || job.assigned.values.any { a -> a.runningSince.let { it != null && now - it > long } }
        job.isQuarantined =
            !failures.isJobSound &&
            job.spec.shape == Shape.ARRAY &&
            failures.machineCount >= FEW_MACHINES &&
            failures.taskCount >= job.assigned.size
    }

    /** Decides whether a machine is sick; asked after each failure and as time passes. */
    fun judge(
        machine: Machine,
        now: Duration,
    ) {
        if (machine.isQuarantined || machine.failures.isEmpty() || !isSick(machine, now)) return
        machine.isQuarantined = true
        log.warn(
            "machine {} fails the tasks of {} jobs: nothing more is placed there",
            machine.name.value,
            machine.failures.size,
        )
    }

    private fun isSick(
        machine: Machine,
        now: Duration,
    ): Boolean {
        val evidence = machine.failures.filterKeys { id -> jobs[id]?.isQuarantined == false }
        val ofSoundJobs = evidence.filterKeys { id -> jobs[id]?.failures?.isJobSound == true }
        if (ofSoundJobs.values.sumOf { it.count } >= FEW_FAILURES) return true
        if (evidence.size < FEW_JOBS) return false
        // Of jobs that are neither sound nor doubtful yet, other tasks get time to tell.
        return ofSoundJobs.isNotEmpty() || evidence.values.all { now - it.first >= OBSERVATION_TIME }
    }

    private companion object {
        const val FEW_MACHINES = 2
        const val FEW_FAILURES = 2
        const val FEW_JOBS = 2

        /** A job that fails everywhere fails on other machines within about this time. */
        val OBSERVATION_TIME = 4.seconds

        /** A task that runs so much longer than those that failed is not expected to fail. */
        val LONGER = 5.seconds
    }
}

/** The failures of a job's tasks since the last success of one of them. */
class JobFailures {
    private val machines = HashSet<MachineName>()
    private var tries = 0

    /** A task of the job has completed, or keeps running: it does not fail everywhere. */
    var isJobSound = false

    /** How many tasks failed. */
    var taskCount = 0
        private set

    /** How long the longest of the tasks ran that failed. */
    var longestRun: Duration = Duration.ZERO
        private set

    /** On how many machines tasks failed. */
    val machineCount: Int get() = machines.size

    fun add(
        machine: MachineName,
        ranFor: Duration,
    ) {
        machines += machine
        taskCount++
        longestRun = maxOf(longestRun, ranFor)
    }

    fun clear() {
        machines.clear()
        tries = 0
        taskCount = 0
        longestRun = Duration.ZERO
    }

    /** How long to wait before the next try: doubles from 4 s to 64 s. */
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
