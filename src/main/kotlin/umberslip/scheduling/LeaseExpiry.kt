package umberslip.scheduling

import org.slf4j.LoggerFactory
import umberslip.settings.Timings
import umberslip.settings.WorkerSettings
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Requeues the tasks of a machine once all leases that it can have are expired, so that no task runs twice.
 *
 * The leases that the leader renewed are not enough: a follower may have renewed them since, on behalf of a zone that
 * is cut off. So lease renewal is revoked for the machine first. A heartbeat that a follower answers was sent before
 * the revocation was written, or is answered no more. Pure: time is an input.
 */
internal class LeaseExpiry(
    private val scheduler: SchedulerState,
    private val settings: WorkerSettings,
    timings: Timings,
) {
    private val log = LoggerFactory.getLogger("umberslip.scheduling")
    private val revocationTime = timings.withClockDrift(timings.lease) + timings.margin

    /** [isZoneUnresponsive] says whether no machine of its zone has contact. */
    fun check(
        machine: Machine,
        now: Duration,
        isZoneUnresponsive: () -> Boolean,
    ) {
        if (machine.leaseExpiry > now) return
        if (machine.assignments.isEmpty()) {
            if (machine.isReconciled) scheduler.forget(machine, now)
            return
        }
        val renewalRevokedAt = machine.renewalRevokedAt
        if (renewalRevokedAt == null) {
            if (isLost(machine, now, isZoneUnresponsive)) scheduler.writeAheadLog.pendingRevocations += machine.name
            return
        }
        if (now < renewalRevokedAt + revocationTime) return
        log.warn(
            "leases of an unresponsive machine expired: machine={} requeued_tasks={}",
            machine.name.value,
            machine.assignments.size,
        )
        scheduler.forget(machine, now)
    }

    /**
     * A zone that is unresponsive as a whole is cut off rather than lost, and works on inside. Machines without contact
     * since the failover have no known zone; several of them are treated as one.
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
        /** A zone that is cut off for longer is treated as lost, so that its work goes on elsewhere. */
        val MAX_ZONE_OUTAGE = 60.seconds
    }
}
