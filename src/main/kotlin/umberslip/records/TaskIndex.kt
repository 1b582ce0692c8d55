package umberslip.records

import umberslip.http.MalformedMessageException

/**
 * Checks and returns a stored task index. An index that no job can have is rejected here, because it would otherwise be
 * used as an array index later, far from the record that it came from.
 *
 * @throws MalformedMessageException naming the [field], if the index is out of range
 */
internal fun parseTaskIndex(
    field: String,
    value: Long,
): Int {
    if (value !in 0 until JobSpecCodec.MAX_TASKS) throw MalformedMessageException("$field: invalid task index $value")
    return value.toInt()
}
