package umberslip.store

import umberslip.http.Fields

/** The names that the key-value store's published protocol uses for paths, parameters and fields. */
internal object KeyValueStoreProtocol {
    const val KEYS_PATH = "/keys"
    const val CHANGES_PATH = "/changes"
    const val TRANSACTION_PATH = "/txn"
    const val LEASES_PATH = "/holds"
    const val RENEW = "renew"

    const val PREFIX = "under"
    const val AFTER = "after"
    const val PAGE_SIZE = "page"
    const val WAIT_MILLIS = "hold_ms"

    const val KEY = "path"
    const val VERSION = "stamp"
    const val DATA = "data"
    const val REVISION = "epoch"
    const val ENTRIES = "entries"
    const val HAS_MORE = "has_next"
    const val EVENTS = "events"
    const val PUT = "set"
    const val DELETE = "drop"

    const val PRECONDITIONS = "guards"
    const val WRITES = "writes"
    const val LEASE = "hold"
    const val TTL_MILLIS = "ttl_ms"
    const val FAILED_KEYS = "failed"
    const val ERROR = "error"
    const val NO_SUCH_LEASE = "no such lease"

    /** Parses an item of [ENTRIES], or the whole response to a request for one key. */
    fun parseEntry(fields: Fields): Entry = Entry(fields.text(KEY), fields.raw()[DATA], parseVersion(fields))

    /** Parses an item of [EVENTS]. */
    fun parseChange(fields: Fields): Change {
        val version = parseVersion(fields)
        val put = fields.textOrNull(PUT) ?: return Change.Delete(fields.text(DELETE), version)
        return Change.Put(put, fields.raw()[DATA], version)
    }

    private fun parseVersion(fields: Fields) = Version(fields.long(VERSION))

    /** Returns an item of [PRECONDITIONS]. */
    fun encodePrecondition(precondition: Precondition): Map<String, Any?> {
        val version = precondition.version.value
        return mapOf(KEY to precondition.key, VERSION to version)
    }

    /** Returns an item of [WRITES]. */
    fun encodeWrite(write: Write): Map<String, Any?> =
        when (write) {
            is Write.Delete -> mapOf(DELETE to write.key)
            is Write.Put ->
                buildMap {
                    put(PUT, write.key)
                    put(DATA, write.data)
                    write.lease?.let { put(LEASE, it.id) }
                }
        }
}
