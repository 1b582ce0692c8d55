package umberslip.agents

import umberslip.core.MachineName
import umberslip.core.TaskId
import umberslip.core.Term

/** The state of a task on a machine. */
enum class TaskState {
    /** The task waits for its image. */
    FETCHING,

    /** The task waits for the other tasks of its gang. */
    WAITING_FOR_GANG,
    RUNNING,

    /** The task was stopped and is saving a checkpoint. */
    CHECKPOINTING,

    /** The task has ended. The worker reports it until it receives a [WorkerCommand.Clear]. */
    EXITED,
}

/** The reason why a task ended or was not started. */
enum class ExitCause {
    DONE,

    /** The task was stopped by a command. */
    STOPPED,

    /** Another task of the gang was lost. */
    GANG_MEMBER_LOST,

    /** The gang was not complete in time. */
    GANG_INCOMPLETE,

    /** The task failed. In most cases the machine is faulty. */
    ERROR,

    /** The task was not started because the machine does not have enough free resources. */
    MACHINE_FULL,

    /** The task was not started because it is already on this machine under another attempt. */
    ALREADY_PRESENT,

    /** The task was not started because the worker found no such job or task. */
    UNKNOWN,
}

/**
 * A task as reported by its worker. [cause] is set if the task has exited. [saved] tells whether its last checkpoint
 * was saved.
 */
data class ReportedTask(
    val task: TaskId,
    val attempt: Long,
    val status: TaskState,
    val cause: ExitCause?,
    val saved: Boolean,
)

/**
 * The version of a heartbeat; of two heartbeats of one machine, the one with the larger version is newer. [epoch]
 * increases each time the worker's lease expires and the worker starts over without tasks. [sequenceNumber] counts the
 * heartbeats of an epoch.
 */
data class HeartbeatVersion(
    val epoch: Long,
    val sequenceNumber: Long,
) : Comparable<HeartbeatVersion> {
    override fun compareTo(other: HeartbeatVersion): Int {
        if (epoch != other.epoch) return epoch.compareTo(other.epoch)
        return sequenceNumber.compareTo(other.sequenceNumber)
    }

    /** Returns whether the worker sent no heartbeat between [other] and this one, both in the same epoch. */
    fun follows(other: HeartbeatVersion): Boolean {
        if (epoch != other.epoch) return false
        return sequenceNumber == other.sequenceNumber + 1
    }
}

/**
 * The state of a machine as reported by its worker. [fencingToken] is the highest term that the worker has seen.
 * [interruptionNoticeSeconds] is the time until a spot interruption, or null if the cloud has not given notice of one.
 */
data class Heartbeat(
    val machineName: MachineName,
    val type: String,
    val zone: String,
    val spot: Boolean,
    val heartbeatVersion: HeartbeatVersion,
    val fencingToken: Term,
    val interruptionNoticeSeconds: Double?,
    val tasks: List<ReportedTask>,
)
