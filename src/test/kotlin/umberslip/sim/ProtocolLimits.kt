package umberslip.sim

import umberslip.cloud.InstanceType
import umberslip.cloud.Offer
import umberslip.core.MachineName
import umberslip.http.Documents
import umberslip.settings.StoreSettings
import umberslip.store.KeyValueStoreProtocol
import umberslip.store.Precondition
import umberslip.store.Write

/**
 * The limits that the protocol publishes for requests to the cloud and the key-value store and for responses to workers
 * and users. The functions describe what exceeds a limit, or return null if nothing does. The test doubles of these
 * services refuse such requests, and the scenario fails with the description.
 */
object ProtocolLimits {
    val MACHINES_PER_REQUEST = 1..50
    const val NAMES_PER_TERMINATION = 100
    const val MACHINES_PER_PAGE = 500

    /** The maximum size of a request, or of a response to a worker or user, as JSON. */
    const val BODY_BYTES = 64 * 1024
    const val ENTRIES_PER_PAGE = 1000

    /** The maximum size of a page of the key-value store, as JSON. */
    const val PAGE_BYTES = 512 * 1024
    private const val TRANSACTION_BYTES = 64 * 1024
    private const val PRECONDITIONS_PER_WRITE = 4
    private val KEY_BYTES = 1..200

    fun provisioningViolation(
        offer: Offer,
        number: Int,
        instanceTypes: List<InstanceType>,
    ): String? {
        val type = instanceTypes.find { it.label == offer.type }
        return when {
            number !in MACHINES_PER_REQUEST -> "a request for $number machines, $offer"
            type == null -> "a request for an unknown instance type, $offer"
            offer.zone !in type.zones -> "a request for a zone without that instance type, $offer"
            else -> null
        }
    }

    fun terminationViolation(machineNames: List<MachineName>): String? {
        if (machineNames.size <= NAMES_PER_TERMINATION) return null
        return "a termination of ${machineNames.size} machines"
    }

    fun transactionViolation(
        preconditions: List<Precondition>,
        writes: List<Write>,
        limits: StoreSettings,
    ): String? {
        val body =
            mapOf(
                KeyValueStoreProtocol.PRECONDITIONS to preconditions.map(KeyValueStoreProtocol::encodePrecondition),
                KeyValueStoreProtocol.WRITES to writes.map(KeyValueStoreProtocol::encodeWrite),
            )
        val bytes = Documents.jsonSize(body)
        return when {
            writes.size > limits.transactionOps -> "a transaction of ${writes.size} writes"
            preconditions.size > limits.transactionOps * PRECONDITIONS_PER_WRITE ->
                "a transaction of ${preconditions.size} preconditions"
            bytes > TRANSACTION_BYTES -> "a transaction of $bytes bytes"
            else ->
                preconditions.firstNotNullOfOrNull { keyViolation(it.key) }
                    ?: writes.firstNotNullOfOrNull { keyViolation(it.key) ?: value(it, limits) }
        }
    }

    private fun value(
        write: Write,
        limits: StoreSettings,
    ): String? {
        if (write !is Write.Put) return null
        val bytes = Documents.jsonSize(write.data)
        return if (bytes > limits.valueBytes) "the value of ${write.key}, of $bytes bytes" else null
    }

    fun keyViolation(key: String): String? {
        val bytes = key.toByteArray().size
        return if (bytes in KEY_BYTES && ' ' !in key) null else "a key of $bytes bytes: $key"
    }

    fun responseViolation(body: Any?): String? {
        val bytes = Documents.jsonSize(body)
        return if (bytes > BODY_BYTES) "a response of $bytes bytes" else null
    }
}
