package umberslip.provisioning

import umberslip.core.MachineName
import umberslip.scheduling.MachineSnapshot
import umberslip.settings.WorkerSettings
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Finds machines without contact for most of a lease while most others of their zone are in contact: they were
 * reclaimed, died or hang. Terminating them makes certain at once that their tasks are stopped, rather than when every
 * lease has expired, which after a failover is much later. A zone that is partitioned off as a whole may go on working,
 * so its machines are left alone until their leases have expired. Pure.
 */
internal class UnresponsiveMachines(
    private val workers: WorkerSettings,
) {
    private val timeout = workers.lease * LEASE_SHARE
    private val inContactWithin = workers.heartbeatInterval * HEARTBEATS_MISSED

    /** The unresponsive ones of all [machines] that the leader knows. */
    fun of(machines: List<MachineSnapshot>): List<MachineName> {
        val zones = machines.groupBy { it.offer.zone }.mapValues { (_, inZone) -> Zone(inZone) }
        val mostInContact = mostInContact(machines)
        return machines
            .filter { it.sinceAnyContact > timeout }
            .filter { machine ->
                val zone = zones.getValue(machine.offer.zone)
                isEmptied(machine, zone) || isLostWithTasks(machine, zone, mostInContact)
            }.map { it.name }
    }

    /** Whether the tasks are certainly stopped. In a partitioned zone such machines come back, empty, when it heals. */
    private fun isEmptied(
        machine: MachineSnapshot,
        zone: Zone,
    ): Boolean =
        machine.leaseExpired &&
            machine.sinceContact != null &&
            (!zone.isPartitioned || machine.sinceAnyContact > PARTITION_TIMEOUT)

    /** A machine that only the records name has no zone here; then most of all machines must be in contact. */
    private fun isLostWithTasks(
        machine: MachineSnapshot,
        zone: Zone,
        mostInContact: Boolean,
    ): Boolean = machine.tasks > 0 && mostInContact && (machine.offer.zone.isEmpty() || zone.mostInContact)

    private fun mostInContact(machines: List<MachineSnapshot>): Boolean {
        val inContact = machines.count { it.sinceAnyContact < inContactWithin }
        return inContact * 2 > machines.size
    }

    private inner class Zone(
        machines: List<MachineSnapshot>,
    ) {
        val mostInContact = mostInContact(machines)
        val isPartitioned = machines.all { it.sinceAnyContact > workers.lease }
    }

    companion object {
        /** For this long a zone without any contact counts as partitioned off rather than lost. */
        val PARTITION_TIMEOUT: Duration = 120.seconds

        /** The part of a lease without contact after which a machine is unresponsive. */
        private const val LEASE_SHARE = 0.8

        /** Heartbeats get lost or come late; one that misses no more of them is in contact. */
        private const val HEARTBEATS_MISSED = 3
    }
}
