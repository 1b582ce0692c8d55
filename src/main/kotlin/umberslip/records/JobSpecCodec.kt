package umberslip.records

import umberslip.core.JobId
import umberslip.core.JobSpec
import umberslip.core.Priority
import umberslip.core.Shape
import umberslip.http.Fields
import umberslip.http.MalformedMessageException

/** The names of a job specification's fields, both in submissions and in stored records. */
private object JobSpecField {
    const val ID = "uid"
    const val JOB_CLASS = "jobclass"
    const val TEAM = "owner"
    const val SHAPE = "shape"
    const val PRIORITY = "urgency"
    const val TASKS = "pieces"
    const val CPUS = "vcpus"
    const val GPUS = "accelerators"
    const val MEMORY_GB = "memory_gb"
    const val IMAGE = "bundle"
    const val IMAGE_GB = "image_gb"
    const val INSTANCE_TYPES = "hosttypes"
    const val ZONE = "hall"
    const val ONE_ZONE = "one_zone"
    const val SPREAD = "spread"
    const val SPOT = "reclaimable"
    const val EXPECTED_SECONDS = "expected_s"
    const val CHECKPOINT_INTERVAL_SECONDS = "savepoint_s"
    const val CHECKPOINT_SAVE_SECONDS = "saving_s"
    const val DEADLINE_SECONDS = "due_s"
    const val DEPENDENCIES = "awaits"
}

private val SHAPES = mapOf("array" to Shape.ARRAY, "gang" to Shape.GANG, "daemon" to Shape.DAEMON)
private val SHAPE_NAMES = SHAPES.entries.associate { (name, shape) -> shape to name }

private val PRIORITIES =
    mapOf(
        "critical" to Priority.CRITICAL,
        "high" to Priority.HIGH,
        "normal" to Priority.NORMAL,
        "idle" to Priority.IDLE,
    )
private val PRIORITY_NAMES = PRIORITIES.entries.associate { (name, priority) -> priority to name }

/** Returns the specification in its submitted and stored form, which omits the dependencies if there are none. */
fun JobSpec.toMap(): Map<String, Any?> =
    mapOf(
        JobSpecField.ID to id.value,
        JobSpecField.JOB_CLASS to jobClass,
        JobSpecField.TEAM to team,
        JobSpecField.SHAPE to SHAPE_NAMES.getValue(shape),
        JobSpecField.PRIORITY to PRIORITY_NAMES.getValue(priority),
        JobSpecField.TASKS to tasks,
        JobSpecField.CPUS to cpus,
        JobSpecField.GPUS to gpus,
        JobSpecField.MEMORY_GB to memoryGb,
        JobSpecField.IMAGE to image,
        JobSpecField.IMAGE_GB to imageGb,
        JobSpecField.INSTANCE_TYPES to instanceTypes,
        JobSpecField.ZONE to zone,
        JobSpecField.ONE_ZONE to oneZone,
        JobSpecField.SPREAD to spread,
        JobSpecField.SPOT to spot,
        JobSpecField.EXPECTED_SECONDS to expectedSeconds,
        JobSpecField.CHECKPOINT_INTERVAL_SECONDS to checkpointIntervalSeconds,
        JobSpecField.CHECKPOINT_SAVE_SECONDS to checkpointSaveSeconds,
        JobSpecField.DEADLINE_SECONDS to deadlineSeconds,
    ) + if (dependencies.isEmpty()) emptyMap() else mapOf(JobSpecField.DEPENDENCIES to dependencies.map { it.value })

/** Parses job specifications from submissions and stored records. */
object JobSpecCodec {
    /** The protocol's limit for the number of tasks of a job. */
    const val MAX_TASKS = 100_000L

    /** An upper bound of sensible amounts and times; in seconds, it is about thirty years. */
    private const val MAX_AMOUNT = 1e9

    /** @throws MalformedMessageException naming the field that is missing or invalid */
    fun parse(fields: Fields): JobSpec {
        val tasks = parseTasks(fields)
        val cpus = parseAmount(fields, JobSpecField.CPUS)
        val gpus = parseAmount(fields, JobSpecField.GPUS)
        val memoryGb = parseAmount(fields, JobSpecField.MEMORY_GB)
        if (cpus + gpus + memoryGb <= 0) throw MalformedMessageException("a task takes nothing of its machine")
        return JobSpec(
            id = parseId(fields),
            jobClass = fields.text(JobSpecField.JOB_CLASS),
            team = fields.text(JobSpecField.TEAM),
            shape = parseConstant(fields, JobSpecField.SHAPE, SHAPES),
            priority = parseConstant(fields, JobSpecField.PRIORITY, PRIORITIES),
            tasks = tasks,
            cpus = cpus,
            gpus = gpus,
            memoryGb = memoryGb,
            image = fields.text(JobSpecField.IMAGE),
            imageGb = parseAmount(fields, JobSpecField.IMAGE_GB),
            instanceTypes = fields.textsOrNull(JobSpecField.INSTANCE_TYPES),
            zone = fields.textOrNull(JobSpecField.ZONE),
            oneZone = fields.flag(JobSpecField.ONE_ZONE),
            spread = fields.flag(JobSpecField.SPREAD),
            spot = fields.flag(JobSpecField.SPOT),
            expectedSeconds = parseAmount(fields, JobSpecField.EXPECTED_SECONDS),
            checkpointIntervalSeconds = parseAmount(fields, JobSpecField.CHECKPOINT_INTERVAL_SECONDS),
            checkpointSaveSeconds = parseAmount(fields, JobSpecField.CHECKPOINT_SAVE_SECONDS),
            deadlineSeconds = parseAmountOrNull(fields, JobSpecField.DEADLINE_SECONDS),
            dependencies = parseDependencies(fields),
        )
    }

    private fun parseId(fields: Fields): JobId =
        JobId.parse(fields.text(JobSpecField.ID))
            ?: throw MalformedMessageException("${JobSpecField.ID} is not a job id")

    private fun parseTasks(fields: Fields): Int {
        val tasks = fields.long(JobSpecField.TASKS)
        if (tasks !in 1..MAX_TASKS) {
            throw MalformedMessageException("${JobSpecField.TASKS} is not within 1..$MAX_TASKS")
        }
        return tasks.toInt()
    }

    private fun parseAmount(
        fields: Fields,
        name: String,
    ): Double {
        val amount = fields.number(name)
        if (amount !in 0.0..MAX_AMOUNT) throw MalformedMessageException("$name is not within 0.0..$MAX_AMOUNT")
        return amount
    }

    private fun parseAmountOrNull(
        fields: Fields,
        name: String,
    ): Double? = if (fields.has(name)) parseAmount(fields, name) else null

    private fun <T : Any> parseConstant(
        fields: Fields,
        name: String,
        constants: Map<String, T>,
    ): T = constants[fields.text(name)] ?: throw MalformedMessageException("$name has an unknown value")

    private fun parseDependencies(fields: Fields): List<JobId> =
        fields
            .textsOrNull(JobSpecField.DEPENDENCIES)
            .orEmpty()
            .map { dependency ->
                JobId.parse(dependency)
                    ?: throw MalformedMessageException("${JobSpecField.DEPENDENCIES} names what is not a job id")
            }.distinct()
}
