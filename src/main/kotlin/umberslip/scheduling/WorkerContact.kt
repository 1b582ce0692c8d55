package umberslip.scheduling

import umberslip.settings.WorkerSettings
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Distinguishes a partition of a zone or of the leader from the loss of machines. Pure: time is an input. */
internal class WorkerContact(
    private val scheduler: SchedulerState,
    private val settings: WorkerSettings,
) {
    private var lostSince: Duration? = null

    /**
     * Whether the leader has lost contact with nearly all machines that had contact in this term, for at least
     * [MIN_LOST_TIME]. In that case the leader itself is cut off, since neither the partition of one zone nor a series
     * of machine losses affects all machines at once.
     */
    fun isLost(now: Duration): Boolean {
        val recentAfter = now - settings.heartbeatInterval * RECENT_HEARTBEATS
        val lastContacts = scheduler.machines.values.mapNotNull { it.lastContactAt }
        val recentContacts = lastContacts.count { it > recentAfter }
        if (lastContacts.size < MIN_MACHINES || recentContacts * LOST_RATIO >= lastContacts.size) {
            lostSince = null
            return false
        }
        val since = lostSince ?: now
        lostSince = since
        return now - since >= MIN_LOST_TIME
    }

    /** Returns the zones with several machines of which none has had contact with any controller for half a lease. */
    fun unresponsiveZones(now: Duration): Set<String> =
        scheduler.machines.values
            .groupBy { it.zone }
            .filterValues { machines -> machines.size > 1 && machines.all { isUnresponsive(it, now) } }
            .keys

    private fun isUnresponsive(
        machine: Machine,
        now: Duration,
    ): Boolean = machine.timeSinceContact(now) > settings.lease / 2

    private companion object {
        /**
         * A contact within this many heartbeat intervals is recent: one heartbeat may be delayed and one response lost.
         */
        const val RECENT_HEARTBEATS = 3

        /** With fewer machines, losing all of them is as likely as a partition of the leader. */
        const val MIN_MACHINES = 4

        /** Contact counts as lost if fewer than one in this many machines has recent contact. */
        const val LOST_RATIO = 10

        /** Long enough that a single late tick is not taken for lost contact. */
        val MIN_LOST_TIME = 1.seconds
    }
}
