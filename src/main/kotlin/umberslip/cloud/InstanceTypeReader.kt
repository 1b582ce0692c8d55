package umberslip.cloud

import org.slf4j.LoggerFactory
import umberslip.http.Fields
import umberslip.http.MalformedMessageException
import kotlin.time.Duration.Companion.seconds

/** Reads the cloud's instance types. An invalid instance type is ignored; the others are still read. */
internal object InstanceTypeReader {
    private val LOG = LoggerFactory.getLogger("umberslip.cloud")

    /** @throws MalformedMessageException if [document] contains no list of instance types */
    fun read(document: Fields): List<InstanceType> =
        document.list(CloudProtocol.INSTANCE_TYPES).mapNotNull { item ->
            try {
                instanceType(Fields.of(item, CloudProtocol.INSTANCE_TYPES))
            } catch (e: MalformedMessageException) {
                LOG.error("invalid instance type ignored: reason={} type={}", e.message, item)
                null
            }
        }

    private fun instanceType(fields: Fields) =
        InstanceType(
            label = fields.text(CloudProtocol.LABEL),
            cpus = positiveNumber(fields, CloudProtocol.CPUS),
            gpus = fields.numberOrNull(CloudProtocol.GPUS) ?: 0.0,
            memoryGb = fields.number(CloudProtocol.MEMORY_GB),
            fetchGbPerSecond = fields.numberOrNull(CloudProtocol.FETCH_GB_PER_SECOND) ?: 1.0,
            price = nonNegativeNumber(fields, CloudProtocol.PRICE),
            spotPrice = nonNegativeNumber(fields, CloudProtocol.SPOT_PRICE),
            boot = fields.number(CloudProtocol.BOOT_SECONDS).seconds,
            zones = fields.textsOrNull(CloudProtocol.ZONES) ?: emptyList(),
        )

    private fun positiveNumber(
        fields: Fields,
        name: String,
    ): Double = fields.number(name).also { if (it <= 0) throwOutOfRange(fields, name, it) }

    private fun nonNegativeNumber(
        fields: Fields,
        name: String,
    ): Double = fields.number(name).also { if (it < 0) throwOutOfRange(fields, name, it) }

    private fun throwOutOfRange(
        fields: Fields,
        name: String,
        value: Double,
    ): Nothing = throw MalformedMessageException("${fields.path(name)} is out of range: $value")
}
