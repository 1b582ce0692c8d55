package umberslip.records

import io.kotest.property.PropTestConfig
import umberslip.core.MachineName
import umberslip.http.Documents
import kotlin.random.Random

internal val propertyTests = PropTestConfig(seed = 99, iterations = 200)

/** A record as it comes back from the key-value store. */
internal fun readBack(record: Map<String, Any?>): Any? = Documents.readCbor(Documents.writeCbor(record))

internal fun placements(
    random: Random,
    from: Int,
    count: Int,
) = List(count) {
    Placement(
        from + it,
        random.nextLong(1, 1L shl 40),
        MachineName("host-%06d".format(random.nextInt(1_000_000))),
    )
}
