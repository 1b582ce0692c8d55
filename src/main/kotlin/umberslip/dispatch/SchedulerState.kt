package umberslip.dispatch

import org.slf4j.LoggerFactory
import umberslip.agents.Cause
import umberslip.agents.Machine
import umberslip.agents.Order
import umberslip.agents.Report
import umberslip.agents.ReportedTask
import umberslip.agents.Room
import umberslip.agents.TaskState
import umberslip.cloud.Flavor
import umberslip.cloud.HostName
import umberslip.records.ChunkRecord
import umberslip.records.End
import umberslip.records.JobId
import umberslip.records.JobRecord
import umberslip.records.Keys
import umberslip.records.LogRecord
import umberslip.records.Placement
import umberslip.records.RecordView
import umberslip.records.Shape
import umberslip.records.TaskId
import umberslip.records.Term
import umberslip.records.Versioned
import umberslip.recovery.RecoveryTracker
import umberslip.recovery.TaskFinding
import umberslip.settings.Settings
import umberslip.settings.Timings
import umberslip.state.Version
import java.time.Instant
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** What becomes of a worker's report. */
enum class Verdict {
    /** Its contents are proof; to be answered with the owner's term and with orders. */
    ANSWER,

    /**
     * It carries an older term, so it proves nothing, not even that its machine is up: it may be a late
     * copy. Answered with the owner's term alone, after which a live worker's next report carries it.
     */
    TOKEN_ONLY,

    /** Older than what is known, or of a machine that was returned: answered by no order and no lease. */
    STALE,

    /** The worker has seen a higher term: somebody else owns. */
    OUTRANKED,
}

/**
 * All that the owner knows and decides: jobs, machines and what is on them. Pure state; time comes
 * in with every call, and everything that leaves the process goes through [pendingWrites] and [orders].
 */
