package umberslip.scheduling

import umberslip.agents.TaskState
import umberslip.core.MachineName
import umberslip.core.Resources
import umberslip.core.Shape
import umberslip.core.TaskId
import kotlin.time.Duration

/**
 * The assignment of a task to a machine. It lasts until the task has exited there or is certainly not on the machine.
 * Mutable; used on the leader actor's thread only.
 */
class Assignment(
    val job: RunningJob,
    val index: Int,
    /** The attempt number; zero until one is given, which for a gang happens once the gang is complete. */
    var attempt: Long,
    val machineName: MachineName,
    /** The zone of the machine; empty while only the records name the machine, until its first heartbeat. */
    val zone: String,
) {
    val id = TaskId(job.spec.id, index)
    val resources: Resources get() = job.resources

    /** Whether the assignment only reserves resources for an incomplete gang; it is neither recorded nor started. */
    var reserved = false

    /** Whether the start is stored, in the write-ahead log or the progress record, so it may be sent to the worker. */
    var recorded = false

    /** The task's state in the newest heartbeat of its machine; null if that heartbeat does not list the task. */
    var status: TaskState? = null

    /** Whether the newest heartbeat of its machine lists this attempt. */
    var isReported = false

    /** When a heartbeat first showed the task running; null before that. */
    var runningSince: Duration? = null

    /** How long the worker gives the task to save a checkpoint; null unless a stop was requested. */
    var gracePeriod: Duration? = null
        private set

    /** Returns the expected remaining run time, negative if the task is overdue; null until it runs. */
    fun remainingRunTime(now: Duration): Duration? = runningSince?.let { job.expectedRunTime - (now - it) }

    /**
     * Whether the task can be stopped and started elsewhere at little loss: it belongs to an array, is running, saves a
     * checkpoint when stopped, and has run for at least [minRunTime].
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
     * Requests that the task is stopped within [gracePeriod]; an earlier request remains unchanged. All tasks of a gang
     * are stopped together, so that they can save a common checkpoint.
     */
    fun requestStop(gracePeriod: Duration) {
        val tasks = if (job.spec.shape == Shape.GANG) job.assigned.values else listOf(this)
        for (task in tasks) if (task.gracePeriod == null) task.gracePeriod = gracePeriod
    }

    /** Returns an assignment of the same task with the zone from its machine's heartbeat, to replace this one. */
    fun withZone(zone: String): Assignment {
        val replacement = Assignment(job, index, attempt, machineName, zone)
        replacement.recorded = recorded
        replacement.reserved = reserved
        replacement.gracePeriod = gracePeriod
        return replacement
    }
}
