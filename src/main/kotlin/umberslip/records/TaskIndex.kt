package umberslip.records

import umberslip.http.MalformedMessageException

/** A stored task index; one that no job can have would be used as an array index later, far from its record. */
internal fun taskIndex(
    field: String,
    value: Long,
): Int {
    if (value !in 0 until JobSpecCodec.MAX_TASKS) throw MalformedMessageException("$field has the task index $value")
    return value.toInt()
}
