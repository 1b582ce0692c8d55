package umberslip.recovery

import umberslip.core.MachineName
import umberslip.settings.Settings
import umberslip.settings.Timings
import kotlin.time.Duration

/**
 * A machine that the leader knows of. It was certainly provisioned at [provisionedBefore], a time of the steady clock;
 * [sinceContact] is the time since any controller had contact with it.
 */
class KnownMachine(
    val name: MachineName,
    val provisionedBefore: Duration,
    val sinceContact: Duration,
)

/**
 * Finds machines that the cloud's list must show if they still exist, and does not. The list may be as old as twice the
 * lag that the settings name, and a machine stays listed from then until it is terminated; so a list that was requested
 * later than that after the machine was known to be provisioned proves the loss. Pure: time is an input.
 *
 * The caller still terminates such a machine at the cloud before it starts the tasks elsewhere, and so rests on the
 * cloud's response alone: a list that breaks its promise costs a machine, never a rule.
 */
class MissingMachines(
    settings: Settings,
    timings: Timings,
) {
    /** After this long, a machine is listed for certain. */
    private val listedWithin = timings.withClockDrift(settings.listLag * MAX_LIST_LAGS) + timings.margin

    /** A machine with contact within this time exists, whatever a list says. */
    private val inContactWithin = settings.workers.heartbeatInterval * HEARTBEATS_MISSED

    /** Those of [machines] that are missing from the names [listed] by a request that was sent at [listBegan]. */
    fun find(
        listBegan: Duration,
        listed: Set<MachineName>,
        machines: Collection<KnownMachine>,
    ): List<MachineName> =
        machines
            .filter { it.name !in listed && it.sinceContact > inContactWithin }
            .filter { listBegan >= it.provisionedBefore + listedWithin }
            .map { it.name }

    private companion object {
        /** The list lags by twice the nominal time at most. */
        const val MAX_LIST_LAGS = 2

        /** Heartbeats get lost or come late; one that misses no more of them is in contact. */
        const val HEARTBEATS_MISSED = 3
    }
}
