package umberslip.recovery

import umberslip.core.MachineName
import umberslip.settings.Settings
import umberslip.settings.Timings
import kotlin.time.Duration

/**
 * A machine that the leader knows. [provisionedBefore] is a time on the monotonic clock by which it was certainly
 * provisioned; [sinceAnyContact] is the time since its last contact with any controller.
 */
class KnownMachine(
    val name: MachineName,
    val provisionedBefore: Duration,
    val sinceAnyContact: Duration,
)

/**
 * Finds machines that must be gone because the cloud's list would show them if they still existed.
 *
 * The list lags by at most twice the lag in the settings. Once listed, a machine stays listed until it is terminated.
 * So a machine is gone if it is missing from a list that was requested more than that lag after the machine was known
 * to be provisioned. Pure: time is an input.
 *
 * The caller still terminates such a machine at the cloud before it starts the tasks elsewhere, so safety depends only
 * on the cloud's response to that request. A list that lags further costs a running machine but breaks no safety rule.
 */
class MissingMachines(
    settings: Settings,
    timings: Timings,
) {
    /** A list that is requested this long after a machine was provisioned certainly shows the machine. */
    private val listedWithin = timings.withClockDrift(settings.listLag * MAX_LIST_LAGS) + timings.margin

    /** A machine that had contact within this time counts as existing, whatever the list says. */
    private val inContactWithin = settings.workers.heartbeatInterval * MAX_MISSED_HEARTBEATS

    /**
     * Returns those of [machines] that are certainly gone. [listed] has the names in the response to the request that
     * was sent at [listRequestedAt].
     */
    fun find(
        listRequestedAt: Duration,
        listed: Set<MachineName>,
        machines: Collection<KnownMachine>,
    ): List<MachineName> =
        machines
            .filter { it.name !in listed && it.sinceAnyContact > inContactWithin }
            .filter { listRequestedAt >= it.provisionedBefore + listedWithin }
            .map { it.name }

    private companion object {
        /** The list lags by at most this multiple of the lag in the settings. */
        const val MAX_LIST_LAGS = 2

        /** A machine that misses no more heartbeats than this is in contact, since heartbeats get lost or delayed. */
        const val MAX_MISSED_HEARTBEATS = 3
    }
}
