package umberslip.records

import umberslip.core.MachineName
import umberslip.http.Fields
import java.time.Instant

/** A machine that a leader requested from the cloud and that sent no heartbeat yet. */
data class RecordedBootingMachine(
    val machineName: MachineName,
    val instanceType: String,
    val zone: String,
    val spot: Boolean,
    val requested: Instant,
)

/** A leader's booting machines, so that its successor does not request the same capacity again. */
data class BootingMachinesRecord(
    val machines: List<RecordedBootingMachine>,
) {
    /** The record as it is stored. */
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

        /** More than the record takes without machines, in JSON, which the limit of values counts. */
        private const val FIXED_BYTES = 100

        /** A machine's field names, quotes, brackets and numbers. */
        private const val ENTRY_BYTES = 80

        /** The first of [machines], as many as fit into a value. */
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
         * The machines of a stored record, each parsed when the sequence reaches it, so that those before a malformed
         * one can still be used.
         *
         * @throws umberslip.http.MalformedMessageException naming the field that is missing or invalid, here or at the
         * malformed machine
         */
        fun parse(data: Any?): Sequence<RecordedBootingMachine> =
            Fields.of(data, Keys.BOOTING_MACHINES).maps(MACHINES).asSequence().map { fields ->
                // The order of reading decides which of several malformed fields is reported.
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
