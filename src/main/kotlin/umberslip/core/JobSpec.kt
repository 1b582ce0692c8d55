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

/** The priority of a job; in order, the highest first. */
enum class Priority {
    CRITICAL,
    HIGH,
    NORMAL,
    IDLE,
}

/** A job as its user described it. Amounts of resources are those of one task. */
data class JobSpec(
    val id: JobId,
    /** The class of jobs whose service-level objectives apply. */
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
    /** All tasks must be in the same zone, whichever that is. */
    val oneZone: Boolean,
    /** At most half of the tasks, rounded up, may be in one zone. */
    val spread: Boolean,
    /** Whether the job may use spot instances. */
    val spot: Boolean,
    /** The user's estimate of a task's run time; 0 for daemons. */
    val expectedSeconds: Double,
    /** The progress after which a task saves a checkpoint; 0 for tasks that save none. */
    val checkpointIntervalSeconds: Double,
    /** How long a task needs to save a checkpoint when it is stopped. */
    val checkpointSaveSeconds: Double,
    /** When the job should be complete, counted from its submission; null for no deadline. */
    val deadlineSeconds: Double?,
    /** Jobs that have to be done before any task of this one starts. */
    val dependencies: List<JobId> = emptyList(),
) {
    /** How many of the tasks may be in one zone. */
    val maxPerZone: Int get() = if (spread) (tasks + 1) / 2 else Int.MAX_VALUE
}
