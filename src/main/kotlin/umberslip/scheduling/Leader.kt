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
 * The actor of the leader: receives the workers' heartbeats, responds with commands, and writes the records.
 *
 * The actor owns the [SchedulerState] of the current term, which makes the scheduling decisions. It has no such state
 * while this controller does not lead. Requests to the key-value store run in coroutines of their own, which send the
 * actor a message when they are done.
 */
class Leader(
    private val scope: CoroutineScope,
    private val settings: Settings,
    private val tuning: Tuning,
    private val timings: Timings,
    store: KeyValueStore,
    writeRateLimiter: RateLimiter,
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
        BatchWriter(scope, settings.storeLimits, store, writeRateLimiter, leaderLease, resolution, refreshRecords) {
            enqueue(it)
        }
    private val batchCounter = metrics.counter("umberslip.batches")
    private val writeCounter = metrics.counter("umberslip.writes")

    override fun start(): Job {
        scope.launch {
            while (true) {
                delay(TICK_INTERVAL)
                trySend(LeaderMessage.Tick)
            }
        }
        return super.start()
    }

    override suspend fun receive(message: LeaderMessage) {
        val now = clock.now()
        when (message) {
            is LeaderMessage.HeartbeatReceived -> onHeartbeatReceived(message, now)
            is LeaderMessage.Elected -> onElected(message, now)
            LeaderMessage.SteppedDown -> onSteppedDown()
            is LeaderMessage.RecordsChanged -> scheduler?.let { onRecordsChanged(it, message.events, now) }
            is LeaderMessage.InstanceTypesChanged -> onInstanceTypesChanged(message.instanceTypes)
            is LeaderMessage.WriteCompleted -> onWriteCompleted(message, now)
            is LeaderMessage.ContinueDispatch -> continueDispatch(message, now)
            is LeaderMessage.OutcomeRead -> onOutcomeRead(message, now)
            LeaderMessage.Tick -> scheduler?.let { tick(it, now) }
            LeaderMessage.Flush -> scheduler?.let { batchWriter.flush(it, now) }
            is LeaderMessage.TakeSnapshot -> takeSnapshot(message, now)
            is LeaderMessage.Drain -> scheduler?.let { drain(it, message, now) }
            is LeaderMessage.PrepareTermination -> prepareTermination(message)
            is LeaderMessage.Terminated -> scheduler?.machinesTerminated(message.machineNames, now)
        }
    }

    // ---- leadership ----

    private fun onElected(
        message: LeaderMessage.Elected,
        now: Duration,
    ) {
        val held = leaderLease.held ?: return
        val observer = termListener.elected(held.term, now)
        val newState =
            SchedulerState(settings, timings, held.term, held.version, wallClock, reconciliationObserver = observer)
        newState.setInstanceTypes(instanceTypes)
        newState.load(message.records, now, message.formerLeaseExpiry)
        scheduler = newState
        dependencyLookups.clear()
        dependencyLookups.startLookups(newState, now)
        maintenance = Maintenance(newState, settings, timings)
        log.info(
            "leadership began: term={} jobs={} machines_with_recorded_tasks={}",
            held.term.value,
            newState.jobs.size,
            newState.machines.size,
        )
    }

    private fun onSteppedDown() {
        scheduler?.let { log.warn("leadership ended: term={}", it.term.value) }
        scheduler = null
        maintenance = null
        termListener.steppedDown()
        responder.refuseAll()
    }

    // ---- reports from other components ----

    private fun onRecordsChanged(
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
        dependencyLookups.startLookups(scheduler, now)
        scheduler.inheritPriorities(now)
    }

    private fun onInstanceTypesChanged(newTypes: List<InstanceType>) {
        instanceTypes = newTypes
        scheduler?.setInstanceTypes(newTypes)
    }

    private fun onOutcomeRead(
        message: LeaderMessage.OutcomeRead,
        now: Duration,
    ) {
        val outcome = message.outcome ?: return
        if (message.scheduler === scheduler) message.scheduler.dependencyEnded(message.id, outcome, now)
    }

    // ---- heartbeats and dispatch ----

    private fun onHeartbeatReceived(
        message: LeaderMessage.HeartbeatReceived,
        now: Duration,
    ) {
        if (!responder.receive(scheduler, message, now)) return
        val heartbeat = message.heartbeat
        continueDispatch(LeaderMessage.ContinueDispatch(heartbeat.machineName, heartbeat.heartbeatVersion), now)
    }

    /**
     * Runs one round of dispatch to a machine. If the round exceeds its time budget, it continues after the messages
     * that are in the mailbox by then.
     */
    private fun continueDispatch(
        message: LeaderMessage.ContinueDispatch,
        now: Duration,
    ) {
        val scheduler = scheduler ?: return
        val machine = scheduler.machines[message.machineName] ?: return
        if (machine.heartbeatVersion != message.heartbeatVersion) return
        if (leaderLease.mayStart(now)) {
            val deadline = now + tuning.roundBudget
            if (!scheduler.dispatch(machine, now) { clock.now() > deadline }) {
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
            if (it.hasLostContact(now) && peerHealth() == PeerHealth.SERVED) leaderLease.lostContactWithWorkers(now)
        }
        dependencyLookups.startLookups(scheduler, now)
        responder.respondToOverdue(scheduler, now)
        batchWriter.flush(scheduler, now)
        statusLog.logIfDue(now)
    }

    // ---- writes ----

    private fun onWriteCompleted(
        message: LeaderMessage.WriteCompleted,
        now: Duration,
    ) {
        batchWriter.writeCompleted()
        val scheduler = scheduler ?: return
        // The outcome of a former term's batch is ignored: the current state has loaded the records since then.
        if (message.scheduler === scheduler && !handleOutcome(scheduler, message.batch, message.result, now)) return
        batchWriter.flush(scheduler, clock.now())
    }

    /** Handles the outcome of a batch. Returns false if the batch failed because this controller no longer leads. */
    private fun handleOutcome(
        scheduler: SchedulerState,
        batch: WriteBatch,
        result: TransactionResult?,
        now: Duration,
    ): Boolean {
        when (result) {
            is TransactionResult.Applied -> onBatchApplied(scheduler, batch, result, now)
            is TransactionResult.PreconditionFailed -> {
                scheduler.writeAheadLog.notApplied(batch)
                if (Keys.LEADER in result.failed) {
                    leaderLease.markLost("this controller no longer holds the leader's record")
                    return false
                }
            }
            is TransactionResult.Rejected -> {
                log.error(
                    "batch rejected for its size or form, retrying with smaller batches: writes={} reason={}",
                    batch.writes.size,
                    result.reason,
                )
                scheduler.writeAheadLog.rejected(batch)
            }
            TransactionResult.LeaseExpired, null -> scheduler.writeAheadLog.notApplied(batch)
        }
        return true
    }

    private fun onBatchApplied(
        scheduler: SchedulerState,
        batch: WriteBatch,
        result: TransactionResult.Applied,
        now: Duration,
    ) {
        batchCounter.increment()
        writeCounter.increment(batch.writes.size.toDouble())
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
        maintenance?.migrate(scheduler.machines.values.filter { it.name in message.machinesToEmpty }, now)
    }

    private fun prepareTermination(message: LeaderMessage.PrepareTermination) {
        message.answer(message.machineNames.filter { markTerminatingIfAllowed(it, message.evenIfBusy) })
    }

    /**
     * Marks the machine as terminating unless it has tasks and [evenIfBusy] is false; no commands are sent to it from
     * then on. Returns whether the machine may be terminated. A machine that the leader does not know always may be.
     */
    private fun markTerminatingIfAllowed(
        name: MachineName,
        evenIfBusy: Boolean,
    ): Boolean {
        val machine = scheduler?.machines?.get(name) ?: return true
        if (!evenIfBusy && machine.assignments.isNotEmpty()) return false
        machine.isTerminating = true
        return true
    }

    private companion object {
        /** A fraction of the shortest timeout that maintenance and pending responses have. */
        val TICK_INTERVAL = 200.milliseconds
    }
}
