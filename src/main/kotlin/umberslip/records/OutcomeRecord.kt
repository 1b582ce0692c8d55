package umberslip.records

import umberslip.http.Fields
import umberslip.http.MalformedMessageException

/** How a job finished. */
enum class JobOutcome {
    DONE,
    CANCELLED,
}

/** The outcome of a finished job and its number of [tasks]. The record never changes once it is written. */
data class OutcomeRecord(
    val outcome: JobOutcome,
    val tasks: Int,
) {
    /** Returns the record in its stored form. */
    fun toMap(): Map<String, Any?> = mapOf(OUTCOME to OUTCOME_NAMES.getValue(outcome), TASKS to tasks)

    companion object {
        private const val OUTCOME = "status"
        private const val TASKS = "pieces"
        private val OUTCOMES = mapOf("done" to JobOutcome.DONE, "aborted" to JobOutcome.CANCELLED)
        private val OUTCOME_NAMES = OUTCOMES.entries.associate { (name, outcome) -> outcome to name }

        /** @throws MalformedMessageException naming the field that is missing or invalid */
        fun parse(data: Any?): OutcomeRecord {
            val fields = Fields.of(data)
            val name = fields.text(OUTCOME)
            val outcome = OUTCOMES[name] ?: throw MalformedMessageException("$OUTCOME has the unknown value $name")
            return OutcomeRecord(outcome, fields.long(TASKS).toInt())
        }
    }
}
