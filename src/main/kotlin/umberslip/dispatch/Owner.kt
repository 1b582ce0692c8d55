package umberslip.dispatch

import io.micrometer.core.instrument.MeterRegistry
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import umberslip.actor.Actor
import umberslip.actor.Clock
import umberslip.agents.Machine
import umberslip.agents.Mark
import umberslip.agents.Order
import umberslip.agents.Report
import umberslip.cloud.Flavor
import umberslip.cloud.HostName
import umberslip.fleet.FleetView
import umberslip.http.NoAnswer
import umberslip.http.Response
import umberslip.http.Throttled
import umberslip.http.Unavailable
import umberslip.ownership.Authority
import umberslip.peers.PeerHealth
import umberslip.records.End
import umberslip.records.EndRecord
import umberslip.records.JobId
import umberslip.records.Keys
import umberslip.records.OwnerRecord
import umberslip.records.RecordEvent
import umberslip.records.RecordView
import umberslip.recovery.RecoveryMetrics
import umberslip.recovery.RecoveryTracker
import umberslip.settings.Settings
import umberslip.settings.Timings
import umberslip.settings.Tuning
import umberslip.state.Guard
import umberslip.state.Pacer
import umberslip.state.StateService
import umberslip.state.TxnResult
import umberslip.state.Version
import umberslip.state.Write
import java.time.Instant
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

sealed interface OwnerMessage {
    class Reported(
        val report: Report,
        val respond: (Response) -> Unit,
    ) : OwnerMessage

    class TookOver(
        val records: RecordView,
        val silentUntil: Duration,
    ) : OwnerMessage

    data object SteppedDown : OwnerMessage

    class RecordsChanged(
        val events: List<RecordEvent>,
    ) : OwnerMessage

    class Flavors(
        val all: List<Flavor>,
    ) : OwnerMessage

    class Written(
        val batch: Batch,
        val outcome: TxnResult?,
    ) : OwnerMessage

    class Deal(
        val host: HostName,
        val mark: Mark,
    ) : OwnerMessage

    /** How a job ended that others need; null where that could not be read. */
    class EndRead(
        val scheduler: SchedulerState,
        val id: JobId,
        val end: End?,
    ) : OwnerMessage

    data object Tick : OwnerMessage

    data object Flush : OwnerMessage

    /** From the fleet: asks for what it plans from; answered with how long that took, too. */
    class View(
        val answer: (FleetView?, Duration) -> Unit,
    ) : OwnerMessage

    /** From the fleet: [hosts] get nothing new, all others may; from [emptied] what can be saved moves on. */
    class Close(
        val hosts: Set<HostName>,
        val emptied: Set<HostName>,
    ) : OwnerMessage

    /** From the fleet: nothing more is told to these; answered with those that may go now. */
    class Releasing(
        val hosts: Set<HostName>,
        val evenIfBusy: Boolean,
        val answer: (List<HostName>) -> Unit,
    ) : OwnerMessage

    class Released(
        val hosts: List<HostName>,
    ) : OwnerMessage
}

