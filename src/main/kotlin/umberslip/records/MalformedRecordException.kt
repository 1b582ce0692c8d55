package umberslip.records

import umberslip.http.MalformedMessageException
import umberslip.http.ServiceUnavailableException
import umberslip.store.Entry

/**
 * Thrown if the record stored at [key] cannot be parsed, for the given [reason]. Such a record is neither used nor
 * treated as absent, and no controller overwrites it. An operation that depends on it fails in the same way as if the
 * key-value store had refused the read.
 */
class MalformedRecordException(
    val key: String,
    val reason: String,
) : ServiceUnavailableException("the record at $key is malformed: $reason")

/**
 * Returns the entry's record, read by [parse].
 *
 * @throws MalformedRecordException if [parse] throws a [MalformedMessageException]
 */
fun <T> Entry.parseRecord(parse: (Any?) -> T): T =
    try {
        parse(data)
    } catch (e: MalformedMessageException) {
        throw MalformedRecordException(key, e.message.orEmpty())
    }
