package umberslip.records

import umberslip.core.MachineName
import umberslip.http.Fields

/**
 * A set of machines: those with revoked lease renewals, whose leases only the leader may renew, or those whose leases
 * a follower renewed on the leader's behalf.
 */
data class MachineSetRecord(
    val machineNames: Set<MachineName>,
) {
    /** The record as it is stored. */
    fun toMap(): Map<String, Any?> = mapOf(MACHINES to machineNames.map { it.value })

    companion object {
        private const val MACHINES = "hosts"

        /** More than the field name and its brackets take in JSON, which the limit of values counts. */
        private const val FIXED_BYTES = 20

        /** The quotes and the comma of a name. */
        private const val ENTRY_BYTES = 3

        /** The first of [machineNames], as many as fit into a value: a cluster may have more than that. */
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
