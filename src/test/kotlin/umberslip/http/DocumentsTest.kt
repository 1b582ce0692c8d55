package umberslip.http

import io.kotest.property.Arb
import io.kotest.property.PropTestConfig
import io.kotest.property.arbitrary.bind
import io.kotest.property.arbitrary.boolean
import io.kotest.property.arbitrary.byte
import io.kotest.property.arbitrary.byteArray
import io.kotest.property.arbitrary.choice
import io.kotest.property.arbitrary.constant
import io.kotest.property.arbitrary.int
import io.kotest.property.arbitrary.list
import io.kotest.property.arbitrary.long
import io.kotest.property.arbitrary.map
import io.kotest.property.arbitrary.numericDouble
import io.kotest.property.arbitrary.string
import io.kotest.property.checkAll
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertThrows
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

class DocumentsTest {
    private val seededConfig = PropTestConfig(seed = 4711, iterations = 300)
    private val leaf: Arb<Any?> =
        Arb.choice(Arb.long(), Arb.numericDouble(-1e9, 1e9), Arb.boolean(), Arb.string(0, 12), Arb.constant(null))
    private val document: Arb<Any?> =
        Arb.bind(Arb.list(leaf, 0..5), leaf) { list, one -> mapOf("list" to list, "map" to mapOf("one" to one)) }

    @Test
    fun `a document written as CBOR is read back unchanged`() =
        runBlocking<Unit> {
            checkAll(seededConfig, document) { assertEquals(it, Documents.readCbor(Documents.writeCbor(it))) }
        }

    @Test
    fun `reading arbitrary bytes either succeeds or throws MalformedMessageException`() =
        runBlocking<Unit> {
            var malformed = 0
            checkAll(seededConfig, Arb.byteArray(Arb.int(0..60), Arb.byte())) {
                try {
                    Documents.readCbor(it)
                } catch (e: MalformedMessageException) {
                    malformed++
                }
            }
            assertTrue(malformed > 50)
        }

    @Test
    fun `reading a truncated document throws MalformedMessageException`() =
        runBlocking<Unit> {
            checkAll(seededConfig, document.map { Documents.writeCbor(it) }) { bytes ->
                assertThrows(MalformedMessageException::class.java) { Documents.readCbor(bytes.copyOf(bytes.size - 1)) }
            }
        }

    @Test
    fun `MalformedMessageException names the field`() {
        val fields = Fields.of(mapOf("a" to mapOf("b" to "text", "n" to 1.5, "huge" to Double.NaN))).map("a")

        fun message(read: (Fields) -> Unit): String? {
            val failure = assertThrows(MalformedMessageException::class.java) { read(fields) }
            return failure.message
        }
        assertEquals("a.c is missing", message { it.text("c") })
        assertEquals("a.b is not a number", message { it.number("b") })
        assertEquals("a.n is not a whole number", message { it.long("n") })
        assertEquals("a.huge is not a finite number", message { it.number("huge") })
    }
}
