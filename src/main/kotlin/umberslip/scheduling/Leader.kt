package umberslip.scheduling

import io.micrometer.core.instrument.MeterRegistry
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import umberslip.actor.Actor
import umberslip.agents.Heartbeat
import umberslip.agents.HeartbeatResponse
import umberslip.agents.HeartbeatVersion
import umberslip.agents.WorkerCommand
import umberslip.cloud.InstanceType
import umberslip.core.Clock
import umberslip.core.JobId
import umberslip.core.MachineName
import umberslip.http.NoResponseException
import umberslip.http.RateLimitedException
import umberslip.http.Response
import umberslip.http.ServiceUnavailableException
import umberslip.leaderElection.LeaderLease
import umberslip.peers.PeerHealth
import umberslip.records.JobOutcome
import umberslip.records.Keys
import umberslip.records.LeaderRecord
import umberslip.records.OutcomeRecord
import umberslip.records.RecordEvent
import umberslip.records.RecordView
import umberslip.settings.Settings
import umberslip.settings.Timings
import umberslip.settings.Tuning
import umberslip.store.KeyValueStore
import umberslip.store.Precondition
import umberslip.store.RateLimiter
import umberslip.store.TransactionResult
import umberslip.store.Version
import umberslip.store.Write
import java.time.Instant
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

sealed interface LeaderMessage {
    class HeartbeatReceived(
        val heartbeat: Heartbeat,
        val respond: (Response) -> Unit,
    ) : LeaderMessage

    class Elected(
        val records: RecordView,
        val formerLeaseExpiry: Duration,
    ) : LeaderMessage

    data object SteppedDown : LeaderMessage

    class RecordsChanged(
        val events: List<RecordEvent>,
    ) : LeaderMessage

    class InstanceTypesChanged(
        val all: List<InstanceType>,
    ) : LeaderMessage

    class WriteCompleted(
        val batch: WriteBatch,
        val outcome: TransactionResult?,
    ) : LeaderMessage

    class ContinueDispatch(
        val machineName: MachineName,
        val heartbeatVersion: HeartbeatVersion,
    ) : LeaderMessage

    /** How a job ended that others need; null where that could not be read. */
    class OutcomeRead(
        val scheduler: SchedulerState,
        val id: JobId,
        val end: JobOutcome?,
    ) : LeaderMessage

    data object Tick : LeaderMessage

    data object Flush : LeaderMessage

    /** From the fleet: asks for what it plans from; answered with how long that took, too. */
    class TakeSnapshot(
        val answer: (ClusterSnapshot?, Duration) -> Unit,
    ) : LeaderMessage

    /** From the fleet: [machineNames] get nothing new, all others may; from [emptied] what can be saved moves on. */
    class Drain(
        val machineNames: Set<MachineName>,
        val emptied: Set<MachineName>,
    ) : LeaderMessage

    /** From the fleet: nothing more is told to these; answered with those that may go now. */
    class PrepareTermination(
        val machineNames: Set<MachineName>,
        val evenIfBusy: Boolean,
        val answer: (List<MachineName>) -> Unit,
    ) : LeaderMessage

    class Terminated(
        val machineNames: List<MachineName>,
    ) : LeaderMessage
}

