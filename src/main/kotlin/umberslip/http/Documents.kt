package umberslip.http

import com.fasterxml.jackson.core.JsonFactory
import com.fasterxml.jackson.core.JsonGenerator
import com.fasterxml.jackson.core.JsonParser
import com.fasterxml.jackson.core.JsonToken
import com.fasterxml.jackson.dataformat.cbor.CBORFactory
import java.io.ByteArrayOutputStream
import java.io.IOException
import java.math.BigInteger

/** Bodies are CBOR and settings JSON; both are read to, and written from, plain maps and lists. */
object Documents {
    private val cbor = CBORFactory()
    private val json = JsonFactory()

    /** Most documents fit, so the buffer seldom grows. */
    private const val BUFFER_BYTES = 256

    fun readCbor(bytes: ByteArray): Any? = readCbor(bytes) { it.value() }

    fun readJson(text: String): Any? = read({ json.createParser(text) }) { it.value() }

    /** Reads a document as it streams by, for what is read too often to become maps first. */
    fun <T> readCbor(
        bytes: ByteArray,
        with: (Streamed) -> T,
    ): T = read({ cbor.createParser(bytes) }, with)

    fun writeCbor(value: Any?): ByteArray {
        val out = ByteArrayOutputStream(BUFFER_BYTES)
        cbor.createGenerator(out).use { write(it, value) }
        return out.toByteArray()
    }

    fun writeJson(value: Any?): String {
        val out = ByteArrayOutputStream(BUFFER_BYTES)
        json.createGenerator(out).use { write(it, value) }
        return out.toString(Charsets.UTF_8)
    }

    /** The size that the protocol's limits count: that of the JSON form. */
    fun jsonSize(value: Any?): Int {
        val out = ByteArrayOutputStream(BUFFER_BYTES)
        json.createGenerator(out).use { write(it, value) }
        return out.size()
    }

    private fun <T> read(
        open: () -> JsonParser,
        with: (Streamed) -> T,
    ): T =
        try {
            open().use { parser ->
                if (parser.nextToken() == null) throw MalformedMessageException("empty document")
                val value = with(Streamed(parser))
                if (parser.nextToken() != null) throw MalformedMessageException("more than one document")
                value
            }
        } catch (e: IOException) {
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
            else -> throw IllegalArgumentException("cannot be written: ${value::class}")
        }
    }
}

/** Where a document is being read; each call begins at the first token of a value and ends at its last. */
class Streamed(
    private val parser: JsonParser,
) {
    /** Calls [field] at the value of each field of a map; it reads that value or skips it. */
    fun map(field: (String) -> Unit) {
        if (parser.currentToken() != JsonToken.START_OBJECT) throw MalformedMessageException("not a map")
        while (true) {
            val name = parser.nextToken() ?: throw MalformedMessageException("unfinished map")
            if (name == JsonToken.END_OBJECT) return
            if (name != JsonToken.FIELD_NAME) throw MalformedMessageException("a map's key is not text")
            val key = parser.currentName()
            if (parser.nextToken() == null) throw MalformedMessageException("unfinished map")
            field(key)
        }
    }

    /** Calls [item] at each item of a list; null stands for an empty one. */
    fun list(item: () -> Unit) {
        if (isNull) return
        if (parser.currentToken() != JsonToken.START_ARRAY) throw MalformedMessageException("not a list")
        while (true) {
            val next = parser.nextToken() ?: throw MalformedMessageException("unfinished list")
            if (next == JsonToken.END_ARRAY) return
            item()
        }
    }

    val isNull: Boolean get() = parser.currentToken() == JsonToken.VALUE_NULL

    fun text(name: String): String =
        if (parser.currentToken() == JsonToken.VALUE_STRING) {
            parser.text
        } else {
            throw MalformedMessageException("$name is not text")
        }

    fun long(name: String): Long {
        val whole =
            parser.currentToken() == JsonToken.VALUE_NUMBER_INT &&
                parser.numberType != JsonParser.NumberType.BIG_INTEGER
        return if (whole) parser.longValue else throw MalformedMessageException("$name is not a whole number")
    }

    fun number(name: String): Double {
        if (parser.currentToken()?.isNumeric != true) throw MalformedMessageException("$name is not a number")
        return parser.doubleValue.also { if (!it.isFinite()) throw MalformedMessageException("$name is not a finite number") }
    }

    fun flag(name: String): Boolean =
        when (parser.currentToken()) {
            JsonToken.VALUE_TRUE -> true
            JsonToken.VALUE_FALSE -> false
            else -> throw MalformedMessageException("$name is not true or false")
        }

    fun skip() {
        parser.skipChildren()
    }

    /** The whole value, as plain maps and lists. */
    fun value(): Any? =
        when (val token = parser.currentToken()) {
            JsonToken.START_OBJECT -> LinkedHashMap<String, Any?>().also { map -> map { map[it] = value() } }
            JsonToken.START_ARRAY -> ArrayList<Any?>().also { list -> list { list.add(value()) } }
            JsonToken.VALUE_STRING -> parser.text
            JsonToken.VALUE_NUMBER_INT -> {
                if (parser.numberType == JsonParser.NumberType.BIG_INTEGER) parser.bigIntegerValue else parser.longValue
            }
            JsonToken.VALUE_NUMBER_FLOAT -> parser.doubleValue
            JsonToken.VALUE_TRUE -> true
            JsonToken.VALUE_FALSE -> false
            JsonToken.VALUE_NULL -> null
            else -> throw MalformedMessageException("unexpected $token")
        }
}

