package umberslip.provisioning

import umberslip.core.Resources
import umberslip.scheduling.PendingWork
import umberslip.settings.Tuning
import kotlin.time.DurationUnit

/** Pending work for which no capacity is planned yet. [tasks] is fractional, because capacity is divided by time. */
internal class OpenDemand(
    val work: PendingWork,
    val tasks: Double,
)

/**
 * Computes how many processors work keeps busy on average over a horizon. All times are plain numbers of seconds,
 * because a plan divides by them for every running task. Pure.
 */
internal class DemandModel(
    tuning: Tuning,
) {
    /** The time within which the known work should be finished. */
    val drainSeconds = tuning.drain.toDouble(DurationUnit.SECONDS)

    /**
     * The time within which machines that are up should finish the known work. It is longer than [drainSeconds] by the
     * boot time, because these machines already work while new ones would still boot.
     */
    val drainSecondsWhenUp = drainSeconds + tuning.boot.toDouble(DurationUnit.SECONDS)

    /**
     * Returns the time within which a machine should finish [work]. On an expensive machine, work that has enough slack
     * to wait for a cheap one may take longer.
     */
    fun horizonSeconds(
        work: PendingWork,
        isUp: Boolean,
        isExpensive: Boolean,
    ): Double {
        val horizon = if (isUp) drainSecondsWhenUp else drainSeconds
        return if (isExpensive) maxOf(horizon, work.slack.toDouble(DurationUnit.SECONDS) * MAX_SLACK_SHARE) else horizon
    }

    /** Returns how many processors one task of [taskSeconds] keeps busy on average over the horizon. */
    fun busyCpus(
        task: Resources,
        taskSeconds: Double,
        horizonSeconds: Double,
    ): Double = task.cpus.coerceAtLeast(MIN_CPUS) * minOf(1.0, taskSeconds / horizonSeconds)

    /** Returns the factor by which a task blocks more of [machine] than its own processors, because of its memory. */
    fun memoryWeight(
        task: Resources,
        machine: Resources,
    ): Double {
        val cpusByMemory = if (machine.memoryGb > 0) task.memoryGb / machine.memoryGb * machine.cpus else 0.0
        return maxOf(1.0, cpusByMemory / task.cpus.coerceAtLeast(MIN_CPUS))
    }

    /** Returns the [busyCpus] of a task, multiplied by its [memoryWeight] on [machine]. */
    fun blockedCpus(
        task: Resources,
        taskSeconds: Double,
        machine: Resources,
        horizonSeconds: Double,
    ): Double = busyCpus(task, taskSeconds, horizonSeconds) * memoryWeight(task, machine)

    companion object {
        /** A task or an instance type with fewer processors, or none, counts as having this many. */
        const val MIN_CPUS = 0.1

        /** The share of its slack that work may use up when it runs on expensive machines. */
        private const val MAX_SLACK_SHARE = 0.25
    }
}
