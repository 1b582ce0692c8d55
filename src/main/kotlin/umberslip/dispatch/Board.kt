package umberslip.dispatch

import org.slf4j.LoggerFactory
import umberslip.agents.AwaitingClear
import umberslip.agents.Cause
import umberslip.agents.Failures
import umberslip.agents.Machine
import umberslip.agents.Order
import umberslip.agents.Piece
import umberslip.agents.PieceStatus
import umberslip.agents.Report
import umberslip.agents.Room
import umberslip.cloud.Flavor
import umberslip.cloud.HostName
import umberslip.records.ChunkRecord
import umberslip.records.HostsRecord
import umberslip.records.End
import umberslip.records.EndRecord
import umberslip.records.JobId
import umberslip.records.JobRecord
import umberslip.records.JobSpec
import umberslip.records.Keys
import umberslip.records.Placement
import umberslip.records.RecordView
import umberslip.records.Shape
import umberslip.records.Stamped
import umberslip.records.StartsRecord
import umberslip.records.TaskId
import umberslip.records.Term
import umberslip.records.Urgency
import umberslip.settings.Objective
import umberslip.settings.Settings
import umberslip.settings.Timings
import umberslip.settings.Tuning
import umberslip.state.Guard
import umberslip.state.Stamp
import umberslip.state.Write
import java.time.Instant
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** What becomes of a worker's report. */
enum class Verdict {
    /** To be answered with the owner's term, and with orders if its contents were proof. */
    ANSWER,

    /** Older than what is known, or of a machine that was returned: answered by no order and no lease. */
    STALE,

    /** The worker has seen a higher term: somebody else owns. */
    OUTRANKED,
}

/** Writes of one transaction, and what they stand for. */
class Batch(
    val guards: List<Guard>,
    val writes: List<Write>,
    val chunks: List<Pair<Chunk, Long>>,
    val assignments: List<Assignment>,
    val ended: List<RunningJob>,
    val dropped: List<RunningJob>,
    val trash: List<String>,
    val logged: List<Pair<LogSlot, List<Pair<Chunk, Long>>>>,
    val condemned: Set<HostName>?,
)

/**
 * All that the owner knows and decides: jobs, machines and what is on them. Pure state; time comes
 * in with every call, and everything that leaves the process goes through [nextBatch] and [orders].
 */
