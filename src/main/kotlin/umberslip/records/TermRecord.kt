package umberslip.records

import umberslip.core.Term
import umberslip.http.Fields

/** The highest term that was ever used. It is kept when the leader's record is removed, so that terms only increase. */
data class TermRecord(
    val term: Term,
) {
    /** Returns the record in its stored form. */
    fun toMap(): Map<String, Any?> = mapOf(TERM to term.value)

    companion object {
        private const val TERM = "term"

        /** @throws umberslip.http.MalformedMessageException naming the field that is missing or invalid */
        fun parse(data: Any?): TermRecord = TermRecord(Term(Fields.of(data, Keys.TERM).long(TERM)))
    }
}
