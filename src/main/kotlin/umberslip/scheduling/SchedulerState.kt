package umberslip.scheduling

import org.slf4j.LoggerFactory
import umberslip.agents.ExitCause
import umberslip.agents.Heartbeat
import umberslip.agents.ReportedTask
import umberslip.agents.TaskState
import umberslip.agents.WorkerCommand
import umberslip.cloud.InstanceType
import umberslip.core.JobId
import umberslip.core.MachineName
import umberslip.core.Shape
import umberslip.core.TaskId
import umberslip.core.Term
import umberslip.records.JobOutcome
import umberslip.records.JobRecord
import umberslip.records.Keys
import umberslip.records.LogRecord
import umberslip.records.Placement
import umberslip.records.ProgressRecord
import umberslip.records.RecordView
import umberslip.records.Versioned
import umberslip.settings.Settings
import umberslip.settings.Timings
import umberslip.store.Version
import java.time.Instant
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** What becomes of a worker's heartbeat. */
enum class HeartbeatDisposition {
    /** Its contents are proof; to be answered with the leader's term and with orders. */
    ACCEPTED,

    /**
     * It carries an older term, so it proves nothing, not even that its machine is up: it may be a late
     * copy. Answered with the leader's term alone, after which a live worker's next heartbeat carries it.
     */
    TOKEN_BEHIND,

    /** Older than what is known, or of a machine that was returned: answered by no order and no lease. */
    OUT_OF_DATE,

    /** The worker has seen a higher term: somebody else leads. */
    SUPERSEDED,
}

/**
 * All that the leader knows and decides: jobs, machines and what is on them. Pure state; time comes
 * in with every call, and everything that leaves the process goes through [writeAheadLog] and [commands].
 */
