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
 * so that nothing else has to wait for the slow cloud. Both run on the thread of [scope] and communicate by messages.
 * [onInstanceTypes] is called with the cloud's instance types each time they have been read.
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
    private val unreadableResponses = FailureSeries()
    private var oldestUnstartedSince: Duration? = null
    private var lastSummaryAt = Duration.ZERO
    private var electedAt = Duration.ZERO
    private var firstContactDeadline = Duration.ZERO

    /** How long it took to compute the snapshot and the plan of this round. */
    private var planningTime = Duration.ZERO

    /**
     * Workers send heartbeats to a new leader within this time. Until it has passed, a machine without contact is
     * neither missing nor surplus.
     */
    private val firstContactTime = settings.workers.heartbeatInterval * 2 + 2.seconds

    /** Runs rounds until [scope] ends. While this controller does not lead, rounds provision and terminate nothing. */
    fun start(): Job {
        metrics.register(
            unresolvedCount = { if (leaderLease.isLeader) requests.unresolvedCount else 0 },
            unresolvedSince = { requests.unresolvedSince.takeIf { leaderLease.isLeader } },
            unprovisionedSince = { unprovisionedWork.since.takeIf { leaderLease.isLeader } },
            oldestUnstartedSince = { oldestUnstartedSince.takeIf { leaderLease.isLeader } },
        )
        return scope.launchLoop("provisioner", log) {
            val began = clock.now()
            planningTime = Duration.ZERO
            tryRound()
            // A plan examines every machine and task. In a large cluster, plans are made less often, so that they do
            // not delay heartbeats and users' requests.
            delay(maxOf(MIN_ROUND, planningTime * MIN_ROUND_PER_PLANNING - (clock.now() - began)))
        }
    }

    private suspend fun tryRound() {
        try {
            if (!runRound()) return
            val failureCount = failures.reset() + unreadableResponses.reset()
            if (failureCount > 0) log.info("cloud available again: failures={}", failureCount)
        } catch (e: ServiceException) {
            backOff(e.message)
        } catch (e: MalformedMessageException) {
            if (unreadableResponses.countFailure(clock.now())) {
                log.error("cloud response unreadable: reason={} failures={}", e.message, unreadableResponses.count)
            }
            reportUnprovisioned(UnprovisionedReason.CLOUD_UNAVAILABLE)
            delay(FAILURE_DELAY)
        }
    }

    private suspend fun backOff(reason: String?) {
        val now = clock.now()
        if (failures.countFailure(now)) {
            log.warn("cloud unavailable: reason={} failures={} for={}", reason, failures.count, failures.duration(now))
        }
        reportUnprovisioned(UnprovisionedReason.CLOUD_UNAVAILABLE)
        delay(FAILURE_DELAY)
    }

    private fun reportUnprovisioned(reason: UnprovisionedReason) {
        if (leaderLease.isLeader) unprovisionedWork.onFailure(reason, clock.now())
    }

    /**
     * Starts a leader's term with the record of booting machines that the former leader persisted. Other machines
     * become known from the cloud's list and from heartbeats. [isFirstTerm] says whether there has never been a leader
     * before. Must be called on the thread of the loop.
     */
    fun elected(
        bootingMachines: Any?,
        isFirstTerm: Boolean,
    ) {
        electedAt = clock.now()
        // In the very first term, there are no workers to wait for.
        firstContactDeadline = if (isFirstTerm) electedAt else electedAt + firstContactTime
        requests.clear()
        unprovisionedWork.clear()
        oldestUnstartedSince = null
        termination.clear()
        idleMachines.clear()
        reconciliation.clear(electedAt)
        booting.restore(bootingMachines)
    }

    /** Returns false if the round ended before its plan was made, without a failure. */
    private suspend fun runRound(): Boolean {
        val term = leaderLease.term
        if (term == null || !leaderLease.mayStart(clock.now())) {
            reportUnprovisioned(UnprovisionedReason.NO_LEADER_LEASE)
            refreshInstanceTypes()
            return false
        }
        val snapshot = takeSnapshot() ?: return false
        oldestUnstartedSince = snapshot.oldestUnstartedSince
        booting.removeInContact(snapshot.machines)
        unprovisionedWork.onSnapshot(snapshot.waiting.isNotEmpty(), clock.now())
        refreshInstanceTypes()
        val now = clock.now()
        reconciliation.reconcileIfDue(snapshot, now)
        if (now < firstContactDeadline || leaderLease.term != term) return false
        reconciliation.terminateOverdue(snapshot, instanceTypes, now - electedAt, now)
        booting.persistIfChanged(now)
        // A new term, to which the snapshot does not belong, may have begun while the cloud or the key-value store was
        // slow.
        if (leaderLease.term != term) return false
        val plan = plan(snapshot, now)
        val machinesProvisionedBefore = requests.machinesProvisioned
        logSummaryIfDue(snapshot, now)
        val scaleInFailure = scaleIn(snapshot, plan, now)
        requests.resendUnresolved()
        requests.send(plan.requests, term.value)
        val hasProvisioned = requests.machinesProvisioned > machinesProvisionedBefore
        unprovisionedWork.onPlan(plan, hasProvisioned, requests.hasRejectedOffer(clock.now()), clock.now())
        if (scaleInFailure != null) throw scaleInFailure
        return true
    }

    private suspend fun refreshInstanceTypes() {
        if (instanceTypesReadAt?.let { clock.now() - it <= INSTANCE_TYPES_INTERVAL } == true) return
        try {
            val offered = cloud.instanceTypes()
            if (offered.isEmpty()) throw MalformedMessageException("the cloud listed no instance types")
            instanceTypes = offered.associateBy { it.label }
            instanceTypesReadAt = clock.now()
            onInstanceTypes(offered)
        } catch (e: ServiceException) {
            keepPreviousInstanceTypes(e)
        } catch (e: MalformedMessageException) {
            keepPreviousInstanceTypes(e)
        }
    }

    private fun keepPreviousInstanceTypes(failure: Exception) {
        if (instanceTypes.isEmpty()) throw failure
        log.warn("instance types could not be read, using the previous ones: reason={}", failure.message)
        instanceTypesReadAt = clock.now() - INSTANCE_TYPES_INTERVAL + INSTANCE_TYPES_RETRY_DELAY
    }

    /** Returns null if the leader actor no longer leads. */
    private suspend fun takeSnapshot(): ClusterSnapshot? {
        val answer = CompletableDeferred<ClusterSnapshot?>()
        val request =
            LeaderMessage.TakeSnapshot { snapshot, duration ->
                planningTime += duration
                answer.complete(snapshot)
            }
        if (!leader.enqueue(request)) return null
        return answer.await()
    }

    private fun plan(
        snapshot: ClusterSnapshot,
        now: Duration,
    ): CapacityPlan {
        val began = clock.now()
        val expectedMachines = requests.expectedMachines(now)
        val plan =
            planner.plan(snapshot, booting.all(), instanceTypes, expectedMachines) { requests.isBackedOff(it, now) }
        planningTime += clock.now() - began
        return plan
    }

    private fun logSummaryIfDue(
        snapshot: ClusterSnapshot,
        now: Duration,
    ) {
        if (now < lastSummaryAt + SUMMARY_INTERVAL) return
        lastSummaryAt = now
        logCapacity(log, snapshot, booting.cpus(instanceTypes))
    }

    /**
     * Has the leader drain machines, and terminates machines that are unresponsive or no longer needed. If the
     * termination failed at the cloud, returns the exception instead of throwing it, because provisioning does not
     * depend on the termination.
     */
    private suspend fun scaleIn(
        snapshot: ClusterSnapshot,
        plan: CapacityPlan,
        now: Duration,
    ): ServiceException? {
        val machines = snapshot.machines
        idleMachines.update(plan.surplus, now)
        leader.enqueue(idleMachines.drainMessage(machines, now))
        termination.request(idleMachines.findTerminable(machines, now), evenIfBusy = false)
        termination.request(unresponsiveMachines.find(machines), evenIfBusy = true)
        return try {
            termination.terminatePending(now)
            null
        } catch (e: ServiceException) {
            e
        }
    }

    private companion object {
        val MIN_ROUND = 700.milliseconds

        /**
         * A round lasts at least this many times as long as its planning, so that planning takes at most
         * 1/[MIN_ROUND_PER_PLANNING] of the time.
         */
        const val MIN_ROUND_PER_PLANNING = 30

        /** How long to wait after a failure before the cloud is called again. */
        val FAILURE_DELAY = 1.seconds

        /** Instance types and prices change seldom. */
        val INSTANCE_TYPES_INTERVAL = 60.seconds

        /** How long to wait after the instance types could not be read. */
        val INSTANCE_TYPES_RETRY_DELAY = 10.seconds
        val SUMMARY_INTERVAL = 10.seconds
    }
}
