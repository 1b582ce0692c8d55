package umberslip.records

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertThrows
import org.junit.jupiter.api.Test
import umberslip.core.JobId
import umberslip.http.Fields
import umberslip.http.MalformedMessageException
import umberslip.sim.Fixtures
import java.math.BigInteger
import kotlin.random.Random

class JobSpecCodecTest {
    @Test
    fun `a malformed job specification is rejected`() {
        // The map is encoded and decoded as on the wire. As it stands, it has types of numbers that are never decoded,
        // and would be rejected for those alone.
        val valid = Fixtures.job(Random(1), 1).toMap()

        fun parse(map: Map<String, Any?>) = JobSpecCodec.parse(Fields.of(readBack(map)))
        parse(valid)
        for (
        (field, bad) in listOf(
            "uid" to "a b",
            "uid" to 5L,
            "pieces" to 0L,
            "pieces" to 100_001L,
            "pieces" to 2.5,
            "vcpus" to -1.0,
            "shape" to "round",
            "urgency" to null,
            "hosttypes" to "g8",
            "due_s" to "soon",
            "due_s" to -1.0,
            "expected_s" to Double.NaN,
            "expected_s" to 1e300,
            "image_gb" to BigInteger.TEN.pow(400),
            "memory_gb" to Double.POSITIVE_INFINITY,
            "one_zone" to 1L,
            "awaits" to "run-1",
            "awaits" to listOf(5L),
            "awaits" to listOf("a b"),
        )
        ) {
            assertThrows(MalformedMessageException::class.java, { parse(valid + (field to bad)) }, "$field $bad")
        }
        assertEquals(listOf(JobId("run-1")), parse(valid + ("awaits" to listOf("run-1", "run-1"))).dependencies)
        assertEquals(emptyList<JobId>(), parse(valid + ("awaits" to null)).dependencies)
        val optional = setOf("hosttypes", "hall", "due_s")
        for (field in valid.keys) {
            if (field in optional) {
                parse(valid - field)
            } else {
                assertThrows(MalformedMessageException::class.java, { parse(valid - field) }, "without $field")
            }
        }
    }
}
