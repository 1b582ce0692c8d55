package umberslip.records

import umberslip.core.JobSpec
import umberslip.http.Fields
import java.time.Instant

/** An accepted job that has not finished, or a cancelled one that still has tasks on machines. */
data class JobRecord(
    val spec: JobSpec,
    val submitted: Instant,
    val cancelled: Boolean,
) {
    /** Returns the record in its stored form. */
    fun toMap(): Map<String, Any?> =
        mapOf(
            SPEC to spec.toMap(),
            SUBMITTED_MILLIS to submitted.toEpochMilli(),
            CANCELLED to cancelled,
        )

    companion object {
        private const val SPEC = "spec"
        private const val SUBMITTED_MILLIS = "submitted_ms"
        private const val CANCELLED = "cancelled"

        /** @throws umberslip.http.MalformedMessageException naming the field that is missing or invalid */
        fun parse(data: Any?): JobRecord {
            val fields = Fields.of(data)
            return JobRecord(
                spec = JobSpecCodec.parse(fields.map(SPEC)),
                submitted = Instant.ofEpochMilli(fields.long(SUBMITTED_MILLIS)),
                cancelled = fields.flag(CANCELLED),
            )
        }
    }
}
