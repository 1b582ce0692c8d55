package umberslip.core

/** How the tasks of a job depend on one another. */
enum class Shape {
    /** Independent tasks, each of which runs to completion. */
    ARRAY,

    /** Gang scheduling: all tasks run at the same time, or none does. */
    GANG,

    /** Replicas that run until the job is cancelled. */
    DAEMON,
}

/** The priority of a job. The constants are ordered from the highest to the lowest priority. */
enum class Priority {
    CRITICAL,
    HIGH,
    NORMAL,
    IDLE,
}

/** A job as described by its user. Resource amounts are per task. */
data class JobSpec(
    val id: JobId,
    /** The job class, which determines the service-level objectives that apply. */
    val jobClass: String,
    /** The team whose quota the job counts against. */
    val team: String,
    val shape: Shape,
    val priority: Priority,
    /** The number of tasks. */
    val tasks: Int,
    val cpus: Double,
    val gpus: Double,
    val memoryGb: Double,
    val image: String,
    val imageGb: Double,
    /** The allowed instance types; null for any. */
    val instanceTypes: List<String>?,
    /** The only allowed zone; null for any. */
    val zone: String?,
    /** Whether all tasks must run in the same zone, which may be any allowed one. */
    val oneZone: Boolean,
    /** Whether at most half of the tasks, rounded up, may run in any one zone. */
    val spread: Boolean,
    /** Whether the job may use spot instances. */
    val spot: Boolean,
    /** The user's estimate of a task's run time; 0 for daemons. */
    val expectedSeconds: Double,
    /** The interval between a task's checkpoints, in seconds of progress; 0 if its tasks save none. */
    val checkpointIntervalSeconds: Double,
    /** How long a task needs to save a checkpoint when it is stopped. */
    val checkpointSaveSeconds: Double,
    /** The deadline for completing the job, in seconds after its submission; null if it has none. */
    val deadlineSeconds: Double?,
    /** Jobs that must be done before any task of this job starts. */
    val dependencies: List<JobId> = emptyList(),
) {
    /** The maximum number of tasks in one zone. */
    val maxPerZone: Int get() = if (spread) (tasks + 1) / 2 else Int.MAX_VALUE
}
