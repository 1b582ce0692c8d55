package umberslip.provisioning

import umberslip.cloud.InstanceType
import umberslip.cloud.Offer
import umberslip.core.MachineName
import umberslip.core.Resources
import umberslip.scheduling.ClusterSnapshot
import umberslip.scheduling.MachineSnapshot
import kotlin.time.Duration.Companion.seconds

/**
 * The capacity of one machine in a plan. The machine is up, is booting, or would be provisioned; [machineName] is null
 * as long as the cloud has not named the machine. [freeCpus] decreases while the plan assigns work to the machine.
 */
internal class Supply(
    val offer: Offer,
    val resources: Resources,
    val pricePerCpu: Double,
    val machineName: MachineName?,
    val isUp: Boolean,
    var freeCpus: Double,
    var isUsed: Boolean = false,
    /** The part of [resources] that is not held by tasks that never end by themselves. */
    private val resourcesBesideEndless: Resources = resources,
) {
    /** Whether the plan has assigned pending work to the machine. */
    var hasPendingWork = false
        private set

    /** Returns whether a task can ever be placed on the machine, once other tasks have ended. */
    fun canHold(task: Resources): Boolean = resourcesBesideEndless.covers(task)

    /** Returns how many tasks the machine can hold at the same time, once other tasks have ended. */
    fun placesFor(task: Resources): Int = if (canHold(task)) resourcesBesideEndless.countOf(task) else 0

    /** Assigns pending work that blocks [cpus] to this machine. */
    fun planWork(cpus: Double) {
        freeCpus -= cpus
        isUsed = true
        hasPendingWork = true
    }
}

/**
 * The prices of the cloud's instance types per processor and hour. An unknown type counts as the most expensive one.
 */
internal class Prices(
    private val instanceTypes: Map<String, InstanceType>,
) {
    /** Returns the price of one processor for an hour. */
    fun perCpu(offer: Offer): Double {
        val instanceType = instanceTypes[offer.type] ?: return Double.MAX_VALUE
        val price = if (offer.spot) instanceType.spotPrice else instanceType.price
        return price / instanceType.cpus.coerceAtLeast(DemandModel.MIN_CPUS)
    }
}

/** The machines that are up or booting at the time of a plan, as supply for pending work. */
internal class ExistingSupply(
    private val demand: DemandModel,
    private val instanceTypes: Map<String, InstanceType>,
    private val prices: Prices,
) {
    /** The machines in the order of the snapshot, followed by the booting machines. */
    val machines = ArrayList<Supply>()

    /** The processors that the tasks on each machine keep busy over the drain time. */
    val busyCpus = HashMap<MachineName, Double>()

    /** Adds the machines that can take work. */
    fun add(
        snapshot: ClusterSnapshot,
        booting: List<BootingMachine>,
        expectedMachines: List<ProvisioningRequest>,
    ) {
        snapshot.machines.forEach(::addMachine)
        booting.forEach { addBooting(it.offer, it.name) }
        for (request in expectedMachines) repeat(request.number) { addBooting(request.offer, machineName = null) }
    }

    private fun addMachine(machine: MachineSnapshot) {
        val resources = machine.capacity ?: return
        if (machine.isQuarantined || machine.timeUntilInterruption != null) return
        if (machine.sinceContact == null || machine.sinceContact > MAX_CONTACT_AGE) return
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
                resourcesBesideEndless = resourcesBesideEndless(machine, resources),
            )
    }

    private fun resourcesBesideEndless(
        machine: MachineSnapshot,
        resources: Resources,
    ): Resources {
        val endlessTasks = machine.assignedTasks.filter { it.isEndless }
        return endlessTasks.fold(resources) { left, task -> left - task.resources }
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
        /** A machine without contact for longer than this, which is several heartbeats, is left out of plans. */
        val MAX_CONTACT_AGE = 6.seconds
    }
}