class SchedulerState(
    val settings: Settings,
    val timings: Timings,
    val term: Term,
    ownerVersion: Version,
    private val wallClock: () -> Instant,
    logSlots: Int = PendingWrites.slotCount(settings.stateLimits.valueBytes),
    val recovery: RecoveryTracker? = null,
) {
    private val log = LoggerFactory.getLogger("umberslip.dispatch")
    private val perChunk = ChunkRecord.tasksPerChunk(settings.stateLimits.chunkBytes)
    val jobs = LinkedHashMap<JobId, RunningJob>()
    val pipelines = Pipelines(jobs)
    val machines = LinkedHashMap<HostName, Machine>()

    /** Images that some machine has. */
    private val images = HashSet<String>()
    val teams: Map<String, Dispatcher> = settings.teams.associate { it.name to Dispatcher(it, images) }
    val pendingWrites = PendingWrites(settings.stateLimits, ownerVersion, term.value shl 32, logSlots)
    private val starvationGuard = StarvationGuard()
    private val jobTargets = JobTargets(settings.objectives)
    private val workerOrders = WorkerOrders(jobs)
    val failures = FailureTracker(jobs)
    private val returned = HashSet<HostName>()
    private val unknownTeams = HashSet<JobId>()
    private var flavors: Map<String, Flavor> = emptyMap()

    // ---- taking over, and what other controllers write ----

    /**
     * Takes the records as they stand. A machine that the records name keeps its tasks until its
     * report carries this term, or until [silentUntil]: by then every lease that a former owner
     * can have renewed has run out.
     */
    fun load(
        records: RecordView,
        now: Duration,
        silentUntil: Duration,
    ) {
        for ((id, job) in records.jobs()) jobChanged(id, job, now)
        for ((id, chunks) in records.chunks()) {
            val job = jobs[id]
            if (job == null) {
                chunks.keys.forEach { pendingWrites.drop(Keys.chunk(id, it)) }
                continue
            }
            for ((number, record) in chunks) {
                job.load(number, record)
                for (p in record.value.placed) placed(job, p, now, silentUntil)
            }
        }
        for ((number, record) in records.log().entries.sortedBy { it.value.value.seq }) {
            load(number, record, records, now, silentUntil)
        }
        records.condemned?.let {
            pendingWrites.load(it, machines.keys)
            for (host in it.value.hosts) machines[host]?.condemnedAt = now
        }
        for (job in jobs.values) changed(job)
        recovery?.tookOver(machines.mapValues { it.value.assignments.size }.filterValues { it > 0 }, now)
    }

    private fun load(
        number: Int,
        record: Versioned<LogRecord>,
        records: RecordView,
        now: Duration,
        silentUntil: Duration,
    ) {
        val named = LinkedHashSet<Chunk>()
        for ((id, row) in record.value.rows) {
            val job = jobs[id] ?: continue
            val known = records.chunks()[id]

            fun isIn(chunk: Chunk) = (known?.get(chunk.number)?.value?.seq ?: 0L) >= record.value.seq
            for (p in row.starts) {
                val chunk = job.chunk(p.index)
                if (isIn(chunk)) continue
                // Later entries win: a task goes elsewhere only after it was certainly gone.
                job.assigned[p.index]?.let(::detach)
                if (!job.isDone(p.index)) placed(job, p, now, silentUntil)
                chunk.lastAttempt = maxOf(chunk.lastAttempt, p.attempt)
                chunk.startLogged(p)
                named += chunk
            }
            for (e in row.ends) {
                val chunk = job.chunk(e.index)
                if (isIn(chunk)) continue
                if (e.done) job.setDone(e.index)
                job.assigned[e.index]?.let { if (e.done || it.attempt == e.attempt) detach(it) }
                named += chunk
            }
        }
        pendingWrites.load(number, record.version, named, now)
    }

    private fun placed(
        job: RunningJob,
        p: Placement,
        now: Duration,
        silentUntil: Duration,
    ) {
        val machine =
            machines.getOrPut(p.host) {
                Machine(p.host, "", "", false).also {
                    it.leaseEnd = silentUntil
                    it.loadedAt = now
                }
            }
        val a = Assignment(job, p.index, p.attempt, p.host, machine.zone)
        a.recorded = true
        attach(a, machine)
    }

    fun jobChanged(
        id: JobId,
        record: Versioned<JobRecord>,
        now: Duration,
    ) {
        val known = jobs[id]
        if (known != null) {
            if (record.version.value <= known.record.version.value) return
            known.record = record
            if (known.cancelled) {
                withdrawUnrecorded(known)
                pipelines.cancelDependents(known).forEach(::changed)
            }
            changed(known)
            return
        }
        val team = teams[record.value.spec.team]
        if (team == null) {
            if (unknownTeams.add(id)) {
                log.error("job {} belongs to team {}, which the settings do not have", id.value, record.value.spec.team)
            }
            return
        }
        val age = (wallClock().toEpochMilli() - record.value.submitted.toEpochMilli()).milliseconds
        val spec = record.value.spec
        val job =
            RunningJob(
                spec,
                record,
                perChunk,
                now - age,
                jobTargets.targets(spec, now - age, now - age),
                jobTargets.deadlines(spec, now - age),
            )
        job.gatherBound = settings.workers.gangWait
        job.lastPlaced = now
        job.waitingSince = now
        jobs[id] = job
        pipelines.came(job).forEach(::changed)
        changed(job)
    }

    /** How a job that others need ended, as its record says. */
    fun ended(
        id: JobId,
        end: End,
        now: Duration,
    ) {
        for (job in pipelines.ended(id, end)) {
            if (!job.held) job.ready(jobTargets.targets(job.spec, job.submittedAt, now), now)
            changed(job)
        }
    }

    /** What jobs take over from those that need them may have changed. */
    fun rerank(now: Duration) {
        for ((job, rank) in pipelines.rerank()) {
            teams[job.spec.team]?.reposition(job) { job.rank(rank.urgency, rank.deadlines, now) }
        }
    }

    /** Whether it has anything to place, or is over, may have changed. */
    private fun changed(job: RunningJob) {
        if (jobs[job.spec.id] !== job) return
        teams[job.spec.team]?.refresh(job)
        starvationGuard.refresh(job)
        pendingWrites.over(job)
    }

    fun relayed(
        hosts: Set<HostName>,
        now: Duration,
    ) {
        for (host in hosts) machines[host]?.relayedAt = now
    }

    fun jobGone(id: JobId) {
        jobs[id]?.let { remove(it) }
    }

    fun setFlavors(all: List<Flavor>) {
        flavors = all.associateBy { it.label }
        for (machine in machines.values) machine.flavor = flavors[machine.type]
    }

    // ---- reports ----

    fun report(
        report: Report,
        now: Duration,
    ): Verdict {
        if (report.host in returned) return Verdict.STALE
        if (report.token > term) return Verdict.OUTRANKED
        val known = machines[report.host]
        val last = known?.mark
        if (last != null && report.mark <= last) return Verdict.STALE
        if (report.token < term) {
            if (known != null) describe(known, report)
            known?.proven = false
            return Verdict.TOKEN_ONLY
        }
        val machine =
            known ?: Machine(report.host, report.type, report.zone, report.spot).also { machines[report.host] = it }
        // The worker stays with a controller only if its answer arrived, and knows this term only from
        // an answer: so either shows that it receives answers. Reports alone do not: answers to it may be lost,
        // and copies of old reports may come late.
        machine.hearsAnswers = !machine.proven || last == null || report.mark.follows(last)
        val newSession = machine.proven && report.mark.session != last?.session
        describe(machine, report)
        if (machine.firstHeard == null) {
            machine.firstHeard = now
            log.info(
                "machine {} ({} in {}{}) reports",
                machine.name.value,
                machine.type,
                machine.zone,
                if (machine.spot) ", spot" else "",
            )
        }
        if (machine.hearsAnswers) {
            machine.lastHeard = now
            pendingWrites.toCondemn -= machine.name
            machine.condemnedAt = null
        }
        val warning = report.warningSeconds
        if (warning == null) {
            machine.takenAt = null
        } else if (machine.takenAt == null) {
            machine.takenAt = now + warning.seconds
            log.info("machine {} will be taken back in {} s", machine.name.value, warning)
        }
        if (!machine.proven) recovery?.heard(machine.name, TaskFinding.of(machine, report.tasks, jobs).values, now)
        machine.proven = true
        reconcile(machine, report, newSession, now)
        return Verdict.ANSWER
    }

    private fun describe(
        machine: Machine,
        report: Report,
    ) {
        if (machine.zone != report.zone) moveToZone(machine, report.zone)
        machine.type = report.type
        machine.spot = report.spot
        if (machine.flavor?.label != report.type) machine.flavor = flavors[report.type]
        machine.mark = report.mark
    }

    /** Records do not say in which zone a machine is; the zones of its tasks are set by its first report. */
    private fun moveToZone(
        machine: Machine,
        zone: String,
    ) {
        val all = machine.assignments.values.toList()
        machine.zone = zone
        for (old in all) {
            val a = Assignment(old.job, old.index, old.attempt, old.host, zone)
            a.recorded = old.recorded
            a.reserved = old.reserved
            a.windDown = old.windDown
            old.job.unplace(old)
            machine.drop(old)
            old.job.place(a)
            machine.add(a)
        }
    }

    private fun reconcile(
        machine: Machine,
        report: Report,
        newSession: Boolean,
        now: Duration,
    ) {
        val tasks = HashMap<TaskId, ReportedTask>(report.tasks.size * 2)
        for (a in machine.assignments.values) a.seen = false
        for (piece in report.tasks) {
            tasks[piece.task] = piece
            val a = machine.assignments[piece.task]
            if (a == null || a.attempt != piece.attempt || a.reserved) continue
            a.seen = true
            a.status = piece.status
            if (piece.status == TaskState.RUNNING && a.runningSince == null) {
                a.runningSince = now
                machine.ran(a.job.spec.image)
            }
            if (piece.status == TaskState.ENDED) ended(machine, a, piece.cause ?: Cause.ERROR, now)
        }
        machine.reported = tasks
        if (machine.awaitingClear.isNotEmpty()) {
            machine.awaitingClear.entries.removeIf { (task, ending) -> tasks[task]?.attempt != ending.attempt }
        }
        var absent: ArrayList<Assignment>? = null
        for (a in machine.assignments.values) {
            if (a.recorded && !a.reserved && !a.seen) absent = (absent ?: ArrayList()).also { it += a }
        }
        for (a in absent.orEmpty()) {
            // Proven absent: a reply that would have started it is dropped, since the worker has gone
            // on to a newer report. It is told again, unless it should not be here any more.
            a.status = null
            a.runningSince = null
            if (
                newSession ||
                a.windDown != null ||
                a.job.cancelled ||
                !(machine.usable || machine.staysFor(now) > Duration.ZERO)
            ) {
                release(a, now)
            }
        }
        if (newSession) log.info("machine {} began session {}", machine.name.value, report.mark.session)
    }

    private fun ended(
        machine: Machine,
        a: Assignment,
        cause: Cause,
        now: Duration,
    ) {
        val job = a.job
        machine.awaitingClear[a.id] = release(a, now, done = cause == Cause.DONE)
        when (cause) {
            Cause.DONE -> {
                failures.succeeded(machine, job)
                a.runningSince?.let { job.observed(now - it) }
            }
            Cause.ERROR -> failures.failed(machine, job, a.runningSince?.let { now - it } ?: Duration.ZERO, now)
            Cause.FULL, Cause.BUSY -> machine.noRoomUntil = now + 2.seconds
            Cause.UNKNOWN -> job.notBefore = now + 2.seconds
            Cause.HALTED, Cause.PEERS, Cause.ALONE -> Unit
        }
    }

    /** Bounds the leases that this owner's answer renews. */
    fun answered(
        name: HostName,
        now: Duration,
    ) {
        machines[name]?.let {
            it.leaseEnd = maxOf(it.leaseEnd, now + timings.stretched(timings.lease) + timings.margin)
        }
    }

    // ---- placing ----

    /** Deals a machine's free room; false if the time ran out and more may be placed. */
    fun deal(
        machine: Machine,
        now: Duration,
        outOfTime: () -> Boolean,
    ): Boolean {
        if (!machine.mayStay || machine.noRoomUntil > now) return true
        val within = if (machine.usable) Duration.INFINITE else machine.staysFor(now)
        var free = machine.free() ?: return true
        if (free.isNone) return true
        // Something is on the machine that the records do not know: its room is not known either.
        if (
            machine.reported.values.any {
                it.status != TaskState.ENDED && machine.assignments[it.task]?.attempt != it.attempt
            }
        ) {
            return true
        }
        val candidates = LinkedHashMap<Dispatcher, RunningJob>()
        for (team in teams.values) team.pick(machine, free, now, within)?.let { candidates[team] = it }
        while (candidates.isNotEmpty()) {
            val longestWaiting =
                starvationGuard.next(now) { job ->
                    teams[job.spec.team]?.mayPlace(job, machine, free, now, within) == true
                }
            val job = longestWaiting ?: candidates.getValue(Turns.next(candidates) ?: return true)
            val index = job.peek()
            if (index != null) {
                place(job, index, machine, now)
                starvationGuard.dealt(job, job === longestWaiting, now)
                free = machine.free() ?: return true
            }
            if (outOfTime()) return false
            // Only the team that took its turn can have a new first choice; the others' may no longer fit.
            for (other in candidates.keys.toList()) {
                if (other.team.name != job.spec.team && free.covers(candidates.getValue(other).room)) continue
                val next = other.pick(machine, free, now, within)
                if (next == null) candidates.remove(other) else candidates[other] = next
            }
        }
        return true
    }

    private fun place(
        job: RunningJob,
        index: Int,
        machine: Machine,
        now: Duration,
    ) {
        job.lastPlaced = now
        if (machine.keptFor === job) machine.keepFor(null, now)
        val a = Assignment(job, index, 0, machine.name, machine.zone)
        if (job.spec.shape == Shape.GANG) {
            a.reserved = true
            if (job.gatheringSince == null) job.gatheringSince = now
            attach(a, machine)
            if (job.assigned.size == job.spec.tasks - job.doneCount) startGang(job, now)
        } else {
            attach(a, machine)
            number(a, job.highestAttempt() + 1, now)
        }
    }

    private fun number(
        a: Assignment,
        attempt: Long,
        now: Duration,
    ) {
        a.attempt = attempt
        a.job.chunk(a.index).lastAttempt = attempt
        pendingWrites.started(a, now)
    }

    private fun startGang(
        job: RunningJob,
        now: Duration,
    ) {
        val attempt = job.highestAttempt() + 1
        for (a in job.assigned.values) {
            a.reserved = false
            number(a, attempt, now)
        }
        job.gatheringSince = null
        job.gatherBound = settings.workers.gangWait
    }

    private fun attach(
        a: Assignment,
        machine: Machine,
    ) {
        a.job.place(a)
        machine.add(a)
        machine.images.add(a.job.spec.image)
        images.add(a.job.spec.image)
        teams[a.job.spec.team]?.take(a.room)
        changed(a.job)
    }

    /** The task is certainly not on that machine any more, so it waits again unless it is done. */
    private fun release(
        a: Assignment,
        now: Duration,
        done: Boolean = false,
    ): TaskEnd {
        // Before it is detached: what is not done then waits to be placed again.
        if (done) a.job.setDone(a.index)
        detach(a)
        return pendingWrites.ended(a, done, now)
    }

    private fun detach(a: Assignment) {
        machines[a.host]?.drop(a)
        a.job.unplace(a)
        teams[a.job.spec.team]?.give(a.room)
        changed(a.job)
    }

    private fun withdrawReserved(job: RunningJob) {
        job.assigned.values
            .filter { it.reserved }
            .forEach(::detach)
        job.gatheringSince = null
    }

    /** Nobody was told of these. */
    private fun withdrawUnrecorded(job: RunningJob) {
        withdrawReserved(job)
        job.assigned.values.filter { !it.recorded }.forEach {
            pendingWrites.withdrawn(it)
            detach(it)
        }
    }

    // ---- what the worker is told ----

    /** Orders for the newest report of a machine. */
    fun orders(
        machine: Machine,
        mayStart: Boolean,
    ): List<Order> = workerOrders.of(machine, mayStart)

    fun hasUnrecorded(machine: Machine): Boolean = machine.assignments.values.any { !it.recorded && !it.reserved }

    // ---- the passing of time ----

    /** Nothing is on the machine any more. */
    fun forget(
        machine: Machine,
        now: Duration,
    ) {
        for (a in machine.assignments.values.toList()) if (a.reserved) detach(a) else release(a, now)
        recovery?.gone(machine.name, now)
        machine.reported = emptyMap()
        machine.awaitingClear.clear()
        machine.proven = false
    }

    /** Asks a task to stop; all tasks of a gang are asked together, so that it can save as one. */
    fun stop(
        a: Assignment,
        windDown: Duration,
    ) {
        val all = if (a.job.spec.shape == Shape.GANG) a.job.assigned.values else listOf(a)
        all.forEach { if (it.windDown == null) it.windDown = windDown }
    }

    /** Gangs that hold slots and are not complete. */
    fun gathering(): List<RunningJob> =
        teams.values.flatMap { team ->
            team.waiting.filter { it.gatheringSince != null }
        }

    fun gatherInTime(
        job: RunningJob,
        now: Duration,
    ) {
        val since = job.gatheringSince ?: return
        if (now - since < job.gatherBound) return
        withdrawReserved(job)
        job.gatherAgainAt = now + job.gatherBound
        job.gatherBound *= 2
        log.info("gang {} gave its slots back; the next try may take {}", job.spec.id.value, job.gatherBound)
    }

    /** A release was answered with 200: the machines and all on them are gone. */
    fun released(
        names: List<HostName>,
        now: Duration,
    ) {
        for (name in names) {
            returned += name
            machines[name]?.let {
                forget(it, now)
                machines.remove(name)
            }
        }
    }

    // ---- what is written ----

    /** Answered with the machines that got starts recorded. */
    fun applied(
        batch: Batch,
        version: Version,
        now: Duration,
    ): Set<HostName> {
        val touched = pendingWrites.applied(batch, version)
        // Only what the record names without a break since then is out of others' reach.
        batch.condemned?.forEach { host ->
            machines[host]?.let { if (host in pendingWrites.toCondemn && it.condemnedAt == null) it.condemnedAt = now }
        }
        for ((job, end) in batch.over) {
            remove(job)
            ended(job.spec.id, end, now)
        }
        return touched
    }

    /** What the state service shows of a key whose guard failed, or whose write's fate is unknown. */
    fun settle(
        key: String,
        version: Version?,
        data: Any?,
    ) {
        val chunk = Keys.asChunk(key)
        val job = Keys.asJob(key)
        if (chunk != null) {
            jobs[chunk.first]?.chunkNumber(chunk.second)?.version = version ?: Version.NONE
        } else if (job != null && version == null) {
            jobs[job]?.let(::remove)
        } else if (job != null && version != null && data != null) {
            val known = jobs[job]
            if (known != null && known.record.version != version) {
                jobChanged(job, Versioned(JobRecord.parse(data), version), Duration.ZERO)
            }
        } else {
            pendingWrites.settle(key, version)
        }
    }

    private fun remove(job: RunningJob) {
        if (jobs.remove(job.spec.id) == null) return
        job.assigned.values
            .toList()
            .forEach(::detach)
        teams[job.spec.team]?.remove(job)
        starvationGuard.remove(job)
        pendingWrites.remove(job)
        pipelines.gone(job)
    }
}
