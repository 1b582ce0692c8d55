package umberslip.http

import com.fasterxml.jackson.core.JsonParser
import com.fasterxml.jackson.core.JsonToken

/**
 * Reads one document sequentially without building maps. Each function starts at the first token of a value and ends at
 * its last token. Field names are passed in only for the messages of [MalformedMessageException].
 */
class DocumentReader internal constructor(
    private val parser: JsonParser,
) {
    /** Calls [readField], which must read or skip the value, with the name of each field of a map. */
    fun map(readField: (String) -> Unit) {
        if (parser.currentToken() != JsonToken.START_OBJECT) throw MalformedMessageException("not a map")
        while (true) {
            val name = parser.nextToken() ?: throw MalformedMessageException("unfinished map")
            if (name == JsonToken.END_OBJECT) return
            if (name != JsonToken.FIELD_NAME) throw MalformedMessageException("a map's key is not text")
            val key = parser.currentName()
            if (parser.nextToken() == null) throw MalformedMessageException("unfinished map")
            readField(key)
        }
    }

    /** Calls [readItem], which must read or skip the item, for each item of a list. Null is read as an empty list. */
    fun list(readItem: () -> Unit) {
        if (isNull) return
        if (parser.currentToken() != JsonToken.START_ARRAY) throw MalformedMessageException("not a list")
        while (true) {
            val next = parser.nextToken() ?: throw MalformedMessageException("unfinished list")
            if (next == JsonToken.END_ARRAY) return
            readItem()
        }
    }

    /** Whether the value is null. Only [list], [skip] and [value] accept null. */
    val isNull: Boolean get() = parser.currentToken() == JsonToken.VALUE_NULL

    fun text(name: String): String =
        if (parser.currentToken() == JsonToken.VALUE_STRING) {
            parser.text
        } else {
            throw MalformedMessageException("$name is not text")
        }

    /** Reads an integer that fits into 64 bits. */
    fun long(name: String): Long {
        val isLong =
            parser.currentToken() == JsonToken.VALUE_NUMBER_INT &&
                parser.numberType != JsonParser.NumberType.BIG_INTEGER
        return if (isLong) parser.longValue else throw MalformedMessageException("$name is not a whole number")
    }

    /** Reads a finite number. */
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

    /** Skips the whole value. */
    fun skip() {
        parser.skipChildren()
    }

    /**
     * Reads the whole value as plain maps and lists. Integers are [Long], or [java.math.BigInteger] if they do not fit;
     * other numbers are [Double].
     */
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
