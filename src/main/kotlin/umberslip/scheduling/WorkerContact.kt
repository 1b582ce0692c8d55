package umberslip.scheduling

import umberslip.settings.WorkerSettings
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Distinguishes a zone or a leader that is cut off from machines that are lost. Pure: time is an input. */
internal class WorkerContact(
    private val scheduler: SchedulerState,
    private val settings: WorkerSettings,
) {
    private var lostSince: Duration? = null

    /**
     * Whether hardly any of the machines that had contact in this term has it now, and for a while: then it is the
     * leader that cannot be reached, since neither a cut zone nor a wave of losses takes all at once.
     */
    fun isLost(now: Duration): Boolean {
        val recent = now - settings.heartbeatInterval * RECENT_HEARTBEATS
        val contacts = scheduler.machines.values.mapNotNull { it.lastContact }
        val recentContacts = contacts.count { it > recent }
        if (contacts.size < MIN_MACHINES || recentContacts * LOST_RATIO >= contacts.size) {
            lostSince = null
            return false
        }
        val since = lostSince ?: now
        lostSince = since
        return now - since >= MIN_LOST_TIME
    }

    /** Zones with several machines none of which had contact for half a lease. */
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
        /** One heartbeat may be delayed and one response lost. */
        const val RECENT_HEARTBEATS = 3

        /** With fewer machines their loss is as likely as the leader's. */
        const val MIN_MACHINES = 4

        /** Fewer than one in so many is hardly any. */
        const val LOST_RATIO = 10

        /** Long enough that one late tick does not decide. */
        val MIN_LOST_TIME = 1.seconds
    }
}
