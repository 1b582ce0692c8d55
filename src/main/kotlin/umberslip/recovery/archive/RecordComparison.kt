package umberslip.recovery.archive

import umberslip.core.JobId
import umberslip.core.MachineName
import umberslip.core.TaskId
import umberslip.http.Documents
import umberslip.recovery.RecordedStart
import umberslip.recovery.RecordedWork

/**
 * What happened to a task whose start was recorded before. [jsonName] is published, and stays when a constant is
 * renamed.
 */
enum class TaskChange(
    val jsonName: String,
) {
    /** On the same machine under the same attempt. */
    CONTINUED("ran_on"),

    /** Under a later attempt, on the same machine or another: it began from the start, or from a checkpoint. */
    RESTARTED("started_again"),

    /** No start is recorded any more, and its job has not finished: the task is done or waits. */
    NOT_PLACED("not_placed"),

    /** Its job has no record any more. */
    JOB_FINISHED("job_ended"),
}

/** What changed between two moments, as the records show it: for those on call after a failure. */
class RecordComparison(
    private val before: RecordedWork,
    private val after: RecordedWork,
) {
    /** The tasks whose start was recorded before. */
    val tasks: Map<TaskId, TaskChange> = before.starts.mapValues { (task, start) -> change(task, start) }

    /** How many tasks have a recorded start after and had none before. */
    val newStarts: Int = after.starts.keys.count { it !in before.starts }

    /** Machines with recorded tasks before and none after. */
    val emptiedMachines: Set<MachineName> = machines(before) - machines(after)

    /** Machines with recorded tasks after and none before. */
    val newMachines: Set<MachineName> = machines(after) - machines(before)

    /** Jobs that had a record before and have none after. */
    val finishedJobs: Set<JobId> = before.jobs - after.jobs

    /** Jobs that have a record after and had none before. */
    val newJobs: Set<JobId> = after.jobs - before.jobs

    /** Jobs that are cancelled after and were not before. */
    val newlyCancelledJobs: Set<JobId> = after.cancelled - before.cancelled

    /** Jobs with fewer tasks recorded as done than before. Nothing but damage leads to that, so it is looked for. */
    val lostProgress: Set<JobId> =
        (before.jobs intersect after.jobs).filterTo(HashSet()) {
            (after.doneTasks[it] ?: 0) < (before.doneTasks[it] ?: 0)
        }

    private fun machines(work: RecordedWork) = work.starts.values.mapTo(HashSet()) { it.machineName }

    private fun change(
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

    /** How many tasks changed in this way. */
    fun count(change: TaskChange): Int = tasks.values.count { it == change }

    /** In lines, for people. */
    fun toText(): String =
        buildList {
            add("owner: ${describe(before)} before, ${describe(after)} after")
            add("jobs: ${finishedJobs.size} ended, ${newJobs.size} came, ${newlyCancelledJobs.size} were cancelled")
            add("tasks that were started before: ${before.starts.size}")
            for (change in TaskChange.entries) add("  ${change.jsonName.replace('_', ' ')}: ${count(change)}")
            add("tasks started since: $newStarts")
            add("machines: ${emptiedMachines.size} have no tasks any more, ${newMachines.size} have some now")
            for (task in tasks.filterValues { it == TaskChange.RESTARTED }.keys.sortedBy { it.toString() }) {
                add("  started again: $task, ${place(before, task)} before, ${place(after, task)} after")
            }
            for (job in lostProgress.sortedBy { it.value }) {
                add("LOST PROGRESS: ${job.value} has fewer tasks done than before")
            }
        }.joinToString("\n")

    private fun describe(work: RecordedWork) = "${work.leader ?: "nobody"} (term ${work.term.value})"

    private fun place(
        work: RecordedWork,
        task: TaskId,
    ) = work.starts.getValue(task).let { "${it.machineName.value} as attempt ${it.attempt}" }

    /** For programs. */
    fun toJson(): String =
        Documents.writeJson(
            mapOf(
                "version" to FORMAT_VERSION,
                "before" to leader(before),
                "after" to leader(after),
                "tasks" to TaskChange.entries.associate { it.jsonName to count(it) },
                "new_starts" to newStarts,
                "started_again" to restarted(),
                "ended_jobs" to names(finishedJobs),
                "new_jobs" to names(newJobs),
                "cancelled_jobs" to names(newlyCancelledJobs),
                "lost_progress" to names(lostProgress),
                "emptied_machines" to emptiedMachines.map { it.value }.sorted(),
                "new_machines" to newMachines.map { it.value }.sorted(),
            ),
        )

    private fun restarted(): List<String> =
        tasks
            .filterValues { it == TaskChange.RESTARTED }
            .keys
            .map { it.toString() }
            .sorted()

    private fun leader(work: RecordedWork) = mapOf("owner" to work.leader, "term" to work.term.value)

    private fun names(jobs: Set<JobId>) = jobs.map { it.value }.sorted()

    private companion object {
        const val FORMAT_VERSION = 1
    }
}
