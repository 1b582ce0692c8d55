package umberslip.http

import java.math.BigInteger

/**
 * Reads the fields of a map by name and type. A field that is missing or of another type causes a
 * [MalformedMessageException] with the field's path in the document. A field that is null counts as missing.
 */
class Fields private constructor(
    private val map: Map<*, *>,
    private val where: String,
) {
    fun has(name: String): Boolean = map[name] != null

    fun text(name: String): String = textOrNull(name) ?: missing(name)

    fun textOrNull(name: String): String? = map[name]?.let { it as? String ?: wrongType(name, "text") }

    /** Returns an integer that fits into 64 bits. */
    fun long(name: String): Long = longOrNull(name) ?: missing(name)

    fun longOrNull(name: String): Long? =
        when (val it = map[name]) {
            null -> null
            is Long -> it
            else -> wrongType(name, "a whole number")
        }

    /** Returns a finite number. */
    fun number(name: String): Double = numberOrNull(name) ?: missing(name)

    fun numberOrNull(name: String): Double? =
        when (val it = map[name]) {
            null -> null
            is Double -> if (it.isFinite()) it else wrongType(name, "a finite number")
            is Long -> it.toDouble()
            is BigInteger -> it.toDouble().also { n -> if (!n.isFinite()) wrongType(name, "a finite number") }
            else -> wrongType(name, "a number")
        }

    fun flag(name: String): Boolean = flagOrNull(name) ?: missing(name)

    fun flagOrNull(name: String): Boolean? = map[name]?.let { it as? Boolean ?: wrongType(name, "true or false") }

    /** Returns the fields of a map nested in this one. */
    fun map(name: String): Fields = (map[name] ?: missing(name)).let { of(it, path(name)) }

    fun list(name: String): List<*> = listOrNull(name) ?: missing(name)

    fun listOrNull(name: String): List<*>? = map[name]?.let { it as? List<*> ?: wrongType(name, "a list") }

    /** Returns the fields of each map in a list. */
    fun maps(name: String): List<Fields> = list(name).mapIndexed { i, item -> of(item, "${path(name)}[$i]") }

    fun mapsOrEmpty(name: String): List<Fields> = if (has(name)) maps(name) else emptyList()

    fun textsOrNull(name: String): List<String>? {
        val items = listOrNull(name) ?: return null
        return items.map { it as? String ?: wrongType(name, "a list of texts") }
    }

    /** Returns the path of a field in the document, for messages. */
    fun path(name: String): String = if (where.isEmpty()) name else "$where.$name"

    /** Returns the underlying map, for fields of any type. */
    fun raw(): Map<*, *> = map

    private fun missing(name: String): Nothing = throw MalformedMessageException("${path(name)} is missing")

    private fun wrongType(
        name: String,
        expected: String,
    ): Nothing = throw MalformedMessageException("${path(name)} is not $expected")

    companion object {
        /** Returns the fields of [value], which must be a map. [where] is its path in the document, for messages. */
        fun of(
            value: Any?,
            where: String = "",
        ): Fields {
            val map = value as? Map<*, *>
            if (map == null) throw MalformedMessageException("${where.ifEmpty { "document" }} is not a map")
            return Fields(map, where)
        }
    }
}
