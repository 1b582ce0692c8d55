package umberslip.provisioning

import umberslip.cloud.InstanceType
import umberslip.cloud.Offer
import umberslip.core.MachineName
import umberslip.core.Resources
import umberslip.scheduling.ClusterSnapshot
import umberslip.scheduling.MachineSnapshot
import kotlin.time.Duration.Companion.seconds

/**
 * The capacity of one machine in a plan: one that is up, boots, or would be provisioned ([machineName] is null then).
 * [freeCpus] shrinks while the plan puts work on it.
 */
internal class Supply(
    val offer: Offer,
    val resources: Resources,
    val pricePerCpu: Double,
    val machineName: MachineName?,
    val isUp: Boolean,
    var freeCpus: Double,
    var isUsed: Boolean = false,
    /** What tasks that never end by themselves leave of [resources]. */
    private val leftByEndless: Resources = resources,
) {
    /** Whether pending work was planned for it. */
    var hasPendingWork = false
        private set

    /** Whether a task can ever be placed on the machine, once other tasks have ended. */
    fun canHold(task: Resources): Boolean = leftByEndless.covers(task)

    /** How many tasks the machine can hold at the same time, once other tasks have ended. */
    fun places(task: Resources): Int = if (canHold(task)) leftByEndless.countOf(task) else 0

    /** Plans pending work that blocks [cpus] for this machine. */
    fun take(cpus: Double) {
        freeCpus -= cpus
        isUsed = true
        hasPendingWork = true
    }
}

/** What the cloud's instance types cost for each processor and hour; an unknown type counts as the most expensive. */
internal class Prices(
    private val instanceTypes: Map<String, InstanceType>,
) {
    /** The price of a processor for an hour. */
    fun perCpu(offer: Offer): Double {
        val instanceType = instanceTypes[offer.type] ?: return Double.MAX_VALUE
        val price = if (offer.spot) instanceType.spotPrice else instanceType.price
        return price / instanceType.cpus.coerceAtLeast(DemandModel.MIN_CPUS)
    }
}

/** The machines that are up or boot at the time of a plan, as supply for pending work. */
internal class ExistingSupply(
    private val demand: DemandModel,
    private val instanceTypes: Map<String, InstanceType>,
    private val prices: Prices,
) {
    /** In the order of the snapshot, booting machines after those that are up. */
    val machines = ArrayList<Supply>()

    /** Processors that the tasks on a machine keep busy over the drain time. */
    val busyCpus = HashMap<MachineName, Double>()

    /** Adds the machines that can take work. */
    fun add(
        snapshot: ClusterSnapshot,
        booting: List<BootingMachine>,
        expected: List<ProvisioningRequest>,
    ) {
        snapshot.machines.forEach(::addMachine)
        booting.forEach { addBooting(it.offer, it.name) }
        for (request in expected) repeat(request.number) { addBooting(request.offer, machineName = null) }
    }

    private fun addMachine(machine: MachineSnapshot) {
        val resources = machine.capacity ?: return
        if (machine.isQuarantined || machine.timeUntilInterruption != null) return
        if (machine.sinceContact == null || machine.sinceContact > UNRESPONSIVE_AFTER) return
        busyCpus[machine.name] = blockedCpus(machine, resources, demand.drainSeconds)
        val blocked = blockedCpus(machine, resources, demand.drainSecondsWhenUp)
        machines +=
            Supply(
                machine.offer,
                resources,
                prices.perCpu(machine.offer),
                machine.name,
                isUp = true,
                freeCpus = (resources.cpus - blocked).coerceAtLeast(0.0),
                isUsed = blocked > 0,
                leftByEndless = leftByEndless(machine, resources),
            )
    }

    private fun leftByEndless(
        machine: MachineSnapshot,
        resources: Resources,
    ): Resources {
        val endless = machine.assignedTasks.filter { it.isEndless }
        return endless.fold(resources) { left, task -> left - task.resources }
    }

    private fun blockedCpus(
        machine: MachineSnapshot,
        resources: Resources,
        horizonSeconds: Double,
    ): Double = machine.assignedTasks.sumOf { demand.blockedCpus(it.resources, it.seconds, resources, horizonSeconds) }

    private fun addBooting(
        offer: Offer,
        machineName: MachineName?,
    ) {
        val instanceType = instanceTypes[offer.type] ?: return
        machines +=
            Supply(
                offer,
                instanceType.resources,
                prices.perCpu(offer),
                machineName,
                isUp = false,
                freeCpus = instanceType.cpus,
            )
    }

    private companion object {
        /** Without contact for longer than this, several heartbeats, a machine is not planned with. */
        val UNRESPONSIVE_AFTER = 6.seconds
    }
}
