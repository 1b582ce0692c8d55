package umberslip.scheduling

import umberslip.agents.ExitCause
import umberslip.agents.Heartbeat
import umberslip.agents.HeartbeatVersion
import umberslip.agents.ReportedTask
import umberslip.agents.TaskState
import umberslip.agents.WorkerCommand
import umberslip.core.JobSpec
import umberslip.core.MachineName
import umberslip.core.TaskId
import umberslip.core.Term
import umberslip.http.Documents
import umberslip.records.JobRecord
import umberslip.records.Keys
import umberslip.records.LogRecord
import umberslip.records.RecordReplica
import umberslip.records.Versioned
import umberslip.recovery.RecordedWork
import umberslip.settings.Settings
import umberslip.settings.Timings
import umberslip.settings.Tuning
import umberslip.sim.ClusterSize
import umberslip.sim.Fixtures
import umberslip.store.Change
import umberslip.store.Precondition
import umberslip.store.Version
import umberslip.store.Write
import java.time.Instant
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * The scheduler state of a leader for tests, which send the heartbeats of machines through [heartbeat], advance the
 * clock through [now], and have the key-value store apply all batches that are due through [write].
 */
class TestScheduler(
    val term: Term = Term(5),
    private val replica: RecordReplica = RecordReplica(),
    private val settingsJson: String = Fixtures.settingsJson("c-0"),
    private val logSlots: Int = 256,
    wallClock: () -> Instant = { Instant.EPOCH },
) {
    val settings = Settings.parse(settingsJson)
    val timings = Timings(settings.workers, Tuning())
    val scheduler =
        SchedulerState(settings, timings, term, Version(1), wallClock, logSlots).also {
            it.setInstanceTypes(ClusterSize.TYPES)
        }
    private val maintenance = Maintenance(scheduler, settings, timings)
    var now: Duration = 100.seconds

    /** The version of the store's newest write. */
    var version = 100L
    private val sequenceNumbers = HashMap<MachineName, Long>()
    private var createdJobs = 0

    /** Everything that was written, in order. */
    val written = ArrayList<Write>()

    /** Submits a job of three tasks that run for 10 s and have a deadline of 60 s, as modified by [change]. */
    fun job(change: (JobSpec) -> JobSpec = { it }): RunningJob {
        val number = ++createdJobs
        val spec =
            change(
                Fixtures.unboundJob(Random(1), number).copy(
                    tasks = 3,
                    expectedSeconds = 10.0,
                    deadlineSeconds = 60.0,
                ),
            )
        val record = Versioned(JobRecord(spec, Instant.EPOCH, false), Version(++version))
        replica.apply(
            Change.Put(
                Keys.job(spec.id),
                Documents.readCbor(Documents.writeCbor(record.value.toMap())),
                record.version,
            ),
        )
        scheduler.jobChanged(spec.id, record, now)
        return scheduler.jobs.getValue(spec.id)
    }

    fun cancel(job: RunningJob) =
        scheduler.jobChanged(
            job.spec.id,
            Versioned(job.record.value.copy(cancelled = true), Version(++version)),
            now,
        )

    /** Processes a heartbeat, by default the machine's next one, and renews its lease as the leader does. */
    fun heartbeat(
        machineName: String,
        vararg tasks: ReportedTask,
        fencingToken: Term = term,
        type: String = "small",
        zone: String = "east",
        spot: Boolean = false,
        epoch: Long = 1,
        sequenceNumber: Long? = null,
        noticeSeconds: Double? = null,
    ): HeartbeatDisposition {
        val name = MachineName(machineName)
        val next = sequenceNumber ?: ((sequenceNumbers[name] ?: 0) + 1)
        sequenceNumbers[name] = next
        val version = HeartbeatVersion(epoch, next)
        val heartbeat = Heartbeat(name, type, zone, spot, version, fencingToken, noticeSeconds, tasks.toList())
        val disposition = scheduler.heartbeat(heartbeat, now)
        if (disposition == HeartbeatDisposition.ACCEPTED || disposition == HeartbeatDisposition.TOKEN_BEHIND) {
            scheduler.leaseRenewed(name, now)
        }
        return disposition
    }

    /** Places the job's tasks on a machine, records their starts, and sends a heartbeat that shows them running. */
    fun startAll(
        job: RunningJob,
        machineName: String = "m",
    ) {
        heartbeat(machineName)
        dispatch(machineName)
        write()
        heartbeat(machineName, *job.placedTasks().map(::running).toTypedArray())
    }

    fun dispatch(machineName: String) = scheduler.dispatch(machine(machineName), now) { false }

    fun machine(machineName: String) = scheduler.machines.getValue(MachineName(machineName))

    /** Returns the tasks assigned to a machine in the order of their placement; none for an unknown machine. */
    fun tasksOn(machineName: String): List<Assignment> =
        scheduler.machines[MachineName(machineName)]
            ?.assignments
            ?.values
            ?.toList()
            .orEmpty()

    fun commands(
        machineName: String,
        mayStart: Boolean = true,
    ): List<WorkerCommand> = scheduler.commands(machine(machineName), mayStart)

    fun starts(machineName: String): List<TaskId> {
        val starts = commands(machineName).filterIsInstance<WorkerCommand.Start>()
        return starts.map { it.task }
    }

    fun tick() = maintenance.tick(now)

    fun hasLostContact(): Boolean = maintenance.hasLostContact(now)

    /** Returns the next batch to write, null if none is due. Checks that it fails once another leader is elected. */
    fun batch(): WriteBatch? {
        val maxOps = settings.storeLimits.transactionOps
        val batch = scheduler.writeAheadLog.nextBatch(maxOps, scheduler.machines.keys, now) ?: return null
        check(batch.preconditions.count { it.key == Keys.LEADER && it.version != Version.NONE } == 1) {
            "a batch without the precondition of the leader's record: ${batch.preconditions}"
        }
        for (write in batch.writes) checkStartsHavePreconditions(write, batch.preconditions)
        return batch
    }

    /** Checks that a start is recorded only under the precondition of its job's record. */
    private fun checkStartsHavePreconditions(
        write: Write,
        preconditions: List<Precondition>,
    ) {
        if (write !is Write.Put || Keys.parseLogSlot(write.key) == null) return
        val entry = LogRecord.parse(Documents.readCbor(Documents.writeCbor(write.data)))
        for ((id, row) in entry.rows) {
            val job = scheduler.jobs.getValue(id)
            val unrecorded =
                row.starts.filter { start ->
                    job.assigned[start.index]?.let { it.attempt == start.attempt && !it.recorded } ?: false
                }
            val hasPrecondition = preconditions.any { it.key == Keys.job(id) }
            check(unrecorded.isEmpty() || hasPrecondition) { "$id: no precondition for $unrecorded" }
        }
    }

    /** Writes all batches that are due, as the key-value store would apply them. Returns the number of writes. */
    fun write(): Int {
        var writeCount = 0
        while (true) {
            val batch = batch() ?: return writeCount
            writeCount += batch.writes.size
            written += batch.writes
            version++
            batch.writes.forEach(::replicate)
            scheduler.applied(batch, Version(version), now)
        }
    }

    private fun replicate(write: Write) {
        val change =
            when (write) {
                is Write.Put ->
                    Change.Put(write.key, Documents.readCbor(Documents.writeCbor(write.data)), Version(version))
                is Write.Delete -> Change.Delete(write.key, Version(version))
            }
        replica.apply(change)
    }

    /** Returns the recorded work as operators see it in the current records. */
    fun recorded(): RecordedWork = RecordedWork.of(replica, settings)

    /** Returns a leader of the next term that has loaded the current records. */
    fun successor(wallClock: () -> Instant = { Instant.EPOCH }) =
        TestScheduler(term.next(), replica, settingsJson, logSlots, wallClock).also {
            it.now = now
            it.version = version
            it.createdJobs = createdJobs
            it.scheduler.load(replica, now, now + 30.seconds)
        }

    companion object {
        fun running(
            task: TaskId,
            attempt: Long,
        ) = ReportedTask(task, attempt, TaskState.RUNNING, null, false)

        fun ended(
            task: TaskId,
            attempt: Long,
            cause: ExitCause,
        ) = ReportedTask(task, attempt, TaskState.EXITED, cause, false)
    }
}

/** Returns the tasks that are, or may be, on machines in the order of their index. */
internal fun RunningJob.placedTasks(): List<Assignment> = assigned.values.sortedBy { it.index }

internal fun running(assignment: Assignment): ReportedTask = TestScheduler.running(assignment.id, assignment.attempt)

internal fun ended(
    assignment: Assignment,
    cause: ExitCause,
): ReportedTask = TestScheduler.ended(assignment.id, assignment.attempt, cause)
