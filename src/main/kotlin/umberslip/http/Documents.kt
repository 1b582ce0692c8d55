package umberslip.http

import com.fasterxml.jackson.core.JsonFactory
import com.fasterxml.jackson.core.JsonGenerator
import com.fasterxml.jackson.core.JsonParser
import com.fasterxml.jackson.dataformat.cbor.CBORFactory
import java.io.ByteArrayOutputStream
import java.io.IOException
import java.math.BigInteger

/**
 * Bodies are CBOR and settings JSON; both are read to, and written from, plain maps and lists. What cannot be read is
 * a [MalformedMessageException].
 */
object Documents {
    private val cbor = CBORFactory()
    private val json = JsonFactory()

    /** Most documents fit, so the buffer seldom grows. */
    private const val BUFFER_BYTES = 256

    /** The document as plain maps and lists; whole numbers are [Long] where they fit. */
    fun readCbor(bytes: ByteArray): Any? = readCbor(bytes) { it.value() }

    /** As [readCbor]. */
    fun readJson(text: String): Any? = read({ json.createParser(text) }) { it.value() }

    /** Reads a document with a [DocumentReader], for what is read too often to become maps first. */
    fun <T> readCbor(
        bytes: ByteArray,
        with: (DocumentReader) -> T,
    ): T = read({ cbor.createParser(bytes) }, with)

    /** Writes maps with text as keys, lists, texts, numbers, truth values and null. */
    fun writeCbor(value: Any?): ByteArray {
        val out = ByteArrayOutputStream(BUFFER_BYTES)
        cbor.createGenerator(out).use { write(it, value) }
        return out.toByteArray()
    }

    /** As [writeCbor]. */
    fun writeJson(value: Any?): String = jsonBytes(value).toString(Charsets.UTF_8)

    /** The size that the protocol's limits count: the bytes of the JSON form. */
    fun jsonSize(value: Any?): Int = jsonBytes(value).size()

    private fun jsonBytes(value: Any?): ByteArrayOutputStream {
        val out = ByteArrayOutputStream(BUFFER_BYTES)
        json.createGenerator(out).use { write(it, value) }
        return out
    }

    private fun <T> read(
        open: () -> JsonParser,
        with: (DocumentReader) -> T,
    ): T =
        try {
            open().use { parser ->
                if (parser.nextToken() == null) throw MalformedMessageException("empty document")
                val value = with(DocumentReader(parser))
                if (parser.nextToken() != null) throw MalformedMessageException("more than one document")
                value
            }
        } catch (e: IOException) {
            // The other lines only name the parser's source.
            throw MalformedMessageException("unreadable document: ${e.message?.lineSequence()?.first()}")
        } catch (e: ArithmeticException) {
            throw MalformedMessageException("number out of range")
        }

    private fun write(
        out: JsonGenerator,
        value: Any?,
    ) {
        when (value) {
            null -> out.writeNull()
            is String -> out.writeString(value)
            is Int -> out.writeNumber(value)
            is Long -> out.writeNumber(value)
            is BigInteger -> out.writeNumber(value)
            is Double -> out.writeNumber(value)
            is Boolean -> out.writeBoolean(value)
            is Map<*, *> -> {
                out.writeStartObject()
                for ((key, item) in value) {
                    out.writeFieldName(key as String)
                    write(out, item)
                }
                out.writeEndObject()
            }
            is List<*> -> {
                out.writeStartArray()
                for (item in value) write(out, item)
                out.writeEndArray()
            }
            else -> throw IllegalArgumentException("a document cannot have a ${value::class}")
        }
    }
}
