package umberslip.records

import umberslip.http.MalformedMessageException
import umberslip.http.ServiceUnavailableException
import umberslip.store.Entry

/**
 * The record stored at [key] cannot be read for [reason]. It is neither used nor taken for absent, and nobody
 * overwrites it; what depends on it fails as if the key-value store did not serve the read.
 */
class MalformedRecordException(
    val key: String,
    val reason: String,
) : ServiceUnavailableException("the record at $key is malformed: $reason")

/** The entry's record as [parse] reads it. */
fun <T> Entry.parseRecord(parse: (Any?) -> T): T =
    try {
        parse(data)
    } catch (e: MalformedMessageException) {
        throw MalformedRecordException(key, e.message.orEmpty())
    }
