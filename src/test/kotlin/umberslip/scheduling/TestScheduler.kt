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

/** A scheduler with machines that report when told to, and a key-value store that takes every batch. */
class TestScheduler(
    val term: Term = Term(5),
    private val replica: RecordReplica = RecordReplica(),
    private val settingsJson: String = Fixtures.settingsJson("c-0"),
    private val logSlots: Int = 256,
) {
    val settings = Settings.parse(settingsJson)
    val timings = Timings(settings.workers, Tuning())
    val scheduler =
        SchedulerState(settings, timings, term, Version(1), { Instant.EPOCH }, logSlots).also {
            it.setInstanceTypes(ClusterSize.SMALL)
        }
    private val maintenance = Maintenance(scheduler, settings, timings)
    var now: Duration = 100.seconds
    var version = 100L
    private val counters = HashMap<MachineName, Long>()
    private var made = 0
    val written = ArrayList<Write>()

    fun job(change: (JobSpec) -> JobSpec = { it }): RunningJob {
        val number = ++made
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

    fun heartbeat(
        machineName: String,
        vararg tasks: ReportedTask,
        fencingToken: Term = term,
        type: String = "small",
        zone: String = "east",
        spot: Boolean = false,
        session: Long = 1,
        sequenceNumber: Long? = null,
        warning: Double? = null,
    ): HeartbeatDisposition {
        val name = MachineName(machineName)
        val next = sequenceNumber ?: ((counters[name] ?: 0) + 1)
        counters[name] = next
        return scheduler
            .heartbeat(Heartbeat(name, type, zone, spot, HeartbeatVersion(session, next), fencingToken, warning, tasks.toList()), now)
            .also { if (it == HeartbeatDisposition.ACCEPTED || it == HeartbeatDisposition.TOKEN_BEHIND) scheduler.leaseRenewed(name, now) }
    }

    fun dispatch(machineName: String) = scheduler.dispatch(machine(machineName), now) { false }

    fun machine(machineName: String) = scheduler.machines.getValue(MachineName(machineName))

    fun commands(
        machineName: String,
        mayStart: Boolean = true,
    ): List<WorkerCommand> = scheduler.commands(machine(machineName), mayStart)

    fun starts(machineName: String): List<TaskId> = commands(machineName).filterIsInstance<WorkerCommand.Start>().map { it.task }

    fun tick() = maintenance.tick(now)

    fun hasLostWorkers(): Boolean = maintenance.hasLostWorkers(now)

    /** Whatever an leader writes must fail once another leads. */
    fun batch(): WriteBatch? =
        scheduler.writeAheadLog.nextBatch(settings.storeLimits.transactionOps, scheduler.machines.keys, now)?.also { batch ->
            check(batch.preconditions.count { it.key == Keys.LEADER && it.version != Version.NONE } == 1) {
                "a batch without the owner's guard: ${batch.preconditions}"
            }
            for (write in batch.writes) checkStartsAreGuarded(write, batch.preconditions)
        }

    /** A start is recorded under the precondition of its job's record, whatever it is recorded for. */
    private fun checkStartsAreGuarded(
        write: Write,
        preconditions: List<Precondition>,
    ) {
        if (write !is Write.Put || Keys.asLog(write.key) == null) return
        val entry = LogRecord.parse(Documents.readCbor(Documents.writeCbor(write.data)))
        for ((id, row) in entry.rows) {
            val job = scheduler.jobs.getValue(id)
            val unrecorded =
                row.starts.filter { start ->
                    job.assigned[start.index]?.let { it.attempt == start.attempt && !it.recorded } ?: false
                }
            check(unrecorded.isEmpty() || preconditions.any { it.key == Keys.job(id) }) { "$id: unguarded $unrecorded" }
        }
    }

    /** Writes all that is due, as the key-value store would take it. */
    fun write(): Int {
        var ops = 0
        while (true) {
            val batch = batch() ?: return ops
            ops += batch.writes.size
            written += batch.writes
            version++
            for (w in batch.writes) {
                replica.apply(
                    when (w) {
                        is Write.Put -> {
                            Change.Put(w.key, Documents.readCbor(Documents.writeCbor(w.data)), Version(version))
                        }
                        is Write.Drop -> Change.Drop(w.key, Version(version))
                    },
                )
            }
            scheduler.applied(batch, Version(version), now)
        }
    }

    /** What an operator is told of the records as they stand. */
    fun recorded(): RecordedWork = RecordedWork.of(replica, settings)

    fun successor() =
        TestScheduler(term.next(), replica, settingsJson, logSlots).also {
            it.now = now
            it.version = version
            it.made = made
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
