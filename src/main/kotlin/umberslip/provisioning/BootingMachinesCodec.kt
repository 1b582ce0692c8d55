package umberslip.provisioning

import umberslip.cloud.Offer
import umberslip.core.MachineName
import umberslip.http.Fields
import umberslip.http.MalformedMessageException
import umberslip.records.Keys
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * The record of booting machines as it is stored. Its times are those of the wall clock, since a leader's steady clock
 * means nothing to the next one.
 */
internal object BootingMachinesCodec {
    private const val MACHINES = "booting"
    private const val NAME = "host"
    private const val INSTANCE_TYPE = "type"
    private const val ZONE = "zone"
    private const val SPOT = "spot"
    private const val SINCE_EPOCH_MILLIS = "since_ms"

    /** More than a record without machines takes. */
    private const val RECORD_BYTES = 100

    /** More than a machine takes besides its name, type and zone. */
    private const val MACHINE_BYTES = 80

    /**
     * As many of [machines], from the first on, as fit into [maxBytes]. [epochMillis] is the wall clock's time at the
     * zero of the steady clock.
     */
    fun encode(
        machines: Collection<BootingMachine>,
        epochMillis: Long,
        maxBytes: Int,
    ): Map<String, Any?> {
        var bytes = RECORD_BYTES
        val fitting =
            machines.takeWhile {
                bytes += MACHINE_BYTES + it.name.value.length + it.offer.type.length + it.offer.zone.length
                bytes <= maxBytes
            }
        return mapOf(MACHINES to fitting.map { encode(it, epochMillis) })
    }

    private fun encode(
        machine: BootingMachine,
        epochMillis: Long,
    ): Map<String, Any?> =
        mapOf(
            NAME to machine.name.value,
            INSTANCE_TYPE to machine.offer.type,
            ZONE to machine.offer.zone,
            SPOT to machine.offer.spot,
            SINCE_EPOCH_MILLIS to epochMillis + machine.since.inWholeMilliseconds,
        )

    /**
     * Reads as the sequence is iterated, so that the machines before an unreadable one are still had; that one throws
     * [MalformedMessageException]. [now] and [nowEpochMillis] are the same moment by both clocks.
     */
    fun decode(
        record: Any,
        now: Duration,
        nowEpochMillis: Long,
    ): Sequence<BootingMachine> =
        Fields.of(record, Keys.BOOTING_MACHINES).maps(MACHINES).asSequence().map { machine ->
            val age = (nowEpochMillis - machine.long(SINCE_EPOCH_MILLIS)).milliseconds
            val name = MachineName(machine.text(NAME))
            val offer = Offer(machine.text(INSTANCE_TYPE), machine.text(ZONE), machine.flag(SPOT))
            BootingMachine(name, offer, now - age)
        }
}
