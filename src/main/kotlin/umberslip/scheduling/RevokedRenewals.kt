package umberslip.scheduling

import umberslip.core.MachineName
import umberslip.records.MachineSetRecord
import umberslip.records.Versioned
import umberslip.store.Version

/** The machines whose leases no follower may renew: those that should be recorded, and those that are recorded. */
internal class RevokedRenewals {
    private var stored: Set<MachineName> = emptySet()
    private var storedVersion = Version.NONE

    /**
     * The machines that should be recorded, in the order in which they were added. The record holds as many of the
     * first ones as fit, so that a recorded machine stays recorded until it is removed from here. If a machine that was
     * added later could displace it, followers could renew its lease again.
     */
    val pending = LinkedHashSet<MachineName>()

    /** Takes over the record of a former leader, except for machines that are not in [knownMachines]. */
    fun load(
        record: Versioned<MachineSetRecord>,
        knownMachines: Set<MachineName>,
    ) {
        stored = record.value.machineNames
        storedVersion = record.version
        pending += stored.filter { it in knownMachines }
    }

    /** Drops [pending] machines that are not in [knownMachines], and adds the record to [transaction] if it changes. */
    fun addTo(
        transaction: TransactionBuilder,
        knownMachines: Set<MachineName>,
    ) {
        pending.retainAll(knownMachines)
        val fitting = MachineSetRecord.fitting(pending, transaction.limits.valueBytes)
        if (fitting == stored) return
        transaction.putRevokedRenewals(fitting, storedVersion)
    }

    /** Notes that the record was written with [machineNames]. */
    fun applied(
        machineNames: Set<MachineName>,
        version: Version,
    ) {
        stored = machineNames
        storedVersion = version
    }

    /**
     * Takes the version of a record that a write with an indeterminate outcome, or another leader, may have changed.
     */
    fun resolve(version: Version) {
        storedVersion = version
        // The contents of the record are unknown, so it is written again. Its machines count as revoked from then on.
        stored = UNKNOWN_CONTENTS
    }

    private companion object {
        /** Differs from every set of machines that is to be recorded. */
        val UNKNOWN_CONTENTS = setOf(MachineName(""))
    }
}
