package umberslip.scheduling

import umberslip.settings.Timings
import umberslip.settings.WorkerSettings
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Stops tasks of a spot instance with an interruption notice as late as they can still save a checkpoint. Others run
 * until the interruption. Pure: time is an input.
 */
internal class InterruptionDraining(
    private val settings: WorkerSettings,
    private val timings: Timings,
) {
    /** Stops the tasks for which it is time; called on every tick for each machine. */
    fun check(
        machine: Machine,
        now: Duration,
    ) {
        val interruptionAt = machine.interruptionAt ?: return
        for (assignment in machine.assignments.values) {
            val spec = assignment.job.spec
            if (assignment.reserved || assignment.gracePeriod != null || spec.checkpointIntervalSeconds <= 0) continue
            val saveTime = spec.checkpointSaveSeconds.seconds
            // The command waits for a heartbeat, and the worker acts on it with the next one at the latest.
            val needed = saveTime + settings.heartbeatInterval * 2 + timings.margin * 2
            if (interruptionAt - now <= needed) assignment.requestStop(saveTime)
        }
    }
}
