package umberslip.http

import com.fasterxml.jackson.core.JsonFactory
import com.fasterxml.jackson.core.JsonGenerator
import com.fasterxml.jackson.core.JsonParser
import com.fasterxml.jackson.dataformat.cbor.CBORFactory
import java.io.ByteArrayOutputStream
import java.io.IOException
import java.math.BigInteger

/**
 * Reads and writes documents as plain maps and lists: message bodies are CBOR, settings are JSON. Reading throws a
 * [MalformedMessageException] if a document is malformed.
 */
object Documents {
    private val cbor = CBORFactory()
    private val json = JsonFactory()

    /** Large enough for most documents, so the buffer seldom grows. */
    private const val BUFFER_BYTES = 256

    /** Reads a CBOR document as plain maps and lists. Integers are [Long] if they fit. */
    fun readCbor(bytes: ByteArray): Any? = readCbor(bytes) { it.value() }

    /** Reads a JSON document as [readCbor] reads CBOR. */
    fun readJson(text: String): Any? = read({ json.createParser(text) }) { it.value() }

    /** Reads a CBOR document with a [DocumentReader]; for documents that are read too often to build maps of them. */
    fun <T> readCbor(
        bytes: ByteArray,
        parse: (DocumentReader) -> T,
    ): T = read({ cbor.createParser(bytes) }, parse)

    /** Writes maps with string keys, lists, strings, numbers, booleans and null as CBOR. */
    fun writeCbor(value: Any?): ByteArray {
        val out = ByteArrayOutputStream(BUFFER_BYTES)
        cbor.createGenerator(out).use { write(it, value) }
        return out.toByteArray()
    }

    /** Writes as JSON what [writeCbor] writes as CBOR. */
    fun writeJson(value: Any?): String = jsonBytes(value).toString(Charsets.UTF_8)

    /** Returns the size to which the protocol's limits apply: that of the document in JSON, in bytes. */
    fun jsonSize(value: Any?): Int = jsonBytes(value).size()

    private fun jsonBytes(value: Any?): ByteArrayOutputStream {
        val out = ByteArrayOutputStream(BUFFER_BYTES)
        json.createGenerator(out).use { write(it, value) }
        return out
    }

    private fun <T> read(
        open: () -> JsonParser,
        parse: (DocumentReader) -> T,
    ): T =
        try {
            open().use { parser ->
                if (parser.nextToken() == null) throw MalformedMessageException("empty document")
                val value = parse(DocumentReader(parser))
                if (parser.nextToken() != null) throw MalformedMessageException("more than one document")
                value
            }
        } catch (e: IOException) {
            // The further lines of the message only name the parser's source.
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
            else -> throw IllegalArgumentException("unsupported type in a document: ${value::class}")
        }
    }
}
