package umberslip.records

import io.kotest.property.PropTestConfig
import umberslip.core.MachineName
import umberslip.http.Documents
import kotlin.random.Random

internal val propertyTestConfig = PropTestConfig(seed = 99, iterations = 200)

/** Returns the record as it is read back from the key-value store. */
internal fun readBack(record: Map<String, Any?>): Any? = Documents.readCbor(Documents.writeCbor(record))

internal fun placements(
    random: Random,
    firstIndex: Int,
    count: Int,
) = List(count) {
    Placement(
        firstIndex + it,
        random.nextLong(1, 1L shl 40),
        MachineName("host-%06d".format(random.nextInt(1_000_000))),
    )
}
