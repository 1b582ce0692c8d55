package umberslip.scheduling

import umberslip.settings.Timings
import umberslip.settings.WorkerSettings
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Drains spot instances with an interruption notice. Tasks that can save a checkpoint are stopped as late as the time
 * for saving it allows; other tasks run until the interruption. Pure: time is an input.
 */
internal class InterruptionDraining(
    private val settings: WorkerSettings,
    private val timings: Timings,
) {
    /** Requests the stops that are due on [machine]. Called on every tick for each machine. */
    fun check(
        machine: Machine,
        now: Duration,
    ) {
        val interruptionAt = machine.interruptionAt ?: return
        for (assignment in machine.assignments.values) {
            val spec = assignment.job.spec
            if (assignment.reserved || assignment.gracePeriod != null || spec.checkpointIntervalSeconds <= 0) continue
            val saveTime = spec.checkpointSaveSeconds.seconds
            // The command waits for the next heartbeat, and the worker executes it by the heartbeat after that.
            val stopLeadTime = saveTime + settings.heartbeatInterval * 2 + timings.margin * 2
            if (interruptionAt - now <= stopLeadTime) assignment.requestStop(saveTime)
        }
    }
}
