package umberslip.scheduling

import umberslip.core.MachineName
import umberslip.records.MachineSetRecord
import umberslip.records.Versioned
import umberslip.store.Version

/** The machines whose leases no follower may renew: those that should be recorded as such, and those that are. */
internal class RevokedRenewals {
    private var stored: Set<MachineName> = emptySet()
    private var storedVersion = Version.NONE

    /**
     * The machines that should be recorded, in the order in which they were added, since only the first so many fit
     * into the record: a recorded machine stays recorded until it is removed from here. If it made way for a machine
     * that was added later, followers could renew its lease again.
     */
    val pending = LinkedHashSet<MachineName>()

    /** Takes over the record of a former leader, as far as it names machines that are [known]. */
    fun load(
        record: Versioned<MachineSetRecord>,
        known: Set<MachineName>,
    ) {
        stored = record.value.machineNames
        storedVersion = record.version
        pending += stored.filter { it in known }
    }

    /** Adds the record to [transaction] if it has to change. */
    fun addTo(
        transaction: TransactionBuilder,
        machines: Set<MachineName>,
    ) {
        pending.retainAll(machines)
        val fitting = MachineSetRecord.fitting(pending, transaction.limits.valueBytes)
        if (fitting == stored) return
        transaction.revokeRenewals(fitting, storedVersion)
    }

    /** The record was written. */
    fun applied(
        machineNames: Set<MachineName>,
        version: Version,
    ) {
        stored = machineNames
        storedVersion = version
    }

    /** The record has this version, by a write with an indeterminate outcome or by another leader's. */
    fun resolve(version: Version) {
        storedVersion = version
        // Its contents are not known, so it is written again, and what it names counts as revoked from then.
        stored = UNKNOWN
    }

    private companion object {
        /** Differs from every set of machines that is to be recorded. */
        val UNKNOWN = setOf(MachineName(""))
    }
}
