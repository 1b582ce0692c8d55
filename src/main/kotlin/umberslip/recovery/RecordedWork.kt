package umberslip.recovery

import umberslip.core.JobId
import umberslip.core.MachineName
import umberslip.core.TaskId
import umberslip.core.Term
import umberslip.records.Keys
import umberslip.records.RecordPages
import umberslip.records.RecordReplica
import umberslip.scheduling.SchedulerState
import umberslip.settings.Settings
import umberslip.settings.Timings
import umberslip.settings.Tuning
import umberslip.store.KeyValueStore
import umberslip.store.Version
import java.time.Instant
import kotlin.time.Duration

/** Where a task's start is recorded, and under which attempt. */
data class RecordedStart(
    val machineName: MachineName,
    val attempt: Long,
)

/** What a new leader would load at one moment from the records in the key-value store. */
class RecordedWork(
    /** The member that leads; null for none. */
    val leader: String?,
    val term: Term,
    /** Jobs that have not finished, the [cancelled] ones included. */
    val jobs: Set<JobId>,
    /** Cancelled jobs with tasks that are still to be stopped. */
    val cancelled: Set<JobId>,
    /** How many tasks of each job are recorded as done. */
    val doneTasks: Map<JobId, Int>,
    /** Tasks that count as running. */
    val starts: Map<TaskId, RecordedStart>,
    /** Keys that are left alone since their records are unreadable. */
    val unreadable: Set<String>,
) {
    /** Jobs that are still to be run, or running. */
    val unfinishedJobs: Int get() = jobs.size - cancelled.size

    /** How many machines have recorded tasks. */
    val machinesWithTasks: Int get() = starts.values.mapTo(HashSet()) { it.machineName }.size

    /** In lines, for people; operators' scripts may read them, too. */
    fun toText(): List<String> =
        listOf(
            "records: owner ${leader ?: "nobody"}, term ${term.value}",
            "  $unfinishedJobs unfinished jobs, ${cancelled.size} cancelled with tasks left",
            "  ${starts.size} started tasks on $machinesWithTasks machines",
        ) + unreadable.sorted().map { "  record $it cannot be read" }

    companion object {
        /** Reads the records and changes nothing; takes as many requests as they have pages, and one more. */
        suspend fun read(
            store: KeyValueStore,
            settings: Settings,
        ): RecordedWork {
            val pages = RecordPages.read(store)
            val replica = RecordReplica()
            replica.replace(pages.entries)
            store.changes(Keys.ROOT, pages.revision)?.changes?.forEach { replica.apply(it) }
            return of(replica, settings)
        }

        /** Loaded as a new leader loads the records, so that both understand the same. */
        fun of(
            replica: RecordReplica,
            settings: Settings,
        ): RecordedWork {
            val term = replica.term?.value ?: Term(0)
            val timings = Timings(settings.workers, Tuning())
            val scheduler = SchedulerState(settings, timings, term, Version.NONE, { Instant.now() })
            scheduler.load(replica, Duration.ZERO, Duration.ZERO)
            val starts = HashMap<TaskId, RecordedStart>()
            for (machine in scheduler.machines.values) {
                for ((task, assignment) in machine.assignments) {
                    starts[task] = RecordedStart(machine.name, assignment.attempt)
                }
            }
            return RecordedWork(
                leader = replica.leader?.value?.member,
                term = term,
                jobs = scheduler.jobs.keys.toSet(),
                cancelled =
                    scheduler.jobs.values
                        .filter { it.cancelled }
                        .mapTo(HashSet()) { it.spec.id },
                doneTasks = scheduler.jobs.mapValues { (_, job) -> job.doneCount },
                starts = starts,
                unreadable = replica.unreadable.toSet(),
            )
        }
    }
}