/** A map whose fields are asked for by name and kind; what is missing or wrong is named in the complaint. */
class Fields private constructor(
    private val map: Map<*, *>,
    private val where: String,
) {
    val names: Set<String> get() = map.keys.filterIsInstance<String>().toSet()

    fun has(name: String): Boolean = map[name] != null

    fun text(name: String): String = textOrNull(name) ?: missing(name)

    fun textOrNull(name: String): String? = map[name]?.let { it as? String ?: wrong(name, "text") }

    fun long(name: String): Long = longOrNull(name) ?: missing(name)

    fun longOrNull(name: String): Long? =
        when (val it = map[name]) {
            null -> null
            is Long -> it
            else -> wrong(name, "a whole number")
        }

    fun number(name: String): Double = numberOrNull(name) ?: missing(name)

    fun numberOrNull(name: String): Double? =
        when (val it = map[name]) {
            null -> null
            is Double -> if (it.isFinite()) it else wrong(name, "a finite number")
            is Long -> it.toDouble()
            is BigInteger -> it.toDouble().also { n -> if (!n.isFinite()) wrong(name, "a finite number") }
            else -> wrong(name, "a number")
        }

    fun flag(name: String): Boolean = flagOrNull(name) ?: missing(name)

    fun flagOrNull(name: String): Boolean? = map[name]?.let { it as? Boolean ?: wrong(name, "true or false") }

    fun map(name: String): Fields = (map[name] ?: missing(name)).let { of(it, path(name)) }

    fun list(name: String): List<*> = listOrNull(name) ?: missing(name)

    fun listOrNull(name: String): List<*>? = map[name]?.let { it as? List<*> ?: wrong(name, "a list") }

    fun maps(name: String): List<Fields> = list(name).mapIndexed { i, item -> of(item, "${path(name)}[$i]") }

    fun mapsOrEmpty(name: String): List<Fields> = if (has(name)) maps(name) else emptyList()

    fun textsOrNull(name: String): List<String>? {
        val items = listOrNull(name) ?: return null
        return items.map { it as? String ?: wrong(name, "a list of texts") }
    }

    fun path(name: String): String = if (where.isEmpty()) name else "$where.$name"

    fun raw(): Map<*, *> = map

    private fun missing(name: String): Nothing = throw MalformedMessageException("${path(name)} is missing")

    private fun wrong(
        name: String,
        kind: String,
    ): Nothing = throw MalformedMessageException("${path(name)} is not $kind")

    companion object {
        fun of(
            value: Any?,
            where: String = "",
        ): Fields =
            Fields(
                value as? Map<*, *>
                    ?: throw MalformedMessageException("${where.ifEmpty { "document" }} is not a map"),
                where,
            )
    }
}