/** The owner's actor: workers' reports in, orders and records out. Decisions are the [SchedulerState]'s. */
class Owner(
    private val scope: CoroutineScope,
    private val settings: Settings,
    private val tuning: Tuning,
    private val timings: Timings,
    private val state: StateService,
    private val writes: Pacer,
    private val clock: Clock,
    private val wallClock: () -> Instant,
    private val authority: Authority,
    private val nudge: () -> Unit,
    private val peerHealth: () -> PeerHealth,
    private val metrics: MeterRegistry,
) : Actor<OwnerMessage>("dispatch", scope, DEFAULT_CAPACITY + settings.sockets) {
    private class Waiting(
        val mark: Mark,
        val respond: (Response) -> Unit,
        val until: Duration,
    )

    private var scheduler: SchedulerState? = null
    private var maintenance: Maintenance? = null
    private var flavors: List<Flavor> = emptyList()
    private val waiting = HashMap<HostName, Waiting>()

    /** Workers sent to ask around, while nobody can say whether there is another owner. */
    private val sentAway = HashSet<HostName>()

    /** When the ends of needed jobs were last asked for. */
    private val askedEnds = HashMap<JobId, Duration>()
    private var writing = false
    private var flushTimer: Job? = null
    private var flushedAt = Duration.ZERO

    /** Batches come no closer than this, however many writes are allowed: each is read by every controller. */
    private val gather = maxOf(GATHER, (MIN_OPS / settings.stateLimits.writeRps).seconds)
    private val reports = metrics.counter("umberslip.reports")
    private val starts = metrics.counter("umberslip.starts")
    private val batches = metrics.counter("umberslip.batches")
    private val written = metrics.counter("umberslip.writes")

    override fun start(): Job {
        if (tuning.recovery.track) RecoveryMetrics(metrics) { scheduler?.recovery?.snapshot(clock.now()) }.register()
        scope.launch {
            while (true) {
                delay(TICK)
                tell(OwnerMessage.Tick)
            }
        }
        return super.start()
    }

    override suspend fun receive(message: OwnerMessage) {
        val now = clock.now()
        when (message) {
            is OwnerMessage.Reported -> reported(message.report, message.respond, now)
            is OwnerMessage.TookOver -> takeOver(message, now)
            OwnerMessage.SteppedDown -> stepDown()
            is OwnerMessage.RecordsChanged -> scheduler?.let { changed(it, message.events, now) }
            is OwnerMessage.Flavors -> {
                flavors = message.all
                scheduler?.setFlavors(flavors)
            }
            is OwnerMessage.Written -> written(message, now)
            is OwnerMessage.Deal -> dealOn(message, now)
            is OwnerMessage.EndRead -> {
                if (message.scheduler === scheduler && message.end != null) {
                    message.scheduler.ended(message.id, message.end, now)
                }
            }
            OwnerMessage.Tick -> tick(now)
            OwnerMessage.Flush -> flush(now)
            is OwnerMessage.View -> {
                val view = scheduler?.let { FleetView.of(it, now) }
                message.answer(view, clock.now() - now)
            }
            is OwnerMessage.Close ->
                scheduler?.let { scheduler ->
                    scheduler.machines.values.forEach { it.closing = it.name in message.hosts }
                    maintenance?.moveOn(scheduler.machines.values.filter { it.name in message.emptied }, now)
                }
            is OwnerMessage.Releasing -> {
                val machines = scheduler?.machines
                message.answer(
                    message.hosts.filter { name ->
                        val machine = machines?.get(name)
                        val may = machine == null || message.evenIfBusy || machine.assignments.isEmpty()
                        if (may) machine?.releasing = true
                        may
                    },
                )
            }
            is OwnerMessage.Released -> scheduler?.released(message.hosts, now)
        }
    }

    private fun takeOver(
        message: OwnerMessage.TookOver,
        now: Duration,
    ) {
        val term = authority.term ?: return
        val version = authority.version ?: return
        val recovery = if (tuning.recovery.track) RecoveryTracker(term, now) else null
        val fresh = SchedulerState(settings, timings, term, version, wallClock, recovery = recovery)
        fresh.setFlavors(flavors)
        fresh.load(message.records, now, message.silentUntil)
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
                is RecordEvent.JobGone -> scheduler.jobGone(event.id)
                is RecordEvent.Relayed -> scheduler.relayed(event.hosts, now)
                is RecordEvent.OwnerChanged -> Unit
            }
        }
        readEnds(scheduler, now)
        scheduler.rerank(now)
    }

    /** Ends of needed jobs that are not among the unfinished ones are read one by one; they never change. */
    private fun readEnds(
        scheduler: SchedulerState,
        now: Duration,
    ) {
        if (scheduler.pipelines.unread.isEmpty()) {
            askedEnds.clear()
            return
        }
        for (id in scheduler.pipelines.unread
            .filter { now - (askedEnds[it] ?: -ASK_AGAIN) >= ASK_AGAIN }
            .take(MAX_ASKED)) {
            askedEnds[id] = now
            scope.launch {
                val end =
                    try {
                        state.get(Keys.end(id))?.let { EndRecord.parse(it.data).end }
                    } catch (e: Unavailable) {
                        null
                    } catch (e: NoAnswer) {
                        null
                    }
                post(OwnerMessage.EndRead(scheduler, id, end))
            }
        }
    }

    // ---- reports ----

    private fun reported(
        report: Report,
        respond: (Response) -> Unit,
        now: Duration,
    ) {
        val scheduler = scheduler
        if (scheduler == null || !authority.mayAnswer(now)) {
            respond(REFUSED)
            return
        }
        reports.increment()
        if (mayBeReplaced(report.host, now)) {
            respond(Response.NOT_HERE)
            return
        }
        when (scheduler.report(report, now)) {
            Verdict.STALE -> respond(REFUSED)
            Verdict.OUTRANKED -> {
                respond(Response.error(421, "a higher term is known"))
                authority.outranked()
            }
            Verdict.TOKEN_ONLY -> {
                scheduler.answered(report.host, now)
                respond(Response(200, mapOf("warrant" to scheduler.term.value, "orders" to emptyList<Any>())))
            }
            Verdict.ANSWER -> {
                waiting.remove(report.host)?.respond?.invoke(REFUSED)
                waiting[report.host] = Waiting(report.mark, respond, now + REPLY_WITHIN)
                dealOn(OwnerMessage.Deal(report.host, report.mark), now)
            }
        }
    }

    /**
     * Past its lease and with no other controller in reach, an owner may have a successor that its
     * workers would find. It sends each to ask around; one that comes back found none, and is answered
     * that time, so that its lease goes on where the state service is away for all.
     */
    private fun mayBeReplaced(
        host: HostName,
        now: Duration,
    ): Boolean {
        if (authority.mayStart(now) || peerHealth() != PeerHealth.NONE) {
            sentAway.clear()
            return false
        }
        return sentAway.add(host) || !sentAway.remove(host)
    }

    /** One round of placing for a machine; what the budget cuts off goes on after other messages had their turn. */
    private fun dealOn(
        deal: OwnerMessage.Deal,
        now: Duration,
    ) {
        val scheduler = scheduler ?: return
        val machine = scheduler.machines[deal.host] ?: return
        if (machine.mark != deal.mark) return
        if (authority.mayStart(now)) {
            val end = now + tuning.roundBudget
            if (!scheduler.deal(machine, now) { clock.now() > end }) {
                post(deal)
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
        if (waiter.mark != machine.mark || machine.releasing || !authority.mayAnswer(now)) {
            waiter.respond(REFUSED)
            return
        }
        val orders = scheduler.orders(machine, authority.mayStart(now))
        orders.forEach { if (it is Order.Start) starts.increment() }
        scheduler.answered(machine.name, now)
        waiter.respond(Response(200, mapOf("warrant" to scheduler.term.value, "orders" to orders.map { it.toMap() })))
    }

    private fun tick(now: Duration) {
        val scheduler = scheduler ?: return
        maintenance?.let {
            it.tick(now)
            if (it.isUnheard(now) && peerHealth() == PeerHealth.SERVED) authority.unheard(now)
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
        if (writing || !authority.mayStart(now)) return
        // Batches come no faster than the state service's rate lets them be; later ones hold more.
        val wait = maxOf(writes.wait(MIN_OPS), flushedAt + gather - now)
        if (wait > Duration.ZERO) {
            flushIn(wait)
            return
        }
        val batch =
            scheduler.pendingWrites.nextBatch(
                minOf(settings.stateLimits.txnOps, writes.available().coerceAtLeast(MIN_OPS)),
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
                    state.txn(batch.guards, batch.writes).also {
                        if (it is TxnResult.Refused && Keys.OWNER !in it.failed) {
                            log.info("a batch was refused for {}", it.failed)
                            settle(scheduler, it.failed)
                            nudge()
                        }
                    }
                } catch (e: Throttled) {
                    writes.lower()
                    notTaken(e)
                } catch (e: Unavailable) {
                    notTaken(e)
                } catch (e: NoAnswer) {
                    log.info("the fate of a batch is unknown: {}", e.message)
                    if (fence(scheduler)) settle(scheduler, batch.guards.map { it.key }.filter { it != Keys.OWNER })
                    null
                }
            post(OwnerMessage.Written(batch, outcome))
        }
    }

    private suspend fun notTaken(cause: Unavailable): TxnResult? {
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
                post(OwnerMessage.Flush)
            }
    }

    private fun written(
        message: OwnerMessage.Written,
        now: Duration,
    ) {
        writing = false
        val scheduler = scheduler ?: return
        when (val outcome = message.outcome) {
            is TxnResult.Applied -> {
                batches.increment()
                written.increment(
                    message.batch.writes.size
                        .toDouble(),
                )
                for (name in scheduler.applied(message.batch, outcome.version, now)) {
                    scheduler.machines[name]?.let { if (!scheduler.hasUnrecorded(it)) answer(scheduler, it, now) }
                }
            }
            is TxnResult.Refused -> {
                scheduler.pendingWrites.notApplied(message.batch)
                if (Keys.OWNER in outcome.failed) {
                    authority.lost("its record is not ours any more")
                    return
                }
            }
            is TxnResult.Rejected -> {
                log.error("a batch of {} writes is too large or malformed: {}", message.batch.writes.size, outcome.why)
                scheduler.pendingWrites.rejected(message.batch)
            }
            else -> scheduler.pendingWrites.notApplied(message.batch)
        }
        flush(clock.now())
    }

    /**
     * A write without an answer may be carried out long after a read that does not show it. So before
     * anything rests on such a read, the owner's record is written anew: every write of this term is
     * guarded by that record's version, so what has not come through by then never will. False where the
     * record is not ours any more.
     */
    private suspend fun fence(scheduler: SchedulerState): Boolean {
        while (this.scheduler === scheduler) {
            val version = authority.version ?: return false
            val record = OwnerRecord(settings.member, scheduler.term, authority.lease ?: return false)
            try {
                when (
                    val result =
                        state.txn(
                            listOf(Guard(Keys.OWNER, version)),
                            listOf(Write.Put(Keys.OWNER, record.toMap(), record.lease)),
                        )
                ) {
                    is TxnResult.Applied -> return fenced(scheduler, result.version)
                    is TxnResult.Refused -> {
                        // An earlier try without an answer came through, or somebody else owns.
                        val entry = state.get(Keys.OWNER)
                        if (entry != null && OwnerRecord.parse(entry.data) == record) {
                            return fenced(scheduler, entry.version)
                        }
                        authority.lost("its record is not ours any more")
                        return false
                    }
                    TxnResult.NoLease, is TxnResult.Rejected -> {
                        authority.lost("its lease has ended")
                        return false
                    }
                }
            } catch (e: Unavailable) {
                log.debug("not fenced yet: {}", e.message)
            } catch (e: NoAnswer) {
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
        authority.fenced(version)
        scheduler.pendingWrites.fenced(version)
        return true
    }

    /**
     * After a refusal, or when a write's fate is unknown and it is fenced off, the keys are read before
     * anything more is written to them.
     */
    private suspend fun settle(
        scheduler: SchedulerState,
        keys: List<String>,
    ) {
        for (key in keys) {
            var tries = 0
            while (this.scheduler === scheduler) {
                try {
                    val entry = state.get(key)
                    scheduler.settle(key, entry?.version, entry?.data)
                    break
                } catch (e: Unavailable) {
                    if (tries++ == 0) log.info("{} cannot be read yet: {}", key, e.message)
                    delay(RETRY)
                } catch (e: NoAnswer) {
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
        val GATHER = 75.milliseconds
        val REFUSED = Response.later(1, "not the owner, or an old report")
    }
}
