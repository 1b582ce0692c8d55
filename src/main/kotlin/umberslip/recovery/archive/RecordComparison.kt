package umberslip.recovery.archive

import umberslip.core.JobId
import umberslip.core.MachineName
import umberslip.core.TaskId
import umberslip.http.Documents
import umberslip.recovery.RecordedStart
import umberslip.recovery.RecordedWork

/**
 * What happened to a task whose start was recorded in the earlier records. [jsonName] is published, so it must not
 * change when a constant is renamed.
 */
enum class TaskChange(
    val jsonName: String,
) {
    /** The task is on the same machine under the same attempt. */
    CONTINUED("ran_on"),

    /**
     * The task has a later attempt, on the same machine or on another. It was started from the beginning or from a
     * checkpoint.
     */
    RESTARTED("started_again"),

    /** The task has no recorded start any more, but its job has not finished: the task is done or waits. */
    NOT_PLACED("not_placed"),

    /** The task's job has no record any more. */
    JOB_FINISHED("job_ended"),
}

/** The changes in the records between two moments, for operators who are on call after a failure. */
class RecordComparison(
    private val before: RecordedWork,
    private val after: RecordedWork,
) {
    /** What happened to each task whose start is recorded in [before]. */
    val taskChanges: Map<TaskId, TaskChange> = before.starts.mapValues { (task, start) -> classify(task, start) }

    /** The number of tasks with a recorded start in [after] but none in [before]. */
    val newStarts: Int = after.starts.keys.count { it !in before.starts }

    /** Machines with recorded tasks in [before] but none in [after]. */
    val emptiedMachines: Set<MachineName> = machinesWithTasks(before) - machinesWithTasks(after)

    /** Machines with recorded tasks in [after] but none in [before]. */
    val newMachines: Set<MachineName> = machinesWithTasks(after) - machinesWithTasks(before)

    /** Jobs with a record in [before] but none in [after]. */
    val finishedJobs: Set<JobId> = before.jobs - after.jobs

    /** Jobs with a record in [after] but none in [before]. */
    val newJobs: Set<JobId> = after.jobs - before.jobs

    /** Jobs that are cancelled in [after] but not in [before]. */
    val newlyCancelledJobs: Set<JobId> = after.cancelledJobs - before.cancelledJobs

    /**
     * Jobs with fewer tasks recorded as done in [after] than in [before]. Only damage to the records leads to that,
     * which is why it is checked.
     */
    val lostProgress: Set<JobId> =
        (before.jobs intersect after.jobs).filterTo(HashSet()) {
            (after.doneTasks[it] ?: 0) < (before.doneTasks[it] ?: 0)
        }

    private fun machinesWithTasks(work: RecordedWork) = work.starts.values.mapTo(HashSet()) { it.machineName }

    private fun classify(
        task: TaskId,
        start: RecordedStart,
    ): TaskChange {
        val startAfter = after.starts[task]
        return when {
            startAfter == start -> TaskChange.CONTINUED
            startAfter != null -> TaskChange.RESTARTED
            task.job in after.jobs -> TaskChange.NOT_PLACED
            else -> TaskChange.JOB_FINISHED
        }
    }

    /** Returns the number of tasks with this change. */
    fun count(change: TaskChange): Int = taskChanges.values.count { it == change }

    /** Returns lines for people. */
    fun toText(): String =
        buildList {
            add("owner: ${describeLeader(before)} before, ${describeLeader(after)} after")
            add("jobs: ${finishedJobs.size} ended, ${newJobs.size} came, ${newlyCancelledJobs.size} were cancelled")
            add("tasks that were started before: ${before.starts.size}")
            for (change in TaskChange.entries) add("  ${change.jsonName.replace('_', ' ')}: ${count(change)}")
            add("tasks started since: $newStarts")
            add("machines: ${emptiedMachines.size} have no tasks any more, ${newMachines.size} have some now")
            for (task in taskChanges.filterValues { it == TaskChange.RESTARTED }.keys.sortedBy { it.toString() }) {
                add("  started again: $task, ${describe(before, task)} before, ${describe(after, task)} after")
            }
            for (job in lostProgress.sortedBy { it.value }) {
                add("LOST PROGRESS: ${job.value} has fewer tasks done than before")
            }
        }.joinToString("\n")

    private fun describeLeader(work: RecordedWork) = "${work.leader ?: "nobody"} (term ${work.term.value})"

    private fun describe(
        work: RecordedWork,
        task: TaskId,
    ) = work.starts.getValue(task).let { "${it.machineName.value} as attempt ${it.attempt}" }

    /** Returns a JSON document for programs. */
    fun toJson(): String =
        Documents.writeJson(
            mapOf(
                "version" to FORMAT_VERSION,
                "before" to leaderMap(before),
                "after" to leaderMap(after),
                "tasks" to TaskChange.entries.associate { it.jsonName to count(it) },
                "new_starts" to newStarts,
                "started_again" to restartedTasks(),
                "ended_jobs" to sortedIds(finishedJobs),
                "new_jobs" to sortedIds(newJobs),
                "cancelled_jobs" to sortedIds(newlyCancelledJobs),
                "lost_progress" to sortedIds(lostProgress),
                "emptied_machines" to emptiedMachines.map { it.value }.sorted(),
                "new_machines" to newMachines.map { it.value }.sorted(),
            ),
        )

    private fun restartedTasks(): List<String> =
        taskChanges
            .filterValues { it == TaskChange.RESTARTED }
            .keys
            .map { it.toString() }
            .sorted()

    private fun leaderMap(work: RecordedWork) = mapOf("owner" to work.leader, "term" to work.term.value)

    private fun sortedIds(jobs: Set<JobId>) = jobs.map { it.value }.sorted()

    private companion object {
        const val FORMAT_VERSION = 1
    }
}
