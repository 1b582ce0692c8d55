package umberslip.records

import umberslip.core.MachineName
import umberslip.http.Fields
import java.time.Instant

/** A machine that a leader requested from the cloud and that has not sent a heartbeat yet. */
data class RecordedBootingMachine(
    val machineName: MachineName,
    val instanceType: String,
    val zone: String,
    val spot: Boolean,
    val requested: Instant,
)

/** The booting machines of a leader, stored so that the next leader does not request the same capacity again. */
data class BootingMachinesRecord(
    val machines: List<RecordedBootingMachine>,
) {
    /** Returns the record in its stored form. */
    fun toMap(): Map<String, Any?> =
        mapOf(
            MACHINES to
                machines.map {
                    mapOf(
                        MACHINE_NAME to it.machineName.value,
                        INSTANCE_TYPE to it.instanceType,
                        ZONE to it.zone,
                        SPOT to it.spot,
                        REQUESTED_MILLIS to it.requested.toEpochMilli(),
                    )
                },
        )

    companion object {
        private const val MACHINES = "booting"
        private const val MACHINE_NAME = "host"
        private const val INSTANCE_TYPE = "type"
        private const val ZONE = "zone"
        private const val SPOT = "spot"
        private const val REQUESTED_MILLIS = "since_ms"

        /**
         * An upper bound of the JSON size of a record without machines. The key-value store's limit for values applies
         * to the JSON form.
         */
        private const val FIXED_BYTES = 100

        /** An upper bound of the JSON size of a machine's field names, quotes, brackets and numbers. */
        private const val ENTRY_BYTES = 80

        /** Returns a record of as many of the first [machines] as fit into a value of [valueBytes]. */
        fun fitting(
            machines: Collection<RecordedBootingMachine>,
            valueBytes: Int,
        ): BootingMachinesRecord {
            var bytes = FIXED_BYTES
            return BootingMachinesRecord(
                machines.takeWhile {
                    bytes += ENTRY_BYTES + it.machineName.value.length + it.instanceType.length + it.zone.length
                    bytes <= valueBytes
                },
            )
        }

        /**
         * Returns the machines of a stored record. Each machine is parsed when the sequence reaches it, so that the
         * machines before a malformed one can still be used.
         *
         * @throws umberslip.http.MalformedMessageException naming the field that is missing or invalid; thrown by this
         * function, or by the sequence when it reaches a malformed machine
         */
        fun parse(data: Any?): Sequence<RecordedBootingMachine> =
            Fields.of(data, Keys.BOOTING_MACHINES).maps(MACHINES).asSequence().map { fields ->
                // If several fields are malformed, the one that is read first is reported.
                val requested = Instant.ofEpochMilli(fields.long(REQUESTED_MILLIS))
                RecordedBootingMachine(
                    machineName = MachineName(fields.text(MACHINE_NAME)),
                    instanceType = fields.text(INSTANCE_TYPE),
                    zone = fields.text(ZONE),
                    spot = fields.flag(SPOT),
                    requested = requested,
                )
            }
    }
}
