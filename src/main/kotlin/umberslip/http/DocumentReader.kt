package umberslip.http

import com.fasterxml.jackson.core.JsonParser
import com.fasterxml.jackson.core.JsonToken

/**
 * Reads one document from front to back without making maps of it. Each call starts at the first token of a value and
 * ends at its last. Names of fields are only for the messages of [MalformedMessageException].
 */
class DocumentReader internal constructor(
    private val parser: JsonParser,
) {
    /** Calls [field] with the name of each field of a map; it has to read the value or skip it. */
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

    /** Calls [item] for each item of a list, to read it or skip it; null stands for an empty list. */
    fun list(item: () -> Unit) {
        if (isNull) return
        if (parser.currentToken() != JsonToken.START_ARRAY) throw MalformedMessageException("not a list")
        while (true) {
            val next = parser.nextToken() ?: throw MalformedMessageException("unfinished list")
            if (next == JsonToken.END_ARRAY) return
            item()
        }
    }

    /** Whether the value is null, which no other function but [list], [skip] and [value] accepts. */
    val isNull: Boolean get() = parser.currentToken() == JsonToken.VALUE_NULL

    fun text(name: String): String =
        if (parser.currentToken() == JsonToken.VALUE_STRING) {
            parser.text
        } else {
            throw MalformedMessageException("$name is not text")
        }

    /** A whole number that fits into 64 bits. */
    fun long(name: String): Long {
        val isLong =
            parser.currentToken() == JsonToken.VALUE_NUMBER_INT &&
                parser.numberType != JsonParser.NumberType.BIG_INTEGER
        return if (isLong) parser.longValue else throw MalformedMessageException("$name is not a whole number")
    }

    /** A finite number. */
    fun number(name: String): Double {
        if (parser.currentToken()?.isNumeric != true) throw MalformedMessageException("$name is not a number")
        val number = parser.doubleValue
        if (!number.isFinite()) throw MalformedMessageException("$name is not a finite number")
        return number
    }

    fun flag(name: String): Boolean =
        when (parser.currentToken()) {
            JsonToken.VALUE_TRUE -> true
            JsonToken.VALUE_FALSE -> false
            else -> throw MalformedMessageException("$name is not true or false")
        }

    /** Passes over the whole value. */
    fun skip() {
        parser.skipChildren()
    }

    /** The whole value as plain maps and lists; whole numbers are [Long] where they fit, others [Double]. */
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
