package umberslip.recovery

import umberslip.core.MachineName
import umberslip.settings.Settings
import umberslip.settings.Timings
import kotlin.time.Duration

/** A machine that the leader knows of, and since when it is known to have been rented. */
class KnownMachine(
    val name: MachineName,
    val provisionedBefore: Duration,
    val sinceContact: Duration,
)

/**
 * Finds machines that the cloud's list must show if they still exist, and does not. The list may be as old as twice the
 * lag that the settings name, and a machine stays listed from then until it is gone; so a list that was asked for later
 * than that after the machine was known to be rented proves the loss. Pure: time is an input.
 *
 * The caller still returns such a machine to the cloud before it starts the tasks elsewhere, and so rests on the
 * cloud's answer alone: a list that breaks its promise costs a machine, never a rule.
 */
class MissingMachines(
    settings: Settings,
    timings: Timings,
) {
    /** After this long, a machine is listed for certain. */
    private val listedWithin = timings.stretched(settings.listLag * MOST_LAGS) + timings.margin

    /** A machine that was heard this recently exists, whatever a list says. */
    private val heardLately = settings.workers.heartbeatInterval * HEARTBEATS_MISSED

    fun of(
        listBegan: Duration,
        listed: Set<MachineName>,
        machines: Collection<KnownMachine>,
    ): List<MachineName> =
        machines
            .filter { it.name !in listed && listBegan >= it.provisionedBefore + listedWithin && it.sinceContact > heardLately }
            .map { it.name }

    private companion object {
        /** The list lags by twice the nominal time at most. */
        const val MOST_LAGS = 2
        const val HEARTBEATS_MISSED = 3
    }
}