class SchedulerState(
    val settings: Settings,
    val timings: Timings,
    val term: Term,
    leaderVersion: Version,
    private val wallClock: () -> Instant,
    logSlots: Int = WriteAheadLog.slotCount(settings.storeLimits.valueBytes),
    private val reconciliationObserver: ReconciliationObserver? = null,
) {
    private val log = LoggerFactory.getLogger("umberslip.scheduling")
    private val tasksPerBlock = ProgressRecord.tasksPerBlock(settings.storeLimits.blockBytes)
    val jobs = LinkedHashMap<JobId, RunningJob>()
    val dependencyGraph = DependencyGraph(jobs)
    val machines = LinkedHashMap<MachineName, Machine>()

    /** Images that some machine has. */
    private val images = HashSet<String>()
    val teams: Map<String, Dispatcher> = settings.teams.associate { it.name to Dispatcher(it, images) }
    val writeAheadLog = WriteAheadLog(settings.storeLimits, leaderVersion, term.value shl 32, logSlots)
    private val starvationGuard = StarvationGuard()
    private val jobObjectives = JobObjectives(settings.objectives)
    private val workerCommands = WorkerCommands(jobs)
    val failures = FailureTracker(jobs)
    private val returned = HashSet<MachineName>()
    private val unknownTeams = HashSet<JobId>()
    private var instanceTypes: Map<String, InstanceType> = emptyMap()

    // ---- taking over, and what other controllers write ----

    /**
     * Takes the records as they stand. A machine that the records name keeps its tasks until its
     * report carries this term, or until [formerLeaseExpiry]: by then every lease that a former leader
     * can have renewed has run out.
     */
    fun load(
        records: RecordView,
        now: Duration,
        formerLeaseExpiry: Duration,
    ) {
        for ((id, job) in records.jobs()) jobChanged(id, job, now)
        for ((id, blocks) in records.progressRecords()) {
            val job = jobs[id]
            if (job == null) {
                blocks.keys.forEach { writeAheadLog.drop(Keys.progress(id, it)) }
                continue
            }
            for ((number, record) in blocks) {
                job.load(number, record)
                for (p in record.value.placed) placed(job, p, now, formerLeaseExpiry)
            }
        }
        for ((number, record) in records.log().entries.sortedBy { it.value.value.seq }) {
            load(number, record, records, now, formerLeaseExpiry)
        }
        records.revokedRenewals?.let {
            writeAheadLog.load(it, machines.keys)
            for (machineName in it.value.machineNames) machines[machineName]?.renewalRevokedAt = now
        }
        for (job in jobs.values) changed(job)
        reconciliationObserver?.recordsLoaded(
            machines.mapValues { it.value.assignments.size }.filterValues { it > 0 },
            now,
        )
    }

    private fun load(
        number: Int,
        record: Versioned<LogRecord>,
        records: RecordView,
        now: Duration,
        formerLeaseExpiry: Duration,
    ) {
        val named = LinkedHashSet<ProgressBlock>()
        for ((id, row) in record.value.rows) {
            val job = jobs[id] ?: continue
            val known = records.progressRecords()[id]

            fun isIn(block: ProgressBlock) = (known?.get(block.number)?.value?.seq ?: 0L) >= record.value.seq
            for (p in row.starts) {
                val block = job.block(p.index)
                if (isIn(block)) continue
                // Later entries win: a task goes elsewhere only after it was certainly gone.
                job.assigned[p.index]?.let(::detach)
                if (!job.isDone(p.index)) placed(job, p, now, formerLeaseExpiry)
                block.lastAttempt = maxOf(block.lastAttempt, p.attempt)
                block.startLogged(p)
                named += block
            }
            for (e in row.ends) {
                val block = job.block(e.index)
                if (isIn(block)) continue
                if (e.done) job.setDone(e.index)
                job.assigned[e.index]?.let { if (e.done || it.attempt == e.attempt) detach(it) }
                named += block
            }
        }
        writeAheadLog.load(number, record.version, named, now)
    }

    private fun placed(
        job: RunningJob,
        p: Placement,
        now: Duration,
        formerLeaseExpiry: Duration,
    ) {
        val machine =
            machines.getOrPut(p.machineName) {
                Machine(p.machineName, "", "", false).also {
                    it.leaseExpiry = formerLeaseExpiry
                    it.loadedAt = now
                }
            }
        val a = Assignment(job, p.index, p.attempt, p.machineName, machine.zone)
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
                dependencyGraph.cancelDependents(known).forEach(::changed)
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
                tasksPerBlock,
                now - age,
                jobObjectives.objectiveDeadlines(spec, now - age, now - age),
                jobObjectives.deadlines(spec, now - age),
            )
        job.assemblyTimeout = settings.workers.gangWait
        job.lastPlaced = now
        job.waitingSince = now
        jobs[id] = job
        dependencyGraph.added(job).forEach(::changed)
        changed(job)
    }

    /** How a job that others need ended, as its record says. */
    fun dependencyEnded(
        id: JobId,
        end: JobOutcome,
        now: Duration,
    ) {
        for (job in dependencyGraph.ended(id, end)) {
            if (!job.isBlocked) job.becomeRunnable(jobObjectives.objectiveDeadlines(job.spec, job.submittedAt, now), now)
            changed(job)
        }
    }

    /** What jobs take over from those that need them may have changed. */
    fun inheritPriorities(now: Duration) {
        for ((job, rank) in dependencyGraph.inheritPriorities()) {
            teams[job.spec.team]?.reinsert(job) { job.inherit(rank.priority, rank.deadlines, now) }
        }
    }

    /** Whether it has anything to place, or is over, may have changed. */
    private fun changed(job: RunningJob) {
        if (jobs[job.spec.id] !== job) return
        teams[job.spec.team]?.refresh(job)
        starvationGuard.refresh(job)
        writeAheadLog.jobChanged(job)
    }

    fun renewedByFollower(
        machineNames: Set<MachineName>,
        now: Duration,
    ) {
        for (machineName in machineNames) machines[machineName]?.renewedByFollowerAt = now
    }

    fun jobRemoved(id: JobId) {
        jobs[id]?.let { remove(it) }
    }

    fun setInstanceTypes(all: List<InstanceType>) {
        instanceTypes = all.associateBy { it.label }
        for (machine in machines.values) machine.instanceType = instanceTypes[machine.type]
    }

    // ---- heartbeats ----

    fun heartbeat(
        heartbeat: Heartbeat,
        now: Duration,
    ): HeartbeatDisposition {
        if (heartbeat.machineName in returned) return HeartbeatDisposition.OUT_OF_DATE
        if (heartbeat.fencingToken > term) return HeartbeatDisposition.SUPERSEDED
        val known = machines[heartbeat.machineName]
        val last = known?.heartbeatVersion
        if (last != null && heartbeat.heartbeatVersion <= last) return HeartbeatDisposition.OUT_OF_DATE
        if (heartbeat.fencingToken < term) {
            if (known != null) describe(known, heartbeat)
            known?.isReconciled = false
            return HeartbeatDisposition.TOKEN_BEHIND
        }
        val machine =
            known ?: Machine(heartbeat.machineName, heartbeat.type, heartbeat.zone, heartbeat.spot).also { machines[heartbeat.machineName] = it }
        // The worker stays with a controller only if its answer arrived, and knows this term only from
        // an answer: so either shows that it receives answers. Heartbeats alone do not: answers to it may be lost,
        // and copies of old heartbeats may come late.
        machine.receivesResponses = !machine.isReconciled || last == null || heartbeat.heartbeatVersion.follows(last)
        val newSession = machine.isReconciled && heartbeat.heartbeatVersion.session != last?.session
        describe(machine, heartbeat)
        if (machine.firstContact == null) {
            machine.firstContact = now
            log.info(
                "machine {} ({} in {}{}) reports",
                machine.name.value,
                machine.type,
                machine.zone,
                if (machine.spot) ", spot" else "",
            )
        }
        if (machine.receivesResponses) {
            machine.lastContact = now
            writeAheadLog.pendingRevocations -= machine.name
            machine.renewalRevokedAt = null
        }
        val warning = heartbeat.warningSeconds
        if (warning == null) {
            machine.interruptionAt = null
        } else if (machine.interruptionAt == null) {
            machine.interruptionAt = now + warning.seconds
            log.info("machine {} will be taken back in {} s", machine.name.value, warning)
        }
        if (!machine.isReconciled) reconciliationObserver?.machineReconciled(machine, heartbeat.tasks, jobs, now)
        machine.isReconciled = true
        reconcile(machine, heartbeat, newSession, now)
        return HeartbeatDisposition.ACCEPTED
    }

    private fun describe(
        machine: Machine,
        heartbeat: Heartbeat,
    ) {
        if (machine.zone != heartbeat.zone) moveToZone(machine, heartbeat.zone)
        machine.type = heartbeat.type
        machine.spot = heartbeat.spot
        if (machine.instanceType?.label != heartbeat.type) machine.instanceType = instanceTypes[heartbeat.type]
        machine.heartbeatVersion = heartbeat.heartbeatVersion
    }

    /** Records do not say in which zone a machine is; the zones of its tasks are set by its first heartbeat. */
    private fun moveToZone(
        machine: Machine,
        zone: String,
    ) {
        val all = machine.assignments.values.toList()
        machine.zone = zone
        for (old in all) {
            val a = Assignment(old.job, old.index, old.attempt, old.machineName, zone)
            a.recorded = old.recorded
            a.reserved = old.reserved
            a.gracePeriod = old.gracePeriod
            old.job.unplace(old)
            machine.drop(old)
            old.job.place(a)
            machine.add(a)
        }
    }

    private fun reconcile(
        machine: Machine,
        heartbeat: Heartbeat,
        newSession: Boolean,
        now: Duration,
    ) {
        val tasks = HashMap<TaskId, ReportedTask>(heartbeat.tasks.size * 2)
        for (a in machine.assignments.values) a.seen = false
        for (piece in heartbeat.tasks) {
            tasks[piece.task] = piece
            val a = machine.assignments[piece.task]
            if (a == null || a.attempt != piece.attempt || a.reserved) continue
            a.seen = true
            a.status = piece.status
            if (piece.status == TaskState.RUNNING && a.runningSince == null) {
                a.runningSince = now
                machine.ran(a.job.spec.image)
            }
            if (piece.status == TaskState.EXITED) ended(machine, a, piece.cause ?: ExitCause.ERROR, now)
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
                a.gracePeriod != null ||
                a.job.cancelled ||
                !(machine.usable || machine.remainingDrainTime(now) > Duration.ZERO)
            ) {
                release(a, now)
            }
        }
        if (newSession) log.info("machine {} began session {}", machine.name.value, heartbeat.heartbeatVersion.session)
    }

    private fun ended(
        machine: Machine,
        a: Assignment,
        cause: ExitCause,
        now: Duration,
    ) {
        val job = a.job
        machine.awaitingClear[a.id] = release(a, now, done = cause == ExitCause.DONE)
        when (cause) {
            ExitCause.DONE -> {
                failures.succeeded(machine, job)
                a.runningSince?.let { job.observed(now - it) }
            }
            ExitCause.ERROR -> failures.failed(machine, job, a.runningSince?.let { now - it } ?: Duration.ZERO, now)
            ExitCause.MACHINE_FULL, ExitCause.ALREADY_PRESENT -> machine.fullUntil = now + 2.seconds
            ExitCause.UNKNOWN -> job.retryAfter = now + 2.seconds
            ExitCause.STOPPED, ExitCause.GANG_MEMBER_LOST, ExitCause.GANG_INCOMPLETE -> Unit
        }
    }

    /** Bounds the leases that this leader's answer renews. */
    fun leaseRenewed(
        name: MachineName,
        now: Duration,
    ) {
        machines[name]?.let {
            it.leaseExpiry = maxOf(it.leaseExpiry, now + timings.stretched(timings.lease) + timings.margin)
        }
    }

    // ---- placing ----

    /** Deals a machine's free room; false if the time ran out and more may be placed. */
    fun dispatch(
        machine: Machine,
        now: Duration,
        outOfTime: () -> Boolean,
    ): Boolean {
        if (!machine.acceptsWork || machine.fullUntil > now) return true
        val within = if (machine.usable) Duration.INFINITE else machine.remainingDrainTime(now)
        var free = machine.free() ?: return true
        if (free.isNone) return true
        // Something is on the machine that the records do not know: its room is not known either.
        if (
            machine.reported.values.any {
                it.status != TaskState.EXITED && machine.assignments[it.task]?.attempt != it.attempt
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
            val job = longestWaiting ?: candidates.getValue(WeightedRoundRobin.next(candidates) ?: return true)
            val index = job.peek()
            if (index != null) {
                place(job, index, machine, now)
                starvationGuard.dispatched(job, job === longestWaiting, now)
                free = machine.free() ?: return true
            }
            if (outOfTime()) return false
            // Only the team that took its turn can have a new first choice; the others' may no longer fit.
            for (other in candidates.keys.toList()) {
                if (other.team.name != job.spec.team && free.covers(candidates.getValue(other).resources)) continue
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
        if (machine.reservedFor === job) machine.reserveFor(null, now)
        val a = Assignment(job, index, 0, machine.name, machine.zone)
        if (job.spec.shape == Shape.GANG) {
            a.reserved = true
            if (job.assemblingSince == null) job.assemblingSince = now
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
        a.job.block(a.index).lastAttempt = attempt
        writeAheadLog.started(a, now)
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
        job.assemblingSince = null
        job.assemblyTimeout = settings.workers.gangWait
    }

    private fun attach(
        a: Assignment,
        machine: Machine,
    ) {
        a.job.place(a)
        machine.add(a)
        machine.images.add(a.job.spec.image)
        images.add(a.job.spec.image)
        teams[a.job.spec.team]?.take(a.resources)
        changed(a.job)
    }

    /** The task is certainly not on that machine any more, so it waits again unless it is done. */
    private fun release(
        a: Assignment,
        now: Duration,
        done: Boolean = false,
    ): TaskExit {
        // Before it is detached: what is not done then waits to be placed again.
        if (done) a.job.setDone(a.index)
        detach(a)
        return writeAheadLog.ended(a, done, now)
    }

    private fun detach(a: Assignment) {
        machines[a.machineName]?.drop(a)
        a.job.unplace(a)
        teams[a.job.spec.team]?.give(a.resources)
        changed(a.job)
    }

    private fun withdrawReserved(job: RunningJob) {
        job.assigned.values
            .filter { it.reserved }
            .forEach(::detach)
        job.assemblingSince = null
    }

    /** Nobody was told of these. */
    private fun withdrawUnrecorded(job: RunningJob) {
        withdrawReserved(job)
        job.assigned.values.filter { !it.recorded }.forEach {
            writeAheadLog.withdrawn(it)
            detach(it)
        }
    }

    // ---- what the worker is told ----

    /** Orders for the newest heartbeat of a machine. */
    fun commands(
        machine: Machine,
        mayStart: Boolean,
    ): List<WorkerCommand> = workerCommands.of(machine, mayStart)

    fun hasUnrecorded(machine: Machine): Boolean = machine.assignments.values.any { !it.recorded && !it.reserved }

    // ---- the passing of time ----

    /** Nothing is on the machine any more. */
    fun forget(
        machine: Machine,
        now: Duration,
    ) {
        for (a in machine.assignments.values.toList()) if (a.reserved) detach(a) else release(a, now)
        reconciliationObserver?.machineLost(machine.name, now)
        machine.reported = emptyMap()
        machine.awaitingClear.clear()
        machine.isReconciled = false
    }

    /** Asks a task to stop; all tasks of a gang are asked together, so that it can save as one. */
    fun stop(
        a: Assignment,
        gracePeriod: Duration,
    ) {
        val all = if (a.job.spec.shape == Shape.GANG) a.job.assigned.values else listOf(a)
        all.forEach { if (it.gracePeriod == null) it.gracePeriod = gracePeriod }
    }

    /** Gangs that hold slots and are not complete. */
    fun assemblingGangs(): List<RunningJob> =
        teams.values.flatMap { team ->
            team.waiting.filter { it.assemblingSince != null }
        }

    fun enforceAssemblyTimeout(
        job: RunningJob,
        now: Duration,
    ) {
        val since = job.assemblingSince ?: return
        if (now - since < job.assemblyTimeout) return
        withdrawReserved(job)
        job.nextAssemblyAt = now + job.assemblyTimeout
        job.assemblyTimeout *= 2
        log.info("gang {} gave its slots back; the next try may take {}", job.spec.id.value, job.assemblyTimeout)
    }

    /** A release was answered with 200: the machines and all on them are gone. */
    fun terminated(
        names: List<MachineName>,
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
        batch: WriteBatch,
        version: Version,
        now: Duration,
    ): Set<MachineName> {
        val touched = writeAheadLog.applied(batch, version)
        // Only what the record names without a break since then is out of others' reach.
        batch.revokedRenewals?.forEach { machineName ->
            machines[machineName]?.let { if (machineName in writeAheadLog.pendingRevocations && it.renewalRevokedAt == null) it.renewalRevokedAt = now }
        }
        for ((job, end) in batch.finishedJobs) {
            remove(job)
            dependencyEnded(job.spec.id, end, now)
        }
        return touched
    }

    /** What the key-value store shows of a key whose precondition failed, or whose write's fate is unknown. */
    fun resolve(
        key: String,
        version: Version?,
        data: Any?,
    ) {
        val block = Keys.asProgress(key)
        val job = Keys.asJob(key)
        if (block != null) {
            jobs[block.job]?.blockNumber(block.block)?.version = version ?: Version.NONE
        } else if (job != null && version == null) {
            jobs[job]?.let(::remove)
        } else if (job != null && version != null && data != null) {
            val known = jobs[job]
            if (known != null && known.record.version != version) {
                jobChanged(job, Versioned(JobRecord.parse(data), version), Duration.ZERO)
            }
        } else {
            writeAheadLog.resolve(key, version)
        }
    }

    private fun remove(job: RunningJob) {
        if (jobs.remove(job.spec.id) == null) return
        job.assigned.values
            .toList()
            .forEach(::detach)
        teams[job.spec.team]?.remove(job)
        starvationGuard.remove(job)
        writeAheadLog.remove(job)
        dependencyGraph.removed(job)
    }
}
