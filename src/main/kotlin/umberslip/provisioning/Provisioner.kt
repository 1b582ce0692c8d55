package umberslip.provisioning

import io.micrometer.core.instrument.MeterRegistry
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.delay
import org.slf4j.LoggerFactory
import umberslip.actor.launchLoop
import umberslip.cloud.Cloud
import umberslip.cloud.InstanceType
import umberslip.core.Clock
import umberslip.http.MalformedMessageException
import umberslip.http.ServiceException
import umberslip.leadership.LeaderLease
import umberslip.monitoring.FailureSeries
import umberslip.recovery.MissingMachines
import umberslip.scheduling.ClusterSnapshot
import umberslip.scheduling.Leader
import umberslip.scheduling.LeaderMessage
import umberslip.settings.Settings
import umberslip.settings.Timings
import umberslip.settings.Tuning
import umberslip.store.KeyValueStore
import java.time.Instant
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Provisions and terminates machines while this controller leads. It runs in a loop of its own beside the leader actor,
 * since the cloud is slow and nobody should wait for it; both run on the thread of [scope] and speak by messages.
 * [onInstanceTypes] is called with what the cloud offers whenever that was read.
 */
class Provisioner(
    private val scope: CoroutineScope,
    settings: Settings,
    tuning: Tuning,
    timings: Timings,
    private val cloud: Cloud,
    store: KeyValueStore,
    private val leaderLease: LeaderLease,
    private val leader: Leader,
    private val clock: Clock,
    wallClock: () -> Instant,
    meterRegistry: MeterRegistry,
    private val onInstanceTypes: (List<InstanceType>) -> Unit,
) {
    private val log = LoggerFactory.getLogger("umberslip.provisioning")
    private val planner = CapacityPlanner(tuning)
    private val booting = BootingMachines(settings, store, leaderLease, clock, wallClock, log)
    private val metrics = ProvisioningMetrics(clock, meterRegistry)
    private val requests = ProvisioningRequests(settings, cloud, leaderLease, booting, clock, metrics, log)
    private val unprovisionedWork = UnprovisionedWork(log)
    private val termination = MachineTermination(cloud, leader, log)
    private val idleMachines = IdleMachines(tuning)
    private val unresponsiveMachines = UnresponsiveMachines(settings.workers)
    private val reconciliation =
        CloudReconciliation(
            settings,
            cloud,
            if (tuning.recovery.returnMissing) MissingMachines(settings, timings) else null,
            booting,
            termination,
            log,
        )
    private var instanceTypes: Map<String, InstanceType> = emptyMap()
    private var instanceTypesReadAt: Duration? = null
    private val failures = FailureSeries()
    private val unreadable = FailureSeries()
    private var oldestUnstartedSince: Duration? = null
    private var summaryAt = Duration.ZERO
    private var electedAt = Duration.ZERO
    private var workersInContactAt = Duration.ZERO

    /** How long this round's snapshot and plan took. */
    private var planningTime = Duration.ZERO

    /**
     * Workers send heartbeats to a new leader within this time; until then a machine without contact is neither missing
     * nor surplus.
     */
    private val firstContactTime = settings.workers.heartbeatInterval * 2 + 2.seconds

    /** Runs rounds until [scope] ends; a round in which this controller does not lead does nothing. */
    fun start(): Job {
        metrics.register(
            unresolved = { if (leaderLease.isLeader) requests.unresolved else 0 },
            unresolvedSince = { requests.unresolvedSince.takeIf { leaderLease.isLeader } },
            unprovisionedSince = { unprovisionedWork.since.takeIf { leaderLease.isLeader } },
            oldestUnstartedSince = { oldestUnstartedSince.takeIf { leaderLease.isLeader } },
        )
        return scope.launchLoop("provisioner", log) {
            val began = clock.now()
            planningTime = Duration.ZERO
            tryRound()
            // A plan looks at every machine and task: in a large cluster it is made less often, so that
            // heartbeats and users have their turn.
            delay(maxOf(MIN_ROUND, planningTime * PLANNING_SHARE - (clock.now() - began)))
        }
    }

    private suspend fun tryRound() {
        try {
            if (!runRound()) return
            val failed = failures.reset() + unreadable.reset()
            if (failed > 0) log.info("cloud available again: failures={}", failed)
        } catch (e: ServiceException) {
            backOff(e.message)
        } catch (e: MalformedMessageException) {
            if (unreadable.countFailure(clock.now())) {
                log.error("cloud response unreadable: reason={} failures={}", e.message, unreadable.count)
            }
            stillUnprovisioned(UnprovisionedReason.CLOUD_UNAVAILABLE)
            delay(FAILURE_DELAY)
        }
    }

    private suspend fun backOff(reason: String?) {
        val now = clock.now()
        if (failures.countFailure(now)) {
            log.warn("cloud unavailable: reason={} failures={} for={}", reason, failures.count, failures.duration(now))
        }
        stillUnprovisioned(UnprovisionedReason.CLOUD_UNAVAILABLE)
        delay(FAILURE_DELAY)
    }

    private fun stillUnprovisioned(reason: UnprovisionedReason) {
        if (leaderLease.isLeader) unprovisionedWork.failed(reason, clock.now())
    }

    /**
     * Begins a leader's term from the record of booting machines that its predecessor persisted; the rest shows in the
     * cloud's list and in heartbeats. [isFirstTerm] if there has never been a leader before. Called on the loop's
     * thread.
     */
    fun elected(
        bootingMachines: Any?,
        isFirstTerm: Boolean,
    ) {
        electedAt = clock.now()
        // The first leader of all has no workers to wait for.
        workersInContactAt = if (isFirstTerm) electedAt else electedAt + firstContactTime
        requests.clear()
        unprovisionedWork.clear()
        oldestUnstartedSince = null
        termination.clear()
        idleMachines.clear()
        reconciliation.clear(electedAt)
        booting.restore(bootingMachines)
    }

    /** False where the round ended before its plan, without a failure. */
    private suspend fun runRound(): Boolean {
        val term = leaderLease.term
        if (term == null || !leaderLease.mayStart(clock.now())) {
            stillUnprovisioned(UnprovisionedReason.NO_LEADER_LEASE)
            refreshInstanceTypes()
            return false
        }
        val snapshot = takeSnapshot() ?: return false
        oldestUnstartedSince = snapshot.oldestUnstartedSince
        booting.removeInContact(snapshot.machines)
        unprovisionedWork.snapshotTaken(snapshot.waiting.isNotEmpty(), clock.now())
        refreshInstanceTypes()
        val now = clock.now()
        reconciliation.reconcileIfDue(snapshot, now)
        if (now < workersInContactAt || leaderLease.term != term) return false
        reconciliation.terminateOverdue(snapshot, instanceTypes, now - electedAt, now)
        booting.persistIfChanged(now)
        // Another term may have begun while the cloud or the key-value store was slow: the snapshot is not its own.
        if (leaderLease.term != term) return false
        val plan = plan(snapshot, now)
        val provisionedBefore = requests.machinesProvisioned
        logSummaryIfDue(snapshot, now)
        val scaleInFailure = scaleIn(snapshot, plan, now)
        requests.resolve()
        requests.send(plan.requests, term.value)
        val hasProvisioned = requests.machinesProvisioned > provisionedBefore
        unprovisionedWork.planned(plan, hasProvisioned, requests.hasRejected(clock.now()), clock.now())
        if (scaleInFailure != null) throw scaleInFailure
        return true
    }

    private suspend fun refreshInstanceTypes() {
        if (instanceTypesReadAt?.let { clock.now() - it <= INSTANCE_TYPES_INTERVAL } == true) return
        try {
            val offered = cloud.instanceTypes()
            if (offered.isEmpty()) throw MalformedMessageException("no instance type")
            instanceTypes = offered.associateBy { it.label }
            instanceTypesReadAt = clock.now()
            onInstanceTypes(offered)
        } catch (e: ServiceException) {
            keepFormerInstanceTypes(e)
        } catch (e: MalformedMessageException) {
            keepFormerInstanceTypes(e)
        }
    }

    private fun keepFormerInstanceTypes(failure: Exception) {
        if (instanceTypes.isEmpty()) throw failure
        log.warn("instance types not read, using the former ones: reason={}", failure.message)
        instanceTypesReadAt = clock.now() - INSTANCE_TYPES_INTERVAL + INSTANCE_TYPES_RETRY
    }

    /** Null where the leader actor no longer leads. */
    private suspend fun takeSnapshot(): ClusterSnapshot? {
        val taken = CompletableDeferred<ClusterSnapshot?>()
        val request =
            LeaderMessage.TakeSnapshot { snapshot, duration ->
                planningTime += duration
                taken.complete(snapshot)
            }
        if (!leader.enqueue(request)) return null
        return taken.await()
    }

    private fun plan(
        snapshot: ClusterSnapshot,
        now: Duration,
    ): CapacityPlan {
        val began = clock.now()
        val expected = requests.expected(now)
        val plan =
            planner.plan(snapshot, booting.all(), instanceTypes, expected) { requests.isBackedOff(it, now) }
        planningTime += clock.now() - began
        return plan
    }

    private fun logSummaryIfDue(
        snapshot: ClusterSnapshot,
        now: Duration,
    ) {
        if (now < summaryAt + SUMMARY_INTERVAL) return
        summaryAt = now
        logCapacity(log, snapshot, booting.cpus(instanceTypes))
    }

    /** Returns why machines were not terminated, if the cloud failed: provisioning does not depend on that. */
    private suspend fun scaleIn(
        snapshot: ClusterSnapshot,
        plan: CapacityPlan,
        now: Duration,
    ): ServiceException? {
        val machines = snapshot.machines
        idleMachines.update(plan.surplus, now)
        leader.enqueue(idleMachines.drain(machines, now))
        termination.request(idleMachines.terminable(machines, now), evenIfBusy = false)
        termination.request(unresponsiveMachines.of(machines), evenIfBusy = true)
        return try {
            termination.terminatePending(now)
            null
        } catch (e: ServiceException) {
            e
        }
    }

    private companion object {
        val MIN_ROUND = 700.milliseconds

        /** Planning takes at most one part in so many of the time. */
        const val PLANNING_SHARE = 30

        /** How long to leave the cloud alone after a failure. */
        val FAILURE_DELAY = 1.seconds

        /** Types and prices change seldom. */
        val INSTANCE_TYPES_INTERVAL = 60.seconds

        /** After a read of them that failed. */
        val INSTANCE_TYPES_RETRY = 10.seconds
        val SUMMARY_INTERVAL = 10.seconds
    }
}
