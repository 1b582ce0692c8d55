package umberslip.records

import umberslip.core.Term
import umberslip.http.Fields

/** The highest term that was ever used; it outlives the leader's record, so that terms only rise. */
data class TermRecord(
    val term: Term,
) {
    /** The record as it is stored. */
    fun toMap(): Map<String, Any?> = mapOf(TERM to term.value)

    companion object {
        private const val TERM = "term"

        /** @throws umberslip.http.MalformedMessageException naming the field that is missing or invalid */
        fun parse(data: Any?): TermRecord = TermRecord(Term(Fields.of(data, Keys.TERM).long(TERM)))
    }
}
