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

/** The machine and the attempt of a recorded start. */
data class RecordedStart(
    val machineName: MachineName,
    val attempt: Long,
)

/** The work that a new leader would load from the records in the key-value store at one moment. */
class RecordedWork(
    /** The member that leads; null if there is none. */
    val leader: String?,
    val term: Term,
    /** Jobs that have not finished, including the [cancelledJobs]. */
    val jobs: Set<JobId>,
    /** Cancelled jobs with tasks that have yet to be stopped. */
    val cancelledJobs: Set<JobId>,
    /** The number of tasks recorded as done, by job. */
    val doneTasks: Map<JobId, Int>,
    /** The recorded starts of the tasks that count as running. */
    val starts: Map<TaskId, RecordedStart>,
    /** Keys of unreadable records, which the leader neither uses nor overwrites. */
    val unreadable: Set<String>,
) {
    /** The number of unfinished jobs that are not cancelled. */
    val unfinishedJobs: Int get() = jobs.size - cancelledJobs.size

    /** The number of machines with recorded tasks. */
    val machinesWithTasks: Int get() = starts.values.mapTo(HashSet()) { it.machineName }.size

    /** Returns lines for people. Operators' scripts may read them, too. */
    fun toText(): List<String> =
        listOf(
            "records: owner ${leader ?: "nobody"}, term ${term.value}",
            "  $unfinishedJobs unfinished jobs, ${cancelledJobs.size} cancelled with tasks left",
            "  ${starts.size} started tasks on $machinesWithTasks machines",
        ) + unreadable.sorted().map { "  record $it cannot be read" }

    companion object {
        /** Reads the records without changing them. Sends one request per page of records, and one more. */
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

        /** Loads the records in the same way as a new leader, so that both interpret them alike. */
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
                cancelledJobs =
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
