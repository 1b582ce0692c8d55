package umberslip.provisioning

import umberslip.core.Resources
import umberslip.scheduling.PendingWork
import umberslip.settings.Tuning
import kotlin.time.DurationUnit

/** Pending work for which no capacity was found yet; [tasks] is fractional, since capacity is shared out by time. */
internal class OpenDemand(
    val work: PendingWork,
    val tasks: Double,
)

/**
 * How many processors work keeps busy on average over a horizon. All times are seconds as plain numbers: a plan divides
 * by them for every running task. Pure.
 */
internal class DemandModel(
    tuning: Tuning,
) {
    /** The time within which the known work should get done. */
    val drainSeconds = tuning.drain.toDouble(DurationUnit.SECONDS)

    /** As [drainSeconds], for machines that are up: they work on while others would still boot. */
    val drainSecondsWhenUp = drainSeconds + tuning.boot.toDouble(DurationUnit.SECONDS)

    /** The time within which a machine should get [work] done. What can wait for a cheap one may take longer here. */
    fun horizonSeconds(
        work: PendingWork,
        isUp: Boolean,
        isExpensive: Boolean,
    ): Double {
        val horizon = if (isUp) drainSecondsWhenUp else drainSeconds
        return if (isExpensive) maxOf(horizon, work.slack.toDouble(DurationUnit.SECONDS) * PATIENCE) else horizon
    }

    /** Processors that one task of [taskSeconds] keeps busy over the horizon. */
    fun busyCpus(
        task: Resources,
        taskSeconds: Double,
        horizonSeconds: Double,
    ): Double = task.cpus.coerceAtLeast(MIN_CPUS) * minOf(1.0, taskSeconds / horizonSeconds)

    /** By how much a task blocks more of [machine] than its own processors, since memory counts as well. */
    fun memoryWeight(
        task: Resources,
        machine: Resources,
    ): Double {
        val cpusByMemory = if (machine.memoryGb > 0) task.memoryGb / machine.memoryGb * machine.cpus else 0.0
        return maxOf(1.0, cpusByMemory / task.cpus.coerceAtLeast(MIN_CPUS))
    }

    /** [busyCpus] with the [memoryWeight] on one machine. */
    fun blockedCpus(
        task: Resources,
        taskSeconds: Double,
        machine: Resources,
        horizonSeconds: Double,
    ): Double = busyCpus(task, taskSeconds, horizonSeconds) * memoryWeight(task, machine)

    companion object {
        /** A task or an instance type without processors still counts for something. */
        const val MIN_CPUS = 0.1

        /** The part of its slack that work may take to get done on expensive machines. */
        private const val PATIENCE = 0.25
    }
}
