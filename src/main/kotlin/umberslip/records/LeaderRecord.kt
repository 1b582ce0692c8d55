package umberslip.records

import umberslip.core.Term
import umberslip.http.Fields
import umberslip.store.StoreLease

/** The current leader, its term, and its lease in the key-value store. */
data class LeaderRecord(
    val member: String,
    val term: Term,
    val lease: StoreLease,
) {
    /** Returns the record in its stored form. */
    fun toMap(): Map<String, Any?> = mapOf(MEMBER to member, TERM to term.value, LEASE to lease.id)

    companion object {
        private const val MEMBER = "member"
        private const val TERM = "term"
        private const val LEASE = "hold"

        /** @throws umberslip.http.MalformedMessageException naming the field that is missing or invalid */
        fun parse(data: Any?): LeaderRecord {
            val fields = Fields.of(data, Keys.LEADER)
            return LeaderRecord(
                member = fields.text(MEMBER),
                term = Term(fields.long(TERM)),
                lease = StoreLease(fields.long(LEASE)),
            )
        }
    }
}