/** The leader's actor: workers' heartbeats in, orders and records out. Decisions are the [SchedulerState]'s. */
class Leader(
    private val scope: CoroutineScope,
    private val settings: Settings,
    private val tuning: Tuning,
    private val timings: Timings,
    private val store: KeyValueStore,
    private val writes: RateLimiter,
    private val clock: Clock,
    private val wallClock: () -> Instant,
    private val leaderLease: LeaderLease,
    private val refresh: () -> Unit,
    private val peerHealth: () -> PeerHealth,
    private val termListener: LeaderTermListener,
    metrics: MeterRegistry,
) : Actor<LeaderMessage>("dispatch", scope, DEFAULT_CAPACITY + settings.sockets) {
    private class Waiting(
        val heartbeatVersion: HeartbeatVersion,
        val respond: (Response) -> Unit,
        val until: Duration,
    )

    private var scheduler: SchedulerState? = null
    private var maintenance: Maintenance? = null
    private var instanceTypes: List<InstanceType> = emptyList()
    private val waiting = HashMap<MachineName, Waiting>()

    /** Workers sent to ask around, while nobody can say whether there is another leader. */
    private val sentAway = HashSet<MachineName>()

    /** When the ends of needed jobs were last asked for. */
    private val askedEnds = HashMap<JobId, Duration>()
    private var writing = false
    private var flushTimer: Job? = null
    private var flushedAt = Duration.ZERO

    /** Batches come no closer than this, however many writes are allowed: each is read by every controller. */
    private val minBatchInterval = maxOf(MIN_BATCH_INTERVAL, (MIN_OPS / settings.storeLimits.writeRps).seconds)
    private val heartbeats = metrics.counter("umberslip.reports")
    private val starts = metrics.counter("umberslip.starts")
    private val batches = metrics.counter("umberslip.batches")
    private val written = metrics.counter("umberslip.writes")

    override fun start(): Job {
        scope.launch {
            while (true) {
                delay(TICK)
                trySend(LeaderMessage.Tick)
            }
        }
        return super.start()
    }

    override suspend fun receive(message: LeaderMessage) {
        val now = clock.now()
        when (message) {
            is LeaderMessage.HeartbeatReceived -> reported(message.heartbeat, message.respond, now)
            is LeaderMessage.Elected -> lead(message, now)
            LeaderMessage.SteppedDown -> stepDown()
            is LeaderMessage.RecordsChanged -> scheduler?.let { changed(it, message.events, now) }
            is LeaderMessage.InstanceTypesChanged -> {
                instanceTypes = message.all
                scheduler?.setInstanceTypes(instanceTypes)
            }
            is LeaderMessage.WriteCompleted -> written(message, now)
            is LeaderMessage.ContinueDispatch -> continueDispatch(message, now)
            is LeaderMessage.OutcomeRead -> {
                if (message.scheduler === scheduler && message.end != null) {
                    message.scheduler.dependencyEnded(message.id, message.end, now)
                }
            }
            LeaderMessage.Tick -> tick(now)
            LeaderMessage.Flush -> flush(now)
            is LeaderMessage.TakeSnapshot -> {
                val view = scheduler?.let { ClusterSnapshot.of(it, now) }
                message.answer(view, clock.now() - now)
            }
            is LeaderMessage.Drain ->
                scheduler?.let { scheduler ->
                    scheduler.machines.values.forEach { it.isDraining = it.name in message.machineNames }
                    maintenance?.migrate(scheduler.machines.values.filter { it.name in message.emptied }, now)
                }
            is LeaderMessage.PrepareTermination -> {
                val machines = scheduler?.machines
                message.answer(
                    message.machineNames.filter { name ->
                        val machine = machines?.get(name)
                        val may = machine == null || message.evenIfBusy || machine.assignments.isEmpty()
                        if (may) machine?.isTerminating = true
                        may
                    },
                )
            }
            is LeaderMessage.Terminated -> scheduler?.terminated(message.machineNames, now)
        }
    }

    private fun lead(
        message: LeaderMessage.Elected,
        now: Duration,
    ) {
        val term = leaderLease.term ?: return
        val version = leaderLease.version ?: return
        val observer = termListener.elected(term, now)
        val fresh =
            SchedulerState(settings, timings, term, version, wallClock, reconciliationObserver = observer)
        fresh.setInstanceTypes(instanceTypes)
        fresh.load(message.records, now, message.formerLeaseExpiry)
        scheduler = fresh
        askedEnds.clear()
        readEnds(fresh, now)
        maintenance = Maintenance(fresh, settings, timings)
        log.info(
            "owner under term {}: {} jobs, {} machines with recorded tasks",
            term.value,
            fresh.jobs.size,
            fresh.machines.size,
        )
    }

    private fun stepDown() {
        if (scheduler != null) log.warn("no longer the owner")
        scheduler = null
        maintenance = null
        termListener.steppedDown()
        waiting.values.forEach { it.respond(REFUSED) }
        waiting.clear()
    }

    private fun changed(
        scheduler: SchedulerState,
        events: List<RecordEvent>,
        now: Duration,
    ) {
        for (event in events) {
            when (event) {
                is RecordEvent.JobChanged -> scheduler.jobChanged(event.id, event.job, now)
                is RecordEvent.JobRemoved -> scheduler.jobRemoved(event.id)
                is RecordEvent.LeasesRenewedByFollower -> scheduler.renewedByFollower(event.machineNames, now)
                is RecordEvent.LeaderChanged -> Unit
            }
        }
        readEnds(scheduler, now)
        scheduler.inheritPriorities(now)
    }

    /** Ends of needed jobs that are not among the unfinished ones are read one by one; they never change. */
    private fun readEnds(
        scheduler: SchedulerState,
        now: Duration,
    ) {
        if (scheduler.dependencyGraph.unread.isEmpty()) {
            askedEnds.clear()
            return
        }
        for (id in scheduler.dependencyGraph.unread
            .filter { now - (askedEnds[it] ?: -ASK_AGAIN) >= ASK_AGAIN }
            .take(MAX_ASKED)) {
            askedEnds[id] = now
            scope.launch {
                val end =
                    try {
                        store.get(Keys.outcome(id))?.let { OutcomeRecord.parse(it.data).end }
                    } catch (e: ServiceUnavailableException) {
                        null
                    } catch (e: NoResponseException) {
                        null
                    }
                enqueue(LeaderMessage.OutcomeRead(scheduler, id, end))
            }
        }
    }

    // ---- heartbeats ----

    private fun reported(
        heartbeat: Heartbeat,
        respond: (Response) -> Unit,
        now: Duration,
    ) {
        val scheduler = scheduler
        if (scheduler == null || !leaderLease.mayAnswer(now)) {
            respond(REFUSED)
            return
        }
        heartbeats.increment()
        if (mayBeReplaced(heartbeat.machineName, now)) {
            respond(Response.MISDIRECTED)
            return
        }
        when (scheduler.heartbeat(heartbeat, now)) {
            HeartbeatDisposition.OUT_OF_DATE -> respond(REFUSED)
            HeartbeatDisposition.SUPERSEDED -> {
                respond(Response.error(421, "a higher term is known"))
                leaderLease.superseded()
            }
            HeartbeatDisposition.TOKEN_BEHIND -> {
                scheduler.leaseRenewed(heartbeat.machineName, now)
                respond(Response(200, HeartbeatResponse(scheduler.term).toMap()))
            }
            HeartbeatDisposition.ACCEPTED -> {
                waiting.remove(heartbeat.machineName)?.respond?.invoke(REFUSED)
                waiting[heartbeat.machineName] = Waiting(heartbeat.heartbeatVersion, respond, now + REPLY_WITHIN)
                continueDispatch(LeaderMessage.ContinueDispatch(heartbeat.machineName, heartbeat.heartbeatVersion), now)
            }
        }
    }

    /**
     * Past its lease and with no other controller in reach, an leader may have a successor that its
     * workers would find. It sends each to ask around; one that comes back found none, and is answered
     * that time, so that its lease goes on where the key-value store is away for all.
     */
    private fun mayBeReplaced(
        machineName: MachineName,
        now: Duration,
    ): Boolean {
        if (leaderLease.mayStart(now) || peerHealth() != PeerHealth.UNREACHABLE) {
            sentAway.clear()
            return false
        }
        return sentAway.add(machineName) || !sentAway.remove(machineName)
    }

    /** One round of placing for a machine; what the budget cuts off goes on after other messages had their turn. */
    private fun continueDispatch(
        dispatch: LeaderMessage.ContinueDispatch,
        now: Duration,
    ) {
        val scheduler = scheduler ?: return
        val machine = scheduler.machines[dispatch.machineName] ?: return
        if (machine.heartbeatVersion != dispatch.heartbeatVersion) return
        if (leaderLease.mayStart(now)) {
            val end = now + tuning.roundBudget
            if (!scheduler.dispatch(machine, now) { clock.now() > end }) {
                enqueue(dispatch)
                return
            }
        }
        if (!scheduler.hasUnrecorded(machine)) answer(scheduler, machine, now) else flush(now)
    }

    private fun answer(
        scheduler: SchedulerState,
        machine: Machine,
        now: Duration,
    ) {
        val waiter = waiting.remove(machine.name) ?: return
        if (waiter.heartbeatVersion != machine.heartbeatVersion || machine.isTerminating || !leaderLease.mayAnswer(now)) {
            waiter.respond(REFUSED)
            return
        }
        val commands = scheduler.commands(machine, leaderLease.mayStart(now))
        commands.forEach { if (it is WorkerCommand.Start) starts.increment() }
        scheduler.leaseRenewed(machine.name, now)
        waiter.respond(Response(200, HeartbeatResponse(scheduler.term, commands).toMap()))
    }

    private fun tick(now: Duration) {
        val scheduler = scheduler ?: return
        maintenance?.let {
            it.tick(now)
            if (it.hasLostWorkers(now) && peerHealth() == PeerHealth.SERVED) leaderLease.lostContactWithWorkers(now)
        }
        readEnds(scheduler, now)
        for ((name, waiter) in waiting.entries.toList()) {
            if (waiter.until <= now) scheduler.machines[name]?.let { answer(scheduler, it, now) }
        }
        flush(now)
    }

    // ---- writing ----

    private fun flush(now: Duration) {
        val scheduler = scheduler ?: return
        if (writing || !leaderLease.mayStart(now)) return
        // Batches come no faster than the key-value store's rate lets them be; later ones hold more.
        val wait = maxOf(writes.wait(MIN_OPS), flushedAt + minBatchInterval - now)
        if (wait > Duration.ZERO) {
            flushIn(wait)
            return
        }
        val batch =
            scheduler.writeAheadLog.nextBatch(
                minOf(settings.storeLimits.transactionOps, writes.available().coerceAtLeast(MIN_OPS)),
                scheduler.machines.keys,
                now,
            )
                ?: return
        writing = true
        flushedAt = now
        scope.launch {
            writes.take(batch.writes.size, urgent = true)
            val outcome =
                try {
                    store.compareAndSwap(batch.preconditions, batch.writes).also {
                        if (it is TransactionResult.PreconditionFailed && Keys.LEADER !in it.failed) {
                            log.info("a batch was refused for {}", it.failed)
                            resolve(scheduler, it.failed)
                            refresh()
                        }
                    }
                } catch (e: RateLimitedException) {
                    writes.lower()
                    notTaken(e)
                } catch (e: ServiceUnavailableException) {
                    notTaken(e)
                } catch (e: NoResponseException) {
                    log.info("the fate of a batch is unknown: {}", e.message)
                    if (fence(scheduler)) resolve(scheduler, batch.preconditions.map { it.key }.filter { it != Keys.LEADER })
                    null
                }
            enqueue(LeaderMessage.WriteCompleted(batch, outcome))
        }
    }

    private suspend fun notTaken(cause: ServiceUnavailableException): TransactionResult? {
        log.debug("a batch was not taken: {}", cause.message)
        delay(RETRY)
        return null
    }

    private fun flushIn(wait: Duration) {
        if (flushTimer?.isActive == true) return
        flushTimer =
            scope.launch {
                delay(wait)
                flushTimer = null
                enqueue(LeaderMessage.Flush)
            }
    }

    private fun written(
        message: LeaderMessage.WriteCompleted,
        now: Duration,
    ) {
        writing = false
        val scheduler = scheduler ?: return
        when (val outcome = message.outcome) {
            is TransactionResult.Applied -> {
                batches.increment()
                written.increment(
                    message.batch.writes.size
                        .toDouble(),
                )
                for (name in scheduler.applied(message.batch, outcome.version, now)) {
                    scheduler.machines[name]?.let { if (!scheduler.hasUnrecorded(it)) answer(scheduler, it, now) }
                }
            }
            is TransactionResult.PreconditionFailed -> {
                scheduler.writeAheadLog.notApplied(message.batch)
                if (Keys.LEADER in outcome.failed) {
                    leaderLease.lost("its record is not ours any more")
                    return
                }
            }
            is TransactionResult.Rejected -> {
                log.error("a batch of {} writes is too large or malformed: {}", message.batch.writes.size, outcome.why)
                scheduler.writeAheadLog.rejected(message.batch)
            }
            else -> scheduler.writeAheadLog.notApplied(message.batch)
        }
        flush(clock.now())
    }

    /**
     * A write without an answer may be carried out long after a read that does not show it. So before
     * anything rests on such a read, the leader's record is written anew: every write of this term is
     * guarded by that record's version, so what has not come through by then never will. False where the
     * record is not ours any more.
     */
    private suspend fun fence(scheduler: SchedulerState): Boolean {
        while (this.scheduler === scheduler) {
            val version = leaderLease.version ?: return false
            val record = LeaderRecord(settings.member, scheduler.term, leaderLease.lease ?: return false)
            try {
                when (
                    val result =
                        store.compareAndSwap(
                            listOf(Precondition(Keys.LEADER, version)),
                            listOf(Write.Put(Keys.LEADER, record.toMap(), record.lease)),
                        )
                ) {
                    is TransactionResult.Applied -> return fenced(scheduler, result.version)
                    is TransactionResult.PreconditionFailed -> {
                        // An earlier try without an answer came through, or somebody else leads.
                        val entry = store.get(Keys.LEADER)
                        if (entry != null && LeaderRecord.parse(entry.data) == record) {
                            return fenced(scheduler, entry.version)
                        }
                        leaderLease.lost("its record is not ours any more")
                        return false
                    }
                    TransactionResult.LeaseExpired, is TransactionResult.Rejected -> {
                        leaderLease.lost("its lease has ended")
                        return false
                    }
                }
            } catch (e: ServiceUnavailableException) {
                log.debug("not fenced yet: {}", e.message)
            } catch (e: NoResponseException) {
                log.debug("perhaps not fenced yet: {}", e.message)
            }
            delay(RETRY)
        }
        return false
    }

    private fun fenced(
        scheduler: SchedulerState,
        version: Version,
    ): Boolean {
        leaderLease.fenced(version)
        scheduler.writeAheadLog.fenced(version)
        return true
    }

    /**
     * After a refusal, or when a write's fate is unknown and it is fenced off, the keys are read before
     * anything more is written to them.
     */
    private suspend fun resolve(
        scheduler: SchedulerState,
        keys: List<String>,
    ) {
        for (key in keys) {
            var tries = 0
            while (this.scheduler === scheduler) {
                try {
                    val entry = store.get(key)
                    scheduler.resolve(key, entry?.version, entry?.data)
                    break
                } catch (e: ServiceUnavailableException) {
                    if (tries++ == 0) log.info("{} cannot be read yet: {}", key, e.message)
                    delay(RETRY)
                } catch (e: NoResponseException) {
                    if (tries++ == 0) log.info("{} cannot be read yet: {}", key, e.message)
                    delay(RETRY)
                }
            }
        }
    }

    private companion object {
        val TICK = 200.milliseconds
        val RETRY = 200.milliseconds
        val REPLY_WITHIN = 1200.milliseconds
        const val MIN_OPS = 3
        val ASK_AGAIN = 2.seconds
        const val MAX_ASKED = 10
        val MIN_BATCH_INTERVAL = 75.milliseconds
        val REFUSED = Response.retryAfter(1, "not the owner, or an old report")
    }
}
