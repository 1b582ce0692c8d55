package umberslip.provisioning

import umberslip.core.MachineName
import umberslip.scheduling.MachineSnapshot
import umberslip.settings.WorkerSettings
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Finds machines that have had no contact for most of a lease while most other machines of their zone are in contact.
 * Such machines were reclaimed, have crashed or hang. Terminating them ensures immediately that their tasks are
 * stopped. Otherwise this is certain only after every lease has expired, which is much later after a failover. The
 * workers of a zone that is partitioned as a whole may go on working, so its machines are not reported before their
 * leases have expired. Pure.
 */
internal class UnresponsiveMachines(
    private val workers: WorkerSettings,
) {
    private val timeout = workers.lease * LEASE_SHARE
    private val inContactWithin = workers.heartbeatInterval * MAX_MISSED_HEARTBEATS

    /** Returns the unresponsive machines among [machines], which are all machines that the leader knows. */
    fun find(machines: List<MachineSnapshot>): List<MachineName> {
        val zones = machines.groupBy { it.offer.zone }.mapValues { (_, inZone) -> Zone(inZone) }
        val areMostInContact = areMostInContact(machines)
        return machines
            .filter { it.sinceAnyContact > timeout }
            .filter { machine ->
                val zone = zones.getValue(machine.offer.zone)
                isExpired(machine, zone) || isLostWithTasks(machine, zone, areMostInContact)
            }.map { it.name }
    }

    /**
     * Returns whether the lease of a machine has expired, so that its tasks are certainly stopped. Machines of a
     * partitioned zone return without tasks when the partition heals, so they count only after [PARTITION_TIMEOUT].
     */
    private fun isExpired(
        machine: MachineSnapshot,
        zone: Zone,
    ): Boolean =
        machine.leaseExpired &&
            machine.sinceContact != null &&
            (!zone.isPartitioned || machine.sinceAnyContact > PARTITION_TIMEOUT)

    /**
     * Returns whether a machine that is out of contact has tasks, while most of all machines and most of its zone are
     * in contact. A machine that is known only from the records has no zone, so only most of all machines must be in
     * contact.
     */
    private fun isLostWithTasks(
        machine: MachineSnapshot,
        zone: Zone,
        areMostInContact: Boolean,
    ): Boolean = machine.tasks > 0 && areMostInContact && (machine.offer.zone.isEmpty() || zone.areMostInContact)

    private fun areMostInContact(machines: List<MachineSnapshot>): Boolean {
        val inContact = machines.count { it.sinceAnyContact < inContactWithin }
        return inContact * 2 > machines.size
    }

    private inner class Zone(
        machines: List<MachineSnapshot>,
    ) {
        val areMostInContact = areMostInContact(machines)
        val isPartitioned = machines.all { it.sinceAnyContact > workers.lease }
    }

    companion object {
        /** How long a zone without any contact counts as partitioned rather than lost. */
        val PARTITION_TIMEOUT: Duration = 120.seconds

        /** A machine without contact for this share of a lease is unresponsive. */
        private const val LEASE_SHARE = 0.8

        /** Heartbeats get lost or arrive late; a machine that has missed no more than this many is in contact. */
        private const val MAX_MISSED_HEARTBEATS = 3
    }
}
