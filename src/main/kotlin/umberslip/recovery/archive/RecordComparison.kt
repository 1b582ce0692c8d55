package umberslip.recovery.archive

import umberslip.core.JobId
import umberslip.core.MachineName
import umberslip.core.TaskId
import umberslip.http.Documents
import umberslip.recovery.RecordedStart
import umberslip.recovery.RecordedWork

/** What became of a task whose start was recorded before. */
enum class TaskChange {
    /** On the same machine under the same attempt. */
    RAN_ON,

    /** Under a later attempt, on the same machine or another: its work was begun anew, or continued from a save. */
    STARTED_AGAIN,

    /** No start is recorded any more, and its job has not ended: it is done or waits. */
    NOT_PLACED,

    /** Its job's record is gone. */
    JOB_ENDED,
}

/** What changed between two moments, as the records show it: for the shift that comes after a failure. */
class RecordComparison(
    private val before: RecordedWork,
    private val after: RecordedWork,
) {
    val tasks: Map<TaskId, TaskChange> = before.starts.mapValues { (task, start) -> change(task, start) }

    val newStarts: Int = after.starts.keys.count { it !in before.starts }

    /** Machines with recorded tasks before and none now, and the reverse. */
    val emptiedMachines: Set<MachineName> = machines(before) - machines(after)
    val newMachines: Set<MachineName> = machines(after) - machines(before)
    val endedJobs: Set<JobId> = before.jobs - after.jobs
    val newJobs: Set<JobId> = after.jobs - before.jobs
    val newlyCancelledJobs: Set<JobId> = after.cancelled - before.cancelled

    /** Jobs with fewer recorded ends than before. There is no way to that but damage, so it is looked for. */
    val lostProgress: Set<JobId> =
        (before.jobs intersect after.jobs).filterTo(HashSet()) {
            (after.doneTasks[it] ?: 0) < (before.doneTasks[it] ?: 0)
        }

    private fun machines(work: RecordedWork) = work.starts.values.mapTo(HashSet()) { it.machineName }

    private fun change(
        task: TaskId,
        start: RecordedStart,
    ): TaskChange {
        val now = after.starts[task]
        return when {
            now == start -> TaskChange.RAN_ON
            now != null -> TaskChange.STARTED_AGAIN
            task.job in after.jobs -> TaskChange.NOT_PLACED
            else -> TaskChange.JOB_ENDED
        }
    }

    fun count(change: TaskChange): Int = tasks.values.count { it == change }

    fun toText(): String =
        buildList {
            add("owner: ${describe(before)} before, ${describe(after)} after")
            add("jobs: ${endedJobs.size} ended, ${newJobs.size} came, ${newlyCancelledJobs.size} were cancelled")
            add("tasks that were started before: ${before.starts.size}")
            for (change in TaskChange.entries) add("  ${name(change)}: ${count(change)}")
            add("tasks started since: $newStarts")
            add("machines: ${emptiedMachines.size} have no tasks any more, ${newMachines.size} have some now")
            tasks.filterValues { it == TaskChange.STARTED_AGAIN }.keys.sortedBy { it.toString() }.forEach {
                add("  started again: $it, ${place(before, it)} before, ${place(after, it)} after")
            }
            for (job in lostProgress.sortedBy { it.value }) {
                add("LOST PROGRESS: ${job.value} has fewer tasks done than before")
            }
        }.joinToString("\n")

    private fun describe(work: RecordedWork) = "${work.leader ?: "nobody"} (term ${work.term.value})"

    private fun name(change: TaskChange) = change.name.lowercase().replace('_', ' ')

    private fun place(
        work: RecordedWork,
        task: TaskId,
    ) = work.starts.getValue(task).let { "${it.machineName.value} as attempt ${it.attempt}" }

    fun toJson(): String =
        Documents.writeJson(
            mapOf(
                "version" to FORMAT_VERSION,
                "before" to leader(before),
                "after" to leader(after),
                "tasks" to TaskChange.entries.associate { it.name.lowercase() to count(it) },
                "new_starts" to newStarts,
                "started_again" to startedAgain(),
                "ended_jobs" to names(endedJobs),
                "new_jobs" to names(newJobs),
                "cancelled_jobs" to names(newlyCancelledJobs),
                "lost_progress" to names(lostProgress),
                "emptied_machines" to emptiedMachines.map { it.value }.sorted(),
                "new_machines" to newMachines.map { it.value }.sorted(),
            ),
        )

    private fun startedAgain(): List<String> =
        tasks
            .filterValues { it == TaskChange.STARTED_AGAIN }
            .keys
            .map { it.toString() }
            .sorted()

    private fun leader(work: RecordedWork) = mapOf("owner" to work.leader, "term" to work.term.value)

    private fun names(jobs: Set<JobId>) = jobs.map { it.value }.sorted()

    private companion object {
        const val FORMAT_VERSION = 1
    }
}
