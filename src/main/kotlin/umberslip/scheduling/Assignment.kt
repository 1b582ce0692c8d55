package umberslip.scheduling

import umberslip.agents.TaskState
import umberslip.core.MachineName
import umberslip.core.Resources
import umberslip.core.Shape
import umberslip.core.TaskId
import kotlin.time.Duration

/** A task that is, or may be, on a machine. Mutable; used on the leader actor's thread only. */
class Assignment(
    val job: RunningJob,
    val index: Int,
    /** Zero until the task is given an attempt number, which for a gang happens once it is complete. */
    var attempt: Long,
    val machineName: MachineName,
    /** Empty while only the records name the machine; its first heartbeat has the zone. */
    val zone: String,
) {
    val id = TaskId(job.spec.id, index)
    val resources: Resources get() = job.resources

    /** Holds resources for a gang that is not complete yet: neither recorded nor started. */
    var reserved = false

    /** The start is stored, in the write-ahead log or in its progress block, so it may be sent to the worker. */
    var recorded = false

    /** The state in the newest heartbeat of its machine; null while that does not list the task. */
    var status: TaskState? = null

    /** Whether the newest heartbeat of its machine lists this attempt. */
    var isReported = false

    /** When a heartbeat first showed it running; null before. */
    var runningSince: Duration? = null

    /** Set once the task is to stop: how long the worker gives it to save a checkpoint. */
    var gracePeriod: Duration? = null
        private set

    /** The expected run time that is left, negative if it runs longer than expected; null until it runs. */
    fun remainingRunTime(now: Duration): Duration? = runningSince?.let { job.expectedRunTime - (now - it) }

    /**
     * Whether it can be stopped and started elsewhere at little loss: it runs, saves a checkpoint when stopped, and
     * has run for at least [minRunTime].
     */
    fun mayMigrate(
        now: Duration,
        minRunTime: Duration,
    ): Boolean {
        val since = runningSince ?: return false
        return gracePeriod == null &&
            status == TaskState.RUNNING &&
            job.spec.checkpointIntervalSeconds > 0 &&
            job.spec.shape == Shape.ARRAY &&
            now - since >= minRunTime
    }

    /**
     * Asks the task to stop within [gracePeriod]; a request made before stays as it is. All tasks of a gang are
     * asked together, so that they can save a common checkpoint.
     */
    fun requestStop(gracePeriod: Duration) {
        val tasks = if (job.spec.shape == Shape.GANG) job.assigned.values else listOf(this)
        for (task in tasks) if (task.gracePeriod == null) task.gracePeriod = gracePeriod
    }

    /** The same task with the zone that its machine's heartbeat has; it replaces this one. */
    fun inZone(zone: String): Assignment {
        val moved = Assignment(job, index, attempt, machineName, zone)
        moved.recorded = recorded
        moved.reserved = reserved
        moved.gracePeriod = gracePeriod
        return moved
    }
}
