package umberslip.records

import umberslip.core.MachineName
import umberslip.http.Fields

/**
 * A set of machines. The record at [Keys.REVOKED_RENEWALS] names the machines whose leases only the leader may renew.
 * A record at [Keys.followerRenewals] names the machines whose leases that follower renewed on the leader's behalf.
 */
data class MachineSetRecord(
    val machineNames: Set<MachineName>,
) {
    /** Returns the record in its stored form. */
    fun toMap(): Map<String, Any?> = mapOf(MACHINES to machineNames.map { it.value })

    companion object {
        private const val MACHINES = "hosts"

        /**
         * An upper bound of the JSON size of the field name and its brackets. The key-value store's limit for values
         * applies to the JSON form.
         */
        private const val FIXED_BYTES = 20

        /** The JSON size of the quotes and the comma of a name. */
        private const val ENTRY_BYTES = 3

        /**
         * Returns as many of the first [machineNames] as fit into a value of [valueBytes]. A cluster may have more
         * machines than fit.
         */
        fun fitting(
            machineNames: Collection<MachineName>,
            valueBytes: Int,
        ): Set<MachineName> {
            var bytes = FIXED_BYTES
            return machineNames
                .takeWhile {
                    bytes += it.value.length + ENTRY_BYTES
                    bytes <= valueBytes
                }.toSet()
        }

        /** @throws umberslip.http.MalformedMessageException naming the field that is invalid */
        fun parse(data: Any?): MachineSetRecord {
            val names = Fields.of(data).textsOrNull(MACHINES).orEmpty()
            return MachineSetRecord(names.mapTo(HashSet(), ::MachineName))
        }
    }
}
