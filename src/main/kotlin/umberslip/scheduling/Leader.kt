package umberslip.scheduling

import io.micrometer.core.instrument.MeterRegistry
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import umberslip.actor.Actor
import umberslip.cloud.InstanceType
import umberslip.core.Clock
import umberslip.core.MachineName
import umberslip.leadership.LeaderLease
import umberslip.peers.PeerHealth
import umberslip.records.Keys
import umberslip.records.RecordEvent
import umberslip.settings.Settings
import umberslip.settings.Timings
import umberslip.settings.Tuning
import umberslip.store.KeyValueStore
import umberslip.store.RateLimiter
import umberslip.store.TransactionResult
import java.time.Instant
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * The leader's actor: workers' heartbeats in, commands and records out.
 *
 * It owns the [SchedulerState] of its term, which makes the decisions, and has none while this controller does not
 * lead. What waits for the key-value store runs beside it and sends a message when it is done.
 */
class Leader(
    private val scope: CoroutineScope,
    private val settings: Settings,
    private val tuning: Tuning,
    private val timings: Timings,
    store: KeyValueStore,
    writes: RateLimiter,
    private val clock: Clock,
    private val wallClock: () -> Instant,
    private val leaderLease: LeaderLease,
    refreshRecords: () -> Unit,
    private val peerHealth: () -> PeerHealth,
    private val termListener: LeaderTermListener,
    metrics: MeterRegistry,
) : Actor<LeaderMessage>("scheduling", scope, DEFAULT_CAPACITY + settings.sockets) {
    private var scheduler: SchedulerState? = null
    private var maintenance: Maintenance? = null
    private var instanceTypes: List<InstanceType> = emptyList()
    private val statusLog = LeaderStatusLog(leaderLease, log)
    private val responder = HeartbeatResponder(leaderLease, peerHealth, metrics)
    private val dependencyLookups = DependencyLookups(scope, store) { enqueue(it) }
    private val resolution = WriteResolution(settings.member, store, leaderLease) { it === scheduler }
    private val batchWriter =
        BatchWriter(scope, settings.storeLimits, store, writes, leaderLease, resolution, refreshRecords) { enqueue(it) }
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
            is LeaderMessage.HeartbeatReceived -> heartbeatReceived(message, now)
            is LeaderMessage.Elected -> elected(message, now)
            LeaderMessage.SteppedDown -> steppedDown()
            is LeaderMessage.RecordsChanged -> scheduler?.let { recordsChanged(it, message.events, now) }
            is LeaderMessage.InstanceTypesChanged -> instanceTypesChanged(message.all)
            is LeaderMessage.WriteCompleted -> writeCompleted(message, now)
            is LeaderMessage.ContinueDispatch -> continueDispatch(message, now)
            is LeaderMessage.OutcomeRead -> outcomeRead(message, now)
            LeaderMessage.Tick -> scheduler?.let { tick(it, now) }
            LeaderMessage.Flush -> scheduler?.let { batchWriter.flush(it, now) }
            is LeaderMessage.TakeSnapshot -> takeSnapshot(message, now)
            is LeaderMessage.Drain -> scheduler?.let { drain(it, message, now) }
            is LeaderMessage.PrepareTermination -> prepareTermination(message)
            is LeaderMessage.Terminated -> scheduler?.machinesTerminated(message.machineNames, now)
        }
    }

    // ---- leadership ----

    private fun elected(
        message: LeaderMessage.Elected,
        now: Duration,
    ) {
        val held = leaderLease.held ?: return
        val observer = termListener.elected(held.term, now)
        val elected =
            SchedulerState(settings, timings, held.term, held.version, wallClock, reconciliationObserver = observer)
        elected.setInstanceTypes(instanceTypes)
        elected.load(message.records, now, message.formerLeaseExpiry)
        scheduler = elected
        dependencyLookups.clear()
        dependencyLookups.begin(elected, now)
        maintenance = Maintenance(elected, settings, timings)
        log.info(
            "leadership began: term={} jobs={} machines_with_recorded_tasks={}",
            held.term.value,
            elected.jobs.size,
            elected.machines.size,
        )
    }

    private fun steppedDown() {
        scheduler?.let { log.warn("leadership ended: term={}", it.term.value) }
        scheduler = null
        maintenance = null
        termListener.steppedDown()
        responder.refuseAll()
    }

    // ---- what others report ----

    private fun recordsChanged(
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
        dependencyLookups.begin(scheduler, now)
        scheduler.inheritPriorities(now)
    }

    private fun instanceTypesChanged(all: List<InstanceType>) {
        instanceTypes = all
        scheduler?.setInstanceTypes(all)
    }

    private fun outcomeRead(
        message: LeaderMessage.OutcomeRead,
        now: Duration,
    ) {
        val outcome = message.outcome ?: return
        if (message.scheduler === scheduler) message.scheduler.dependencyEnded(message.id, outcome, now)
    }

    // ---- heartbeats and dispatch ----

    private fun heartbeatReceived(
        message: LeaderMessage.HeartbeatReceived,
        now: Duration,
    ) {
        if (!responder.receive(scheduler, message, now)) return
        val heartbeat = message.heartbeat
        continueDispatch(LeaderMessage.ContinueDispatch(heartbeat.machineName, heartbeat.heartbeatVersion), now)
    }

    /** One round of dispatch to a machine; what the time limit cuts off goes on after other messages had their turn. */
    private fun continueDispatch(
        message: LeaderMessage.ContinueDispatch,
        now: Duration,
    ) {
        val scheduler = scheduler ?: return
        val machine = scheduler.machines[message.machineName] ?: return
        if (machine.heartbeatVersion != message.heartbeatVersion) return
        if (leaderLease.mayStart(now)) {
            val end = now + tuning.roundBudget
            if (!scheduler.dispatch(machine, now) { clock.now() > end }) {
                enqueue(message)
                return
            }
        }
        if (scheduler.hasUnrecordedStarts(machine)) {
            batchWriter.flush(scheduler, now)
        } else {
            responder.respond(scheduler, machine, now)
        }
    }

    private fun tick(
        scheduler: SchedulerState,
        now: Duration,
    ) {
        maintenance?.let {
            it.tick(now)
            if (it.hasLostWorkers(now) && peerHealth() == PeerHealth.SERVED) leaderLease.lostContactWithWorkers(now)
        }
        dependencyLookups.begin(scheduler, now)
        responder.respondToOverdue(scheduler, now)
        batchWriter.flush(scheduler, now)
        statusLog.update(now)
    }

    // ---- writes ----

    private fun writeCompleted(
        message: LeaderMessage.WriteCompleted,
        now: Duration,
    ) {
        batchWriter.completed()
        val scheduler = scheduler ?: return
        // The outcome of a batch of a former term says nothing about this state, which loaded the records since.
        if (message.scheduler === scheduler && !takeOutcome(scheduler, message.batch, message.result, now)) return
        batchWriter.flush(scheduler, clock.now())
    }

    /** False where the batch failed since this controller does not lead any more. */
    private fun takeOutcome(
        scheduler: SchedulerState,
        batch: WriteBatch,
        result: TransactionResult?,
        now: Duration,
    ): Boolean {
        when (result) {
            is TransactionResult.Applied -> applied(scheduler, batch, result, now)
            is TransactionResult.PreconditionFailed -> {
                scheduler.writeAheadLog.notApplied(batch)
                if (Keys.LEADER in result.failed) {
                    leaderLease.lost("the leader's record is another's")
                    return false
                }
            }
            is TransactionResult.Rejected -> {
                log.error("batch rejected for its size or form: writes={} reason={}", batch.writes.size, result.why)
                scheduler.writeAheadLog.rejected(batch)
            }
            TransactionResult.LeaseExpired, null -> scheduler.writeAheadLog.notApplied(batch)
        }
        return true
    }

    private fun applied(
        scheduler: SchedulerState,
        batch: WriteBatch,
        result: TransactionResult.Applied,
        now: Duration,
    ) {
        batches.increment()
        written.increment(batch.writes.size.toDouble())
        for (name in scheduler.applied(batch, result.version, now)) {
            val machine = scheduler.machines[name] ?: continue
            if (!scheduler.hasUnrecordedStarts(machine)) responder.respond(scheduler, machine, now)
        }
    }

    // ---- the provisioner's requests ----

    private fun takeSnapshot(
        message: LeaderMessage.TakeSnapshot,
        now: Duration,
    ) {
        val snapshot = scheduler?.let { ClusterSnapshot.of(it, now) }
        message.answer(snapshot, clock.now() - now)
    }

    private fun drain(
        scheduler: SchedulerState,
        message: LeaderMessage.Drain,
        now: Duration,
    ) {
        scheduler.machines.values.forEach { it.isDraining = it.name in message.machineNames }
        maintenance?.migrate(scheduler.machines.values.filter { it.name in message.emptied }, now)
    }

    private fun prepareTermination(message: LeaderMessage.PrepareTermination) {
        message.answer(message.machineNames.filter { mayTerminate(it, message.evenIfBusy) })
    }

    /** If so, nothing more is sent to the machine. */
    private fun mayTerminate(
        name: MachineName,
        evenIfBusy: Boolean,
    ): Boolean {
        val machine = scheduler?.machines?.get(name) ?: return true
        if (!evenIfBusy && machine.assignments.isNotEmpty()) return false
        machine.isTerminating = true
        return true
    }

    private companion object {
        /** A fraction of the shortest time that maintenance and overdue responses go by. */
        val TICK = 200.milliseconds
    }
}
