package umberslip.core

/** The unique id that a user chose for a job. */
@JvmInline
value class JobId(
    val value: String,
) {
    companion object {
        const val MAX_LENGTH = 100

        /**
         * Returns null if [text] is not a valid id. Ids become part of keys, so only characters that need no escaping
         * are valid.
         */
        fun parse(text: String): JobId? =
            if (text.length in 1..MAX_LENGTH && isAlphanumeric(text[0]) && text.all(::isAllowed)) {
                JobId(text)
            } else {
                null
            }

        private fun isAllowed(c: Char): Boolean = isAlphanumeric(c) || c in "._-"

        // Called for every task of every heartbeat, so it avoids regular expressions.
        private fun isAlphanumeric(c: Char): Boolean = c in 'a'..'z' || c in 'A'..'Z' || c in '0'..'9'
    }
}

/** A task of a job, written `job/index`; indices start at 0. */
data class TaskId(
    val job: JobId,
    val index: Int,
) {
    override fun toString(): String = "${job.value}/$index"

    companion object {
        /** Returns null if [text] is not of the form `job/index`. */
        fun parse(text: String): TaskId? {
            val slash = text.lastIndexOf('/')
            if (slash < 0) return null
            val job = JobId.parse(text.substring(0, slash)) ?: return null
            val index = text.substring(slash + 1).toIntOrNull()?.takeIf { it >= 0 } ?: return null
            return TaskId(job, index)
        }
    }
}
