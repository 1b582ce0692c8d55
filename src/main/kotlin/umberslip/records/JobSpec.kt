package umberslip.records

import umberslip.http.Fields
import umberslip.http.Malformed

@JvmInline
value class JobId(
    val value: String,
) {
    companion object {
        const val MAX_LENGTH = 100

        /** Ids become part of keys, so only such as need no escaping are taken. */
        fun parse(text: String): JobId? =
            if (text.length in 1..MAX_LENGTH && plain(text[0]) && text.all { plain(it) || it in "._-" }) {
                JobId(text)
            } else {
                null
            }

        // Read for every task of every report, so no regular expression.
        private fun plain(c: Char): Boolean = c in 'a'..'z' || c in 'A'..'Z' || c in '0'..'9'
    }
}

/** A task of a job, written `job/index`. */
data class TaskId(
    val job: JobId,
    val index: Int,
) {
    override fun toString(): String = "${job.value}/$index"

    companion object {
        fun parse(text: String): TaskId? {
            val slash = text.lastIndexOf('/')
            if (slash < 0) return null
            val job = JobId.parse(text.substring(0, slash)) ?: return null
            val index = text.substring(slash + 1).toIntOrNull()?.takeIf { it >= 0 } ?: return null
            return TaskId(job, index)
        }
    }
}

enum class Shape(
    val word: String,
) {
    ARRAY("array"),
    GANG("gang"),
    DAEMON("daemon"),
    ;

    companion object {
        fun of(word: String): Shape? = entries.find { it.word == word }
    }
}

/** In order: the most urgent first. */
enum class Urgency(
    val word: String,
) {
    CRITICAL("critical"),
    HIGH("high"),
    NORMAL("normal"),
    IDLE("idle"),
    ;

    companion object {
        fun of(word: String): Urgency? = entries.find { it.word == word }
    }
}

/** A job as its user described it. */
data class JobSpec(
    val id: JobId,
    val jobClass: String,
    val team: String,
    val shape: Shape,
    val urgency: Urgency,
    val tasks: Int,
    val cpus: Double,
    val gpus: Double,
    val memoryGb: Double,
    val image: String,
    val imageGb: Double,
    val types: List<String>?,
    val zone: String?,
    val oneZone: Boolean,
    val spread: Boolean,
    val spot: Boolean,
    val expectedSeconds: Double,
    val checkpointSeconds: Double,
    val savingSeconds: Double,
    val dueSeconds: Double?,
    /** Jobs that have to be done before any task of this one starts. */
    val awaits: List<JobId> = emptyList(),
) {
    val maxPerZone: Int get() = if (spread) (tasks + 1) / 2 else Int.MAX_VALUE

    fun toMap(): Map<String, Any?> =
        mapOf(
            "uid" to id.value,
            "jobclass" to jobClass,
            "owner" to team,
            "shape" to shape.word,
            "urgency" to urgency.word,
            "pieces" to tasks,
            "vcpus" to cpus,
            "accelerators" to gpus,
            "memory_gb" to memoryGb,
            "bundle" to image,
            "image_gb" to imageGb,
            "hosttypes" to types,
            "hall" to zone,
            "one_zone" to oneZone,
            "spread" to spread,
            "reclaimable" to spot,
            "expected_s" to expectedSeconds,
            "savepoint_s" to checkpointSeconds,
            "saving_s" to savingSeconds,
            "due_s" to dueSeconds,
        ) + if (awaits.isEmpty()) emptyMap() else mapOf("awaits" to awaits.map { it.value })

    companion object {
        const val MAX_TASKS = 100_000L

        /** No amount or time makes sense beyond it: thirty years of seconds. */
        private const val MAX_AMOUNT = 1e9

        fun parse(f: Fields): JobSpec {
            fun amount(
                name: String,
                min: Double = 0.0,
            ): Double =
                f.number(name).also {
                    if (it !in min..MAX_AMOUNT) {
                        throw Malformed(
                            "$name is not within $min..$MAX_AMOUNT",
                        )
                    }
                }

            fun <T : Any> word(
                name: String,
                of: (String) -> T?,
            ): T = of(f.text(name)) ?: throw Malformed("$name has an unknown value")

            val tasks =
                f.long("pieces").also { if (it !in 1..MAX_TASKS) throw Malformed("pieces is not within 1..$MAX_TASKS") }
            val cpus = amount("vcpus")
            val gpus = amount("accelerators")
            val memory = amount("memory_gb")
            if (cpus + gpus + memory <= 0) throw Malformed("a task takes nothing of its machine")
            return JobSpec(
                id = JobId.parse(f.text("uid")) ?: throw Malformed("uid is not a job id"),
                jobClass = f.text("jobclass"),
                team = f.text("owner"),
                shape = word("shape", Shape::of),
                urgency = word("urgency", Urgency::of),
                tasks = tasks.toInt(),
                cpus = cpus,
                gpus = gpus,
                memoryGb = memory,
                image = f.text("bundle"),
                imageGb = amount("image_gb"),
                types = f.textsOrNull("hosttypes"),
                zone = f.textOrNull("hall"),
                oneZone = f.flag("one_zone"),
                spread = f.flag("spread"),
                spot = f.flag("reclaimable"),
                expectedSeconds = amount("expected_s"),
                checkpointSeconds = amount("savepoint_s"),
                savingSeconds = amount("saving_s"),
                dueSeconds = if (f.has("due_s")) amount("due_s") else null,
                awaits =
                    f
                        .textsOrNull("awaits")
                        .orEmpty()
                        .map { JobId.parse(it) ?: throw Malformed("awaits names what is not a job id") }
                        .distinct(),
            )
        }
    }
}
