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
 * Reconciles the machines that the leader knows with the cloud's list of machines, which lags behind the cloud's actual
 * state. Listed machines that were not provisioned in this term count as booting. Failed, missing and overdue machines
 * are terminated.
 */
internal class CloudReconciliation(
    private val settings: Settings,
    private val cloud: Cloud,
    private val missingMachines: MissingMachines?,
    private val booting: BootingMachines,
    private val termination: MachineTermination,
    private val log: Logger,
) {
    private var lastAttemptAt: Duration? = null
    private var electedAt = Duration.ZERO
    private var hasListInTerm = false
    private val unreadableLists = FailureSeries()

    /** Resets the state for a new leader's term, so that the list is read again at the next opportunity. */
    fun clear(now: Duration) {
        lastAttemptAt = null
        electedAt = now
        hasListInTerm = false
    }

    /**
     * Reads and reconciles the list if the last attempt is more than [LIST_INTERVAL] ago. Throws the exceptions of
     * [Cloud.listMachines] if the cloud is unavailable, and those for an unusable list during the first
     * [FIRST_LIST_TIMEOUT] of a term if no list has been read in the term yet.
     */
    suspend fun reconcileIfDue(
        snapshot: ClusterSnapshot,
        now: Duration,
    ) {
        if (lastAttemptAt?.let { now - it <= LIST_INTERVAL } == true) return
        val listed = readList(now) ?: return
        val names = listed.mapTo(HashSet()) { it.name }
        terminateMissing(names, snapshot, now)
        // A machine that is not listed, although it was requested long enough ago, has been terminated. It may come
        // from the record of a former leader.
        booting.removeAll { it.name !in names && now - it.requestedAt > settings.listLag * MAX_LAGS_UNTIL_LISTED }
        val knownMachines = snapshot.machines.associateBy { it.name }
        for (machine in listed) reconcile(machine, knownMachines[machine.name], now)
    }

    /**
     * Returns null if the cloud responds without a usable list; until the next attempt, the known machines are used.
     */
    private suspend fun readList(now: Duration): List<ListedMachine>? {
        try {
            val listed = cloud.listMachines()
            lastAttemptAt = now
            hasListInTerm = true
            unreadableLists.reset()
            return listed
        } catch (e: RequestRejectedException) {
            handleUnusableList(e, now)
        } catch (e: MalformedMessageException) {
            handleUnusableList(e, now)
        }
        return null
    }

    private fun handleUnusableList(
        failure: Exception,
        now: Duration,
    ) {
        // The first list of a term shows the machines that former leaders provisioned, so it is worth waiting for, but
        // only for a limited time.
        if (!hasListInTerm && now - electedAt < FIRST_LIST_TIMEOUT) throw failure
        lastAttemptAt = now
        if (!unreadableLists.countFailure(now)) return
        log.error(
            "list of machines is unusable, continuing without it: reason={} failures={}",
            failure.message,
            unreadableLists.count,
        )
    }

    private fun reconcile(
        listed: ListedMachine,
        snapshot: MachineSnapshot?,
        now: Duration,
    ) {
        val isRunning = listed.status == MachineStatus.RUNNING
        when {
            termination.isPendingOrTerminated(listed.name) -> Unit
            listed.status == MachineStatus.FAILED -> termination.enqueue(listed.name)
            snapshot?.sinceContact != null -> Unit
            listed.name in booting -> if (isRunning) booting.markRunning(listed.name)
            else -> {
                // The machine was provisioned by a former leader, or by a request that reached the cloud late. It is
                // used like any other machine.
                val offer = Offer(listed.type, listed.zone, listed.spot)
                booting.add(BootingMachine(listed.name, offer, now - listed.age, isRunning))
            }
        }
    }

    /** Terminates machines without contact that the list would show if they existed. */
    private suspend fun terminateMissing(
        listed: Set<MachineName>,
        snapshot: ClusterSnapshot,
        listRequestedAt: Duration,
    ) {
        val knownMachines = snapshot.machines.map { KnownMachine(it.name, it.provisionedBefore, it.sinceAnyContact) }
        val missing =
            missingMachines
                ?.find(listRequestedAt, listed, knownMachines)
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

    /**
     * Terminates machines that should have booted long ago. [leadingFor] is the time since this leader's term began.
     */
    fun terminateOverdue(
        snapshot: ClusterSnapshot,
        instanceTypes: Map<String, InstanceType>,
        leadingFor: Duration,
        now: Duration,
    ) {
        // A machine that was up before this term may have no contact for a while and still run tasks.
        if (leadingFor < settings.workers.lease * 2) return
        val zonesInContact =
            snapshot.machines
                .filter { machine -> machine.sinceContact?.let { it < settings.workers.lease } ?: false }
                .mapTo(HashSet()) { it.offer.zone }
        for (machine in booting.all()) {
            // A zone in which no machine has contact counts as partitioned; its machines return when the partition
            // heals.
            val isPartitioned = machine.isRunning && machine.offer.zone !in zonesInContact
            if (isPartitioned && leadingFor < UnresponsiveMachines.PARTITION_TIMEOUT) continue
            if (!isOverdue(machine, instanceTypes, now)) continue
            log.warn(
                "machine did not boot, terminating it: machine={} age={}",
                machine.name.value,
                now - machine.requestedAt,
            )
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
        return now - machine.requestedAt > maxOf(bootTime * MAX_BOOT_FACTOR, bootTime + MIN_BOOT_ALLOWANCE)
    }

    private companion object {
        val LIST_INTERVAL = 5.seconds

        /** How long a new leader waits for a usable list. */
        val FIRST_LIST_TIMEOUT = 15.seconds

        /**
         * The cloud lists a machine within this many nominal lags after its request. The list lags by at most twice the
         * nominal lag; the third lag allows for the round trip to the cloud.
         */
        const val MAX_LAGS_UNTIL_LISTED = 3

        /** A machine that has been booting for this many times the usual boot time will not come up. */
        const val MAX_BOOT_FACTOR = 3

        /** Instance types that boot fast are allowed at least this much more than their usual boot time. */
        val MIN_BOOT_ALLOWANCE = 40.seconds
    }
}
