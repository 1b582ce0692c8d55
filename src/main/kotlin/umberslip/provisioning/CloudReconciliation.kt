package umberslip.provisioning

import org.slf4j.Logger
import umberslip.cloud.Cloud
import umberslip.cloud.InstanceType
import umberslip.cloud.ListedMachine
import umberslip.cloud.MachineStatus
import umberslip.cloud.Offer
import umberslip.core.MachineName
import umberslip.http.MalformedMessageException
import umberslip.http.RequestRejectedException
import umberslip.monitoring.FailureSeries
import umberslip.recovery.KnownMachine
import umberslip.recovery.MissingMachines
import umberslip.scheduling.ClusterSnapshot
import umberslip.scheduling.MachineSnapshot
import umberslip.settings.Settings
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Reconciles what the leader knows with the cloud's list of machines, which lags behind the cloud's own state. Machines
 * on the list that nobody has provisioned in this term count as booting; failed, missing and overdue ones are
 * terminated.
 */
internal class CloudReconciliation(
    private val settings: Settings,
    private val cloud: Cloud,
    private val missingMachines: MissingMachines?,
    private val booting: BootingMachines,
    private val termination: MachineTermination,
    private val log: Logger,
) {
    private var triedAt: Duration? = null
    private var electedAt = Duration.ZERO
    private var hasListInTerm = false
    private val unreadableLists = FailureSeries()

    /** Begins a leader's term: has the list read again at the next opportunity. */
    fun clear(now: Duration) {
        triedAt = null
        electedAt = now
        hasListInTerm = false
    }

    /**
     * Reads and reconciles the list if the last one is some seconds old. Fails as [Cloud.listMachines] does where the
     * cloud is away, or where there is no list of this term yet.
     */
    suspend fun reconcileIfDue(
        snapshot: ClusterSnapshot,
        now: Duration,
    ) {
        if (triedAt?.let { now - it <= LIST_INTERVAL } == true) return
        val listed = readList(now) ?: return
        val names = listed.mapTo(HashSet()) { it.name }
        terminateMissing(names, snapshot, now)
        // Persisted by a former leader, or provisioned long enough ago to be listed, and not there: terminated.
        booting.removeAll { it.name !in names && now - it.since > settings.listLag * MAX_LIST_LAGS }
        val known = snapshot.machines.associateBy { it.name }
        for (machine in listed) reconcile(machine, known[machine.name], now)
    }

    /** Null where the cloud is there but gives no list that can be used: what is known does for now. */
    private suspend fun readList(now: Duration): List<ListedMachine>? {
        try {
            val listed = cloud.listMachines()
            triedAt = now
            hasListInTerm = true
            unreadableLists.succeeded()
            return listed
        } catch (e: RequestRejectedException) {
            goOnWithoutList(e, now)
        } catch (e: MalformedMessageException) {
            goOnWithoutList(e, now)
        }
        return null
    }

    private fun goOnWithoutList(
        failure: Exception,
        now: Duration,
    ) {
        // The first list of a term shows what former leaders provisioned: worth a wait, but not for ever.
        if (!hasListInTerm && now - electedAt < FIRST_LIST_PATIENCE) throw failure
        triedAt = now
        if (!unreadableLists.failed(now)) return
        log.error(
            "no list of machines, going on without: reason={} failures={}",
            failure.message,
            unreadableLists.count,
        )
    }

    private fun reconcile(
        listed: ListedMachine,
        known: MachineSnapshot?,
        now: Duration,
    ) {
        val isRunning = listed.status == MachineStatus.RUNNING
        when {
            termination.isPendingOrTerminated(listed.name) -> Unit
            listed.status == MachineStatus.FAILED -> termination.enqueue(listed.name)
            known?.sinceContact != null -> Unit
            listed.name in booting -> if (isRunning) booting.markRunning(listed.name)
            else -> {
                // Provisioned by a former leader, or by a request that arrived late: used like any other.
                val offer = Offer(listed.type, listed.zone, listed.spot)
                booting.add(BootingMachine(listed.name, offer, now - listed.age, isRunning))
            }
        }
    }

    /** Machines without contact that the list would show if they existed. */
    private suspend fun terminateMissing(
        listed: Set<MachineName>,
        snapshot: ClusterSnapshot,
        listBegan: Duration,
    ) {
        val known = snapshot.machines.map { KnownMachine(it.name, it.provisionedBefore, it.sinceAnyContact) }
        val missing =
            missingMachines
                ?.find(listBegan, listed, known)
                .orEmpty()
                .filter { !termination.isPendingOrTerminated(it) }
        if (missing.isEmpty()) return
        log.warn(
            "machines without contact missing from the cloud's list: count={} machines={}",
            missing.size,
            missing.joinToString { it.value },
        )
        termination.request(missing, evenIfBusy = true)
    }

    /** Terminates machines that should have booted long ago; [leadingFor] is the age of this leader's term. */
    fun terminateOverdue(
        snapshot: ClusterSnapshot,
        instanceTypes: Map<String, InstanceType>,
        leadingFor: Duration,
        now: Duration,
    ) {
        // A machine that was up before this leader may be out of reach for a while with work on it.
        if (leadingFor < settings.workers.lease * 2) return
        val zonesInContact =
            snapshot.machines
                .filter { machine -> machine.sinceContact?.let { it < settings.workers.lease } ?: false }
                .mapTo(HashSet()) { it.offer.zone }
        for (machine in booting.all()) {
            // A zone without contact is partitioned off; its machines come back with it.
            val isPartitioned = machine.isRunning && machine.offer.zone !in zonesInContact
            if (isPartitioned && leadingFor < UnresponsiveMachines.PARTITION_TIMEOUT) continue
            if (!isOverdue(machine, instanceTypes, now)) continue
            log.warn("machine did not boot, terminating it: machine={} age={}", machine.name.value, now - machine.since)
            booting.remove(machine.name)
            termination.enqueue(machine.name)
        }
    }

    private fun isOverdue(
        machine: BootingMachine,
        instanceTypes: Map<String, InstanceType>,
        now: Duration,
    ): Boolean {
        val bootTime = instanceTypes[machine.offer.type]?.boot ?: return false
        return now - machine.since > maxOf(bootTime * MAX_BOOT_FACTOR, bootTime + MIN_BOOT_ALLOWANCE)
    }

    private companion object {
        val LIST_INTERVAL = 5.seconds

        /** How long a new leader waits for a list that can be used. */
        val FIRST_LIST_PATIENCE = 15.seconds

        /** The list lags by twice the nominal time at most; one more is for the way to the cloud and back. */
        const val MAX_LIST_LAGS = 3

        /** A machine that boots for this many times the usual time will not come up. */
        const val MAX_BOOT_FACTOR = 3

        /** Types that boot fast get at least so much more than the usual time. */
        val MIN_BOOT_ALLOWANCE = 40.seconds
    }
}
