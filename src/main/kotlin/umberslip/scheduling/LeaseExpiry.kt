package umberslip.scheduling

import org.slf4j.LoggerFactory
import umberslip.settings.Timings
import umberslip.settings.WorkerSettings
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Requeues the tasks of a machine once every lease that its worker may hold has expired, so that no task runs twice.
 *
 * The expiry of the leases renewed by the leader is not sufficient: a follower may have renewed the lease of a machine
 * in a partitioned zone since then. Lease renewal is therefore revoked for the machine first. Once the revocation is
 * written, a follower answers only heartbeats that were sent before it. Pure: time is an input.
 */
internal class LeaseExpiry(
    private val scheduler: SchedulerState,
    private val settings: WorkerSettings,
    timings: Timings,
) {
    private val log = LoggerFactory.getLogger("umberslip.scheduling")

    /** The longest time for which a worker may rely on a lease that a follower renewed before the revocation. */
    private val maxLeaseDuration = timings.withClockDrift(timings.lease) + timings.margin

    /** Checks one machine on every tick; [isZoneUnresponsive] returns whether no machine of its zone has contact. */
    fun check(
        machine: Machine,
        now: Duration,
        isZoneUnresponsive: () -> Boolean,
    ) {
        if (machine.leaseExpiry > now) return
        if (machine.assignments.isEmpty()) {
            if (machine.isReconciled) scheduler.releaseTasks(machine, now)
            return
        }
        val renewalRevokedAt = machine.renewalRevokedAt
        if (renewalRevokedAt == null) {
            if (isLost(machine, now, isZoneUnresponsive)) scheduler.writeAheadLog.pendingRevocations += machine.name
            return
        }
        if (now < renewalRevokedAt + maxLeaseDuration) return
        log.warn(
            "leases of an unresponsive machine expired: machine={} requeued_tasks={}",
            machine.name.value,
            machine.assignments.size,
        )
        scheduler.releaseTasks(machine, now)
    }

    /**
     * Whether the machine is presumed lost. A zone that is unresponsive as a whole is treated as partitioned rather
     * than lost: its tasks run on. The zone of a machine without contact since the failover is not known; several such
     * machines are treated as one zone.
     */
    private fun isLost(
        machine: Machine,
        now: Duration,
        isZoneUnresponsive: () -> Boolean,
    ): Boolean {
        val timeSinceContact = machine.timeSinceContact(now)
        if (timeSinceContact < settings.lease) return false
        return timeSinceContact > MAX_ZONE_OUTAGE || !isZoneUnresponsive()
    }

    private companion object {
        /** A zone that is partitioned for longer is treated as lost, so that its tasks are placed elsewhere. */
        val MAX_ZONE_OUTAGE = 60.seconds
    }
}
