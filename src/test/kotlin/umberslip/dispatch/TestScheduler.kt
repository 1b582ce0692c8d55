package umberslip.dispatch

import umberslip.agents.Cause
import umberslip.agents.Mark
import umberslip.agents.Order
import umberslip.agents.Report
import umberslip.agents.ReportedTask
import umberslip.agents.TaskState
import umberslip.cloud.HostName
import umberslip.http.Documents
import umberslip.records.JobRecord
import umberslip.records.JobSpec
import umberslip.records.Keys
import umberslip.records.LogRecord
import umberslip.records.Replica
import umberslip.records.TaskId
import umberslip.records.Term
import umberslip.records.Versioned
import umberslip.recovery.RecordedWork
import umberslip.settings.Settings
import umberslip.settings.Timings
import umberslip.settings.Tuning
import umberslip.sim.Samples
import umberslip.sim.WorldSize
import umberslip.state.Change
import umberslip.state.Guard
import umberslip.state.Version
import umberslip.state.Write
import java.time.Instant
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** A scheduler with machines that report when told to, and a state service that takes every batch. */
class TestScheduler(
    val term: Term = Term(5),
    private val replica: Replica = Replica(),
    private val settingsJson: String = Samples.settingsJson("c-0"),
    private val logSlots: Int = 256,
) {
    val settings = Settings.parse(settingsJson)
    val timings = Timings(settings.workers, Tuning())
    val scheduler =
        SchedulerState(settings, timings, term, Version(1), { Instant.EPOCH }, logSlots).also {
            it.setFlavors(WorldSize.SMALL)
        }
    private val maintenance = Maintenance(scheduler, settings, timings)
    var now: Duration = 100.seconds
    var version = 100L
    private val counters = HashMap<HostName, Long>()
    private var made = 0
    val written = ArrayList<Write>()

    fun job(change: (JobSpec) -> JobSpec = { it }): RunningJob {
        val number = ++made
        val spec =
            change(
                Samples.unboundJob(Random(1), number).copy(
                    tasks = 3,
                    expectedSeconds = 10.0,
                    dueSeconds = 60.0,
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

    fun report(
        host: String,
        vararg tasks: ReportedTask,
        token: Term = term,
        type: String = "small",
        zone: String = "east",
        spot: Boolean = false,
        session: Long = 1,
        counter: Long? = null,
        warning: Double? = null,
    ): Verdict {
        val name = HostName(host)
        val next = counter ?: ((counters[name] ?: 0) + 1)
        counters[name] = next
        return scheduler
            .report(Report(name, type, zone, spot, Mark(session, next), token, warning, tasks.toList()), now)
            .also { if (it == Verdict.ANSWER || it == Verdict.TOKEN_ONLY) scheduler.answered(name, now) }
    }

    fun deal(host: String) = scheduler.deal(machine(host), now) { false }

    fun machine(host: String) = scheduler.machines.getValue(HostName(host))

    fun orders(
        host: String,
        mayStart: Boolean = true,
    ): List<Order> = scheduler.orders(machine(host), mayStart)

    fun starts(host: String): List<TaskId> = orders(host).filterIsInstance<Order.Start>().map { it.task }

    fun tick() = maintenance.tick(now)

    fun isUnheard(): Boolean = maintenance.isUnheard(now)

    /** Whatever an owner writes must fail once another owns. */
    fun batch(): Batch? =
        scheduler.pendingWrites.nextBatch(settings.stateLimits.txnOps, scheduler.machines.keys, now)?.also { batch ->
            check(batch.guards.count { it.key == Keys.OWNER && it.version != Version.NONE } == 1) {
                "a batch without the owner's guard: ${batch.guards}"
            }
            for (write in batch.writes) checkStartsAreGuarded(write, batch.guards)
        }

    /** A start is recorded under the guard of its job's record, whatever it is recorded for. */
    private fun checkStartsAreGuarded(
        write: Write,
        guards: List<Guard>,
    ) {
        if (write !is Write.Put || Keys.asLog(write.key) == null) return
        val entry = LogRecord.parse(Documents.readCbor(Documents.writeCbor(write.data)))
        for ((id, row) in entry.rows) {
            val job = scheduler.jobs.getValue(id)
            val unrecorded =
                row.starts.filter { start ->
                    job.assigned[start.index]?.let { it.attempt == start.attempt && !it.recorded } ?: false
                }
            check(unrecorded.isEmpty() || guards.any { it.key == Keys.job(id) }) { "$id: unguarded $unrecorded" }
        }
    }

    /** Writes all that is due, as the state service would take it. */
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
            cause: Cause,
        ) = ReportedTask(task, attempt, TaskState.ENDED, cause, false)
    }
}