class Board(
    private val settings: Settings,
    private val tuning: Tuning,
    private val timings: Timings,
    val term: Term,
    private val ownerStamp: Stamp,
    private val wallClock: () -> Instant,
) {
    private val log = LoggerFactory.getLogger("umberslip.dispatch")
    private val perChunk = ChunkRecord.tasksPerChunk(settings.stateLimits.valueBytes)
    val jobs = LinkedHashMap<JobId, RunningJob>()
    val machines = LinkedHashMap<HostName, Machine>()
    val teams: Map<String, Dispatcher> = settings.teams.associate { it.name to Dispatcher(it) }
    private val returned = HashSet<HostName>()
    private val trash = ArrayDeque<String>()
    private val unknownTeams = HashSet<JobId>()
    private var flavors: Map<String, Flavor> = emptyMap()
    private val slots = List(LOG_SLOTS, ::LogSlot)

    /** Rises with every logged entry, across terms too. */
    private var seq = term.value shl 32

    /** Machines that the record condemns, and those that it should. */
    private var condemned: Set<HostName> = emptySet()
    private var condemnedStamp = Stamp.NONE
    private val toCondemn = HashSet<HostName>()

    /** Placed and not recorded yet, in the order of placing. */
    private val unrecorded = LinkedHashSet<Assignment>()

    // ---- taking over, and what other controllers write ----

    /**
     * Takes the records as they stand. A machine that the records name keeps its tasks until its
     * report carries this term, or until [silentUntil]: by then every lease that a former owner
     * can have renewed has run out.
     */
    fun load(records: RecordView, now: Duration, silentUntil: Duration) {
        for ((id, job) in records.jobs()) jobChanged(id, job, now)
        for ((id, chunks) in records.chunks()) {
            val job = jobs[id]
            if (job == null) {
                chunks.keys.forEach { trash += Keys.chunk(id, it) }
                continue
            }
            for ((number, record) in chunks) {
                job.load(number, record)
                for (p in record.value.placed) placed(job, p, now, silentUntil)
            }
        }
        records.condemned?.let {
            condemned = it.value.hosts
            condemnedStamp = it.stamp
            for (host in condemned) machines[host]?.condemnedAt = now
            toCondemn += condemned.filter { host -> host in machines }
        }
        for ((number, record) in records.starts().entries.sortedBy { it.value.value.seq }) {
            val named = LinkedHashSet<Chunk>()
            for ((id, all) in record.value.starts) {
                val job = jobs[id] ?: continue
                for (p in all) {
                    val chunk = job.chunk(p.index)
                    if ((records.chunks()[id]?.get(chunk.number)?.value?.seq ?: 0L) >= record.value.seq) continue
                    // Later entries win: a task goes elsewhere only after it was certainly gone.
                    job.assigned[p.index]?.let(::detach)
                    if (!job.done.get(p.index)) placed(job, p, now, silentUntil)
                    chunk.lastAttempt = maxOf(chunk.lastAttempt, p.attempt)
                    named += chunk
                }
            }
            named.forEach { it.touch(now) }
            val slot = slots.getOrNull(number) ?: continue
            slot.stamp = record.stamp
            slot.chunks = named.map { it to it.version }
        }
    }

    private fun placed(job: RunningJob, p: Placement, now: Duration, silentUntil: Duration) {
        val machine = machines.getOrPut(p.host) { Machine(p.host, "", "", false).also {
            it.leaseEnd = silentUntil
            it.loadedAt = now
        } }
        val a = Assignment(job, p.index, p.attempt, p.host, machine.zone)
        a.recorded = true
        attach(a, machine)
    }

    fun jobChanged(id: JobId, record: Stamped<JobRecord>, now: Duration) {
        val known = jobs[id]
        if (known != null) {
            if (record.stamp.value <= known.record.stamp.value) return
            known.record = record
            if (known.cancelled) withdrawReserved(known)
            return
        }
        val team = teams[record.value.spec.team]
        if (team == null) {
            if (unknownTeams.add(id)) log.error("job {} belongs to team {}, which the settings do not have", id.value, record.value.spec.team)
            return
        }
        val age = (wallClock().toEpochMilli() - record.value.submitted.toEpochMilli()).milliseconds
        val job = RunningJob(record.value.spec, record, perChunk, targets(record.value.spec).map { now - age + it })
        job.gatherBound = settings.workers.gangWait
        job.lastPlaced = now
        job.waitingSince = now
        jobs[id] = job
        team.add(job)
    }

    fun relayed(hosts: Set<HostName>, now: Duration) {
        for (host in hosts) machines[host]?.relayedAt = now
    }

    fun jobGone(id: JobId) {
        jobs[id]?.let { remove(it) }
    }

    /** By when after its submission a job should be done: what the aims say of its class, or its own deadline. */
    private fun targets(spec: JobSpec): List<Duration> {
        val named = settings.objectives.mapNotNull {
            when (it) {
                is Objective.Finished -> it.within.takeIf { _ -> it.jobClass == spec.jobClass }
                is Objective.Deadline -> spec.dueSeconds?.takeIf { _ -> it.jobClass == spec.jobClass }?.let { due -> (due * it.times).seconds }
                is Objective.Guarantee -> null
            }
        }
        return named.ifEmpty { listOf(spec.dueSeconds?.seconds ?: NO_DUE) }.sorted()
    }

    fun setFlavors(all: List<Flavor>) {
        flavors = all.associateBy { it.label }
        for (machine in machines.values) machine.capacity = flavors[machine.type]?.let(Room::of)
    }

    // ---- reports ----

    fun report(report: Report, now: Duration): Verdict {
        if (report.host in returned) return Verdict.STALE
        if (report.warrant > term) return Verdict.OUTRANKED
        val machine = machines.getOrPut(report.host) { Machine(report.host, report.type, report.zone, report.spot) }
        if (!machine.isNewer(report)) return Verdict.STALE
        if (machine.zone != report.zone) moveToZone(machine, report.zone)
        machine.type = report.type
        machine.spot = report.spot
        machine.capacity = flavors[report.type]?.let(Room::of)
        if (machine.firstHeard == null) {
            machine.firstHeard = now
            log.info("machine {} ({} in {}{}) reports", machine.name.value, machine.type, machine.zone, if (machine.spot) ", spot" else "")
        }
        val newShift = report.shift != machine.shift && machine.proven
        machine.shift = report.shift
        machine.counter = report.counter
        machine.lastHeard = now
        toCondemn -= machine.name
        machine.condemnedAt = null
        val warning = report.warningSeconds
        if (warning == null) {
            machine.takenAt = null
        } else if (machine.takenAt == null) {
            machine.takenAt = now + warning.seconds
            log.info("machine {} will be taken back in {} s", machine.name.value, warning)
        }
        machine.proven = report.warrant == term
        if (machine.proven) reconcile(machine, report, newShift, now)
        return Verdict.ANSWER
    }

    /** Records do not say in which zone a machine is; the zones of its tasks are set by its first report. */
    private fun moveToZone(machine: Machine, zone: String) {
        val all = machine.assignments.values.toList()
        machine.zone = zone
        for (old in all) {
            val a = Assignment(old.job, old.index, old.attempt, old.host, zone)
            a.recorded = old.recorded
            a.reserved = old.reserved
            a.windDown = old.windDown
            old.job.unplace(old)
            old.job.place(a)
            machine.assignments[a.id] = a
        }
    }

    private fun reconcile(machine: Machine, report: Report, newShift: Boolean, now: Duration) {
        val pieces = HashMap<TaskId, Piece>(report.pieces.size * 2)
        for (piece in report.pieces) {
            pieces[piece.task] = piece
            val a = machine.assignments[piece.task]
            if (a == null || a.attempt != piece.attempt || a.reserved) continue
            a.status = piece.status
            if (piece.status == PieceStatus.RUNNING && a.runningSince == null) a.runningSince = now
            if (piece.status == PieceStatus.ENDED) ended(machine, a, piece.cause ?: Cause.ERROR, now)
        }
        machine.reported = pieces
        machine.awaitingClear.keys.retainAll { (task, attempt) -> pieces[task]?.attempt == attempt }
        for (a in machine.assignments.values.toList()) {
            if (!a.recorded || a.reserved || pieces[a.id]?.attempt == a.attempt) continue
            // Proven absent: a reply that would have started it is dropped, since the worker has gone
            // on to a newer report. It is told again, unless it should not be here any more.
            a.status = null
            a.runningSince = null
            if (newShift || a.windDown != null || a.job.cancelled || !(machine.usable || machine.staysFor(now) > Duration.ZERO)) release(a, now)
        }
        if (newShift) log.info("machine {} began session {}", machine.name.value, report.shift)
    }

    private fun ended(machine: Machine, a: Assignment, cause: Cause, now: Duration) {
        val job = a.job
        val chunk = job.chunk(a.index)
        // Before it is released: what is not done then waits to be placed again.
        if (cause == Cause.DONE) job.done.set(a.index)
        release(a, now)
        machine.awaitingClear[a.id to a.attempt] = chunk.version.let { version -> AwaitingClear { chunk.written >= version } }
        when (cause) {
            Cause.DONE -> {
                job.failedOn.clear()
                machine.failures.clear()
                a.runningSince?.let { since ->
                    val took = (now - since).inWholeMilliseconds / 1000.0
                    val before = job.observedSeconds
                    job.observedSeconds = if (before == null) took else before * 0.7 + took * 0.3
                }
            }
            Cause.ERROR -> failed(machine, job, now)
            Cause.FULL, Cause.BUSY -> machine.noRoomUntil = now + 2.seconds
            Cause.UNKNOWN -> job.notBefore = now + 2.seconds
            Cause.HALTED, Cause.PEERS, Cause.ALONE -> Unit
        }
    }

    /** A job that failed on several machines and succeeded nowhere waits longer and longer between tries. */
    private fun failed(machine: Machine, job: RunningJob, now: Duration) {
        job.failedOn += machine.name
        machine.failures[job.spec.id] = Failures((machine.failures[job.spec.id]?.count ?: 0) + 1, now)
        judge(machine)
        if (job.failedOn.size >= 2 && job.done.isEmpty) {
            val wait = (1L shl job.failedOn.size.coerceAtMost(6)).seconds
            job.notBefore = now + wait
            log.warn("job {} failed on {} machines: waits {}", job.spec.id.value, job.failedOn.size, wait)
        }
    }

    /**
     * Tells a machine that fails everything from a job that fails everywhere: a machine is sick when
     * several jobs failed on it and nothing succeeded since, or one that succeeds elsewhere did so
     * repeatedly.
     */
    private fun judge(machine: Machine) {
        if (machine.sick || machine.failures.isEmpty()) return
        val failing = machine.failures.keys.mapNotNull { jobs[it] }
        val sick = machine.failures.size >= 2 || (machine.failures.values.sumOf { it.count } >= 2 && failing.any { !it.done.isEmpty })
        if (!sick) return
        machine.sick = true
        log.warn("machine {} fails the tasks of {} jobs: nothing more is placed there", machine.name.value, machine.failures.size)
    }

    /** Bounds the leases that this owner's answer renews. */
    fun answered(name: HostName, now: Duration) {
        machines[name]?.let { it.leaseEnd = maxOf(it.leaseEnd, now + timings.stretched(timings.lease) + timings.margin) }
    }

    // ---- placing ----

    /** Deals a machine's free room; false if the time ran out and more may be placed. */
    fun deal(machine: Machine, now: Duration, outOfTime: () -> Boolean): Boolean {
        val within = if (machine.usable) Duration.INFINITE else machine.staysFor(now)
        if (within <= Duration.ZERO || machine.noRoomUntil > now) return true
        var free = machine.free() ?: return true
        // Something is on the machine that the records do not know: its room is not known either.
        if (machine.reported.values.any { it.status != PieceStatus.ENDED && machine.assignments[it.task]?.attempt != it.attempt }) return true
        val candidates = LinkedHashMap<Dispatcher, RunningJob>()
        for (team in teams.values) team.pick(machine, free, now, within)?.let { candidates[team] = it }
        while (true) {
            val team = Turns.next(candidates) ?: return true
            val job = candidates.getValue(team)
            val index = job.peek()
            if (index != null) {
                place(job, index, machine, now)
                free = machine.free() ?: return true
            }
            if (outOfTime()) return false
            // Only the team that took its turn can have a new first choice; the others' may no longer fit.
            for (other in candidates.keys.toList()) {
                if (other !== team && free.covers(candidates.getValue(other).room)) continue
                val next = other.pick(machine, free, now, within)
                if (next == null) candidates.remove(other) else candidates[other] = next
            }
        }
    }

    private fun place(job: RunningJob, index: Int, machine: Machine, now: Duration) {
        job.lastPlaced = now
        if (machine.keptFor === job) machine.keptFor = null
        val a = Assignment(job, index, 0, machine.name, machine.zone)
        if (job.spec.shape == Shape.GANG) {
            a.reserved = true
            if (job.gatheringSince == null) job.gatheringSince = now
            attach(a, machine)
            if (job.assigned.size == job.spec.pieces - job.done.cardinality()) startGang(job, now)
        } else {
            attach(a, machine)
            number(a, job.highestAttempt() + 1, now)
        }
        machine.images.remove(job.spec.image)
        machine.images.add(job.spec.image)
    }

    private fun number(a: Assignment, attempt: Long, now: Duration) {
        val chunk = a.job.chunk(a.index)
        a.attempt = attempt
        chunk.lastAttempt = attempt
        unrecorded += a
        chunk.touch(now)
    }

    private fun startGang(job: RunningJob, now: Duration) {
        val attempt = job.highestAttempt() + 1
        for (a in job.assigned.values) {
            a.reserved = false
            number(a, attempt, now)
        }
        job.gatheringSince = null
        job.gatherBound = settings.workers.gangWait
    }

    private fun attach(a: Assignment, machine: Machine) {
        a.job.place(a)
        machine.assignments[a.id] = a
        teams[a.job.spec.team]?.take(a.room)
    }

    /** The task is certainly not on that machine, so it waits again unless it is done. */
    private fun release(a: Assignment, now: Duration) {
        detach(a)
        if (a.reserved) return
        val chunk = a.job.chunk(a.index)
        unrecorded -= a
        chunk.touch(now)
    }

    private fun detach(a: Assignment) {
        machines[a.host]?.assignments?.remove(a.id, a)
        a.job.unplace(a)
        teams[a.job.spec.team]?.give(a.room)
    }

    private fun withdrawReserved(job: RunningJob) {
        job.assigned.values.filter { it.reserved }.forEach(::detach)
        job.gatheringSince = null
    }

    // ---- what the worker is told ----

    /** Orders for the newest report of a machine; repeated until its reports show them carried out. */
    fun orders(machine: Machine, mayStart: Boolean): List<Order> {
        if (!machine.proven || machine.releasing) return emptyList()
        val orders = ArrayList<Order>()
        // The worker refuses a task whose former attempt it still lists.
        val uncleared = HashSet<TaskId>()
        for (piece in machine.reported.values) {
            val a = machine.assignments[piece.task]
            if (a != null && a.attempt == piece.attempt) {
                val windDown = if (a.job.cancelled) Duration.ZERO else a.windDown
                if (windDown != null) orders += Order.Stop(piece.task, piece.attempt, windDown.inWholeMilliseconds / 1000.0)
            } else if (piece.status != PieceStatus.ENDED) {
                uncleared += piece.task
                orders += Order.Stop(piece.task, piece.attempt, 0.0)
            } else if (superseded(piece) || machine.awaitingClear[piece.task to piece.attempt]?.written?.invoke() != false) {
                orders += Order.Clear(piece.task, piece.attempt)
            } else {
                uncleared += piece.task
            }
        }
        if (mayStart) {
            for (a in machine.assignments.values) {
                if (orders.size >= MAX_ORDERS) break
                if (!a.recorded || a.job.cancelled || a.windDown != null) continue
                if (machine.reported[a.id]?.attempt == a.attempt || a.id in uncleared) continue
                orders += Order.Start(a.id, a.attempt)
            }
        }
        return orders
    }

    /** A later start of the task is recorded, which settles what became of this one. */
    private fun superseded(piece: Piece): Boolean =
        jobs[piece.task.job]?.assigned?.get(piece.task.index)?.let { it.recorded && it.attempt > piece.attempt } ?: false

    fun hasUnrecorded(machine: Machine): Boolean = machine.assignments.values.any { !it.recorded && !it.reserved }

    // ---- the passing of time ----

    fun tick(now: Duration) {
        for (machine in machines.values.toList()) {
            if (machine.leaseEnd <= now) leaseOver(machine, now)
            drain(machine, now)
            judge(machine)
        }
        for (job in jobs.values) gatherInTime(job, now)
        for (team in teams.values) keepMachine(team, now)
        preempt(now)
    }

    /**
     * Small tasks would fill every gap for ever before a large one: a team's first job that found no
     * place for long gets the next machine that can hold its task to itself, until one is placed.
     */
    private fun keepMachine(team: Dispatcher, now: Duration) {
        for (machine in machines.values) {
            val job = machine.keptFor ?: continue
            if (job.spec.team != team.team.name) continue
            if (job.waiting > 0 && machine.usable && jobs[job.spec.id] === job) return
            machine.keptFor = null
        }
        // Only the first in order can be stuck for want of a large enough gap; others wait their turn.
        val hungry = team.stuckSince(now - HUNGRY, now) ?: return
        val machine = machines.values.filter {
            it.usable && it.keptFor == null && hungry.spec.id !in it.failures && Dispatcher.allowed(hungry, it) && it.capacity?.covers(hungry.room) == true
        }.minByOrNull { it.used().cpus } ?: return
        machine.keptFor = hungry
        log.info("machine {} is kept for job {}, which found no place for {}", machine.name.value, hungry.spec.id.value, HUNGRY)
    }

    /**
     * The leases that the owner renewed are over, but another controller may have renewed them since,
     * on behalf of a zone that is cut off. So a machine with tasks is condemned first: a report that
     * is answered by others was sent before the condemnation was written, or is answered no more.
     */
    private fun leaseOver(machine: Machine, now: Duration) {
        if (machine.assignments.isEmpty()) {
            if (machine.proven) forget(machine, now)
            return
        }
        val condemnedAt = machine.condemnedAt
        if (condemnedAt == null) {
            if (machine.silence(now) < settings.workers.lease) return
            // A zone that is silent as a whole is cut off rather than dead, and works on inside. Of
            // machines not heard since the takeover the zone is not known; several are taken for one.
            val zone = machines.values.filter { it.zone == machine.zone }
            val cut = zone.size > 1 && zone.all { it.silence(now) > settings.workers.lease / 2 }
            if (!cut || machine.silence(now) > CUT_PATIENCE) toCondemn += machine.name
        } else if (now >= condemnedAt + timings.stretched(timings.lease) + timings.margin) {
            log.warn("machine {} is silent and its leases have run out: {} tasks wait again", machine.name.value, machine.assignments.size)
            forget(machine, now)
        }
    }

    /** Nothing is on the machine any more. */
    private fun forget(machine: Machine, now: Duration) {
        machine.assignments.values.toList().forEach { release(it, now) }
        machine.reported = emptyMap()
        machine.awaitingClear.clear()
        machine.proven = false
    }

    /** On a machine that is about to be taken, what can save does so while there is time. */
    private fun drain(machine: Machine, now: Duration) {
        val end = machine.takenAt ?: return
        for (a in machine.assignments.values) {
            if (a.reserved || a.windDown != null || a.job.spec.checkpointSeconds <= 0) continue
            val need = a.job.spec.savingSeconds.seconds + settings.workers.report * 2 + timings.margin * 2
            if (end - now <= need) stop(a, a.job.spec.savingSeconds.seconds)
        }
    }

    /**
     * From a machine that is to be returned, tasks that save go on elsewhere if there is room now and
     * enough left to do; one that began a short while ago stays, since its start would not count.
     */
    fun moveOn(machine: Machine, now: Duration) {
        for (a in machine.assignments.values) {
            val spec = a.job.spec
            val left = a.left(now) ?: continue
            if (!a.mayMove(now, SETTLED) || left < spec.savingSeconds.seconds * 2 + WORTH_MOVING) continue
            val moving = machines.values.sumOf { m -> m.assignments.values.count { it.windDown != null } }
            val room = machines.values.filter { it.usable && Dispatcher.allowed(a.job, it) }.sumOf { it.free()?.times(a.room) ?: 0 }
            if (room > moving) stop(a, spec.savingSeconds.seconds)
        }
    }

    /**
     * Makes room for work that found none: of a more urgent job, or of a team below its guarantee
     * from one beyond its own. Only tasks that save are stopped, those with the most time left first,
     * since others would lose their work; and none that began a short while ago.
     */
    private fun preempt(now: Duration) {
        val machinesUp = machines.values.filter { it.usable }
        if (machinesUp.isEmpty()) return
        // What is being stopped already makes room for the first in need.
        var coming = machinesUp.sumOf { m -> m.assignments.values.sumOf { if (it.windDown != null) it.room.cpus else 0.0 } }
        val needy = teams.values.flatMap { team -> team.jobs().filter { it.waiting > 0 && it.notBefore <= now && now - it.waitingSince > PATIENCE }.map { team to it } }
            .filter { (_, job) -> job.spec.shape == Shape.ARRAY }
            .sortedWith(compareBy({ (team, job) -> !team.withinGuarantee(job.room) }, { (_, job) -> job.spec.urgency }, { (_, job) -> job.due }))
        for ((team, job) in needy) {
            if (!team.withinLimit(job.room)) continue
            val owed = team.withinGuarantee(job.room)
            var need = job.waiting * job.room.cpus
            team.team.cpusMax?.let { need = minOf(need, it - team.usedCpus) }
            if (owed && job.spec.urgency == Urgency.IDLE) need = minOf(need, team.team.cpus - team.usedCpus)
            need -= machinesUp.sumOf { m -> if (Dispatcher.allowed(job, m)) (m.free()?.times(job.room) ?: 0) * job.room.cpus else 0.0 }
            val covered = minOf(coming, need.coerceAtLeast(0.0))
            coming -= covered
            need -= covered
            if (need <= 0) continue
            val victims = machinesUp.filter { Dispatcher.allowed(job, it) }.flatMap { it.assignments.values }.filter { a ->
                val left = a.left(now)
                val other = teams[a.job.spec.team]
                left != null && a.mayMove(now, SETTLED) && left > WORTH_MOVING &&
                    (a.job.spec.urgency > job.spec.urgency || (owed && other != null && other !== team && other.usedCpus > other.team.cpus))
            }.sortedWith(compareBy({ -it.job.spec.urgency.ordinal }, { -it.job.due.inWholeMilliseconds }))
            for (a in victims) {
                if (need <= 0) break
                stop(a, a.job.spec.savingSeconds.seconds)
                need -= a.room.cpus
            }
        }
    }

    /** Asks a task to stop; all tasks of a gang are asked together, so that it can save as one. */
    fun stop(a: Assignment, windDown: Duration) {
        val all = if (a.job.spec.shape == Shape.GANG) a.job.assigned.values else listOf(a)
        all.forEach { if (it.windDown == null) it.windDown = windDown }
    }

    private fun gatherInTime(job: RunningJob, now: Duration) {
        val since = job.gatheringSince ?: return
        if (now - since < job.gatherBound) return
        withdrawReserved(job)
        job.gatherAgainAt = now + job.gatherBound
        job.gatherBound *= 2
        log.info("gang {} gave its slots back; the next try may take {}", job.spec.id.value, job.gatherBound)
    }

    /** A release was answered with 200: the machines and all on them are gone. */
    fun released(names: List<HostName>, now: Duration) {
        for (name in names) {
            returned += name
            machines[name]?.let {
                forget(it, now)
                machines.remove(name)
            }
        }
    }

    // ---- what is written ----

    /** The next writes, most needed first; null where none is due. */
    fun nextBatch(maxOps: Int, now: Duration): Batch? {
        val writes = ArrayList<Write>()
        val guards = ArrayList<Guard>()
        val chunks = ArrayList<Pair<Chunk, Long>>()
        val included = ArrayList<Assignment>()
        val ended = ArrayList<RunningJob>()
        val dropped = ArrayList<RunningJob>()
        val trashed = ArrayList<String>()
        val logged = ArrayList<Pair<LogSlot, List<Pair<Chunk, Long>>>>()
        var size = 0
        var condemn: Set<HostName>? = null
        val live = jobs.values.toList()
        toCondemn.retainAll(machines.keys)
        if (toCondemn != condemned) {
            condemn = toCondemn.toSet()
            writes += Write.Put(Keys.CONDEMNED, HostsRecord(condemn).toMap())
            guards += Guard(Keys.CONDEMNED, condemnedStamp)
        }

        fun log(slot: LogSlot, starts: List<Assignment>) {
            val entry = StartsRecord(++seq, starts.groupBy({ it.job.spec.id }, { Placement(it.index, it.attempt, it.host) }))
            writes += Write.Put(slot.key, entry.toMap())
            guards += Guard(slot.key, slot.stamp)
            included += starts
            logged += slot to starts.mapTo(LinkedHashSet()) { it.job.chunk(it.index) }.map { it to it.version }
        }

        fun add(chunk: Chunk) {
            val record = chunk.job.chunkRecord(chunk, seq)
            val bytes = 250 + record.placed.size * 40
            if (writes.size >= maxOps || size + bytes > MAX_TXN_BYTES) return
            size += bytes
            writes += Write.Put(chunk.key, record.toMap())
            guards += Guard(chunk.key, chunk.stamp)
            chunks += chunk to chunk.version
            for (p in record.placed) chunk.job.assigned[p.index]?.let { if (!it.recorded) included += it }
        }
        for (job in live) {
            if (writes.size + 2 > maxOps) break
            val key = Keys.job(job.spec.id)
            if (job.cancelled && job.assigned.isEmpty()) {
                writes += Write.Drop(key)
                guards += Guard(key, job.record.stamp)
                dropped += job
            } else if (!job.cancelled && job.finished) {
                writes += Write.Put(Keys.end(job.spec.id), EndRecord(End.DONE, job.spec.pieces).toMap())
                writes += Write.Drop(key)
                guards += Guard(key, job.record.stamp)
                guards += Guard(Keys.end(job.spec.id), Stamp.NONE)
                ended += job
            }
        }
        val dirty = live.filter { !(it.cancelled && it.assigned.isEmpty()) && !it.finished }
            .flatMap { it.knownChunks() }.filter { it.version > it.written }
        // Starts wait for their record, so they are written first, in entries of the log.
        val free = slots.filter { it.free }.iterator()
        var open = unrecorded.toList()
        while (open.isNotEmpty() && free.hasNext() && writes.size < maxOps && size + settings.stateLimits.valueBytes <= MAX_TXN_BYTES) {
            val count = fitting(open)
            log(free.next(), open.take(count))
            open = open.drop(count)
            size += settings.stateLimits.valueBytes
        }
        // Progress can wait a little and then takes fewer writes; without a free slot it makes one free.
        val soon = if (open.isEmpty()) LAZY else Duration.ZERO
        dirty.filter { (it.dirtySince ?: now) + soon <= now }.sortedBy { it.dirtySince ?: now }.forEach(::add)
        while (writes.size < maxOps && trash.isNotEmpty()) {
            val key = trash.removeFirst()
            trashed += key
            writes += Write.Drop(key)
        }
        if (writes.isEmpty()) return null
        guards += Guard(Keys.OWNER, ownerStamp)
        return Batch(guards, writes, chunks, included, ended, dropped, trashed, logged, condemn)
    }

    /** How many of these starts one value takes. */
    private fun fitting(starts: List<Assignment>): Int {
        val seen = HashSet<JobId>()
        var bytes = StartsRecord.FIXED_BYTES
        for ((i, a) in starts.withIndex()) {
            bytes += StartsRecord.bytes(Placement(a.index, a.attempt, a.host))
            if (seen.add(a.job.spec.id)) bytes += StartsRecord.bytes(a.job.spec.id)
            if (bytes > settings.stateLimits.valueBytes) return i.coerceAtLeast(1)
        }
        return starts.size
    }

    /** Machines that got starts recorded. */
    fun applied(batch: Batch, stamp: Stamp, now: Duration): Set<HostName> {
        val touched = HashSet<HostName>()
        batch.condemned?.let { hosts ->
            condemned = hosts
            condemnedStamp = stamp
            // Only what the record names without a break since then is out of others' reach.
            for (host in hosts) machines[host]?.let { if (host in toCondemn && it.condemnedAt == null) it.condemnedAt = now }
        }
        for ((chunk, version) in batch.chunks) {
            chunk.stamp = stamp
            chunk.written = maxOf(chunk.written, version)
            if (chunk.version == version) chunk.dirtySince = null
        }
        for ((slot, named) in batch.logged) {
            slot.stamp = stamp
            slot.chunks = named
        }
        for (a in batch.assignments) {
            if (a.job.assigned[a.index] !== a || a.recorded) continue
            a.recorded = true
            unrecorded -= a
            touched += a.host
        }
        (batch.ended + batch.dropped).forEach(::remove)
        return touched
    }

    /** Not carried out; the keys that went into the trash are dropped later. */
    fun notApplied(batch: Batch) {
        trash.addAll(batch.trash)
    }

    /** What the state service shows of a key whose guard failed, or whose write's fate is unknown. */
    fun settle(key: String, stamp: Stamp?, data: Any?) {
        val chunk = Keys.asChunk(key)
        val job = Keys.asJob(key)
        val slot = Keys.asStarts(key)
        if (key == Keys.CONDEMNED) {
            condemnedStamp = stamp ?: Stamp.NONE
            // What it says is not known; it is written again, and counts from then.
            condemned = setOf(UNKNOWN_HOST)
        } else if (slot != null) {
            slots.getOrNull(slot)?.stamp = stamp ?: Stamp.NONE
        } else if (chunk != null) {
            jobs[chunk.first]?.chunkNumber(chunk.second)?.stamp = stamp ?: Stamp.NONE
        } else if (job != null && stamp == null) {
            jobs[job]?.let(::remove)
        } else if (job != null && stamp != null && data != null) {
            val known = jobs[job]
            if (known != null && known.record.stamp != stamp) jobChanged(job, Stamped(JobRecord.parse(data), stamp), Duration.ZERO)
        }
    }

    private fun remove(job: RunningJob) {
        if (jobs.remove(job.spec.id) == null) return
        job.assigned.values.toList().forEach(::detach)
        unrecorded.removeAll { it.job === job }
        teams[job.spec.team]?.remove(job)
        for (chunk in job.knownChunks()) {
            chunk.written = Long.MAX_VALUE
            if (chunk.stamp != Stamp.NONE) trash += chunk.key
        }
    }

    private companion object {
        const val MAX_ORDERS = 300
        const val MAX_TXN_BYTES = 50_000
        val CUT_PATIENCE = 60.seconds
        val UNKNOWN_HOST = HostName("")
        val SETTLED = 32.seconds
        val PATIENCE = 1500.milliseconds
        val WORTH_MOVING = 10.seconds
        val HUNGRY = 30.seconds
        const val LOG_SLOTS = 48
        val LAZY = 3.seconds
        val NO_DUE = 3600.seconds
    }
}
