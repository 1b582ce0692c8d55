package umberslip.provisioning

import umberslip.cloud.InstanceType
import umberslip.cloud.Offer
import umberslip.scheduling.ClusterSnapshot
import umberslip.scheduling.PendingWork
import umberslip.scheduling.PlacementConstraint
import umberslip.settings.Tuning
import kotlin.math.ceil

/**
 * Plans how many machines of which kind there should be: enough to get the known work done within the drain time,
 * filled from the cheapest capacity up, whether that exists already or only could be provisioned. Pure.
 */
class CapacityPlanner(
    tuning: Tuning,
) {
    private val demand = DemandModel(tuning)
    private val surplus = Surplus(demand)

    /**
     * [expected] are machines that may have been provisioned without an answer; they count as booting. [isBackedOff]
     * says which offers are not to be requested at present.
     */
    fun plan(
        snapshot: ClusterSnapshot,
        booting: List<BootingMachine>,
        instanceTypes: Map<String, InstanceType>,
        expected: List<ProvisioningRequest>,
        isBackedOff: (Offer) -> Boolean,
    ): CapacityPlan = Planning(snapshot, booting, instanceTypes, expected, isBackedOff).plan()

    /** One plan in the making: the capacity that there is or could be, and how much of it is still free. */
    private inner class Planning(
        private val snapshot: ClusterSnapshot,
        booting: List<BootingMachine>,
        private val instanceTypes: Map<String, InstanceType>,
        expected: List<ProvisioningRequest>,
        isBackedOff: (Offer) -> Boolean,
    ) {
        private val prices = Prices(instanceTypes)
        private val existing =
            ExistingSupply(demand, instanceTypes, prices).also { it.add(snapshot, booting, expected) }
        private val supply = ArrayList(existing.machines)
        private val requests = LinkedHashMap<Offer, Int>()
        private var unprovisioned: UnprovisionedReason? = null
        private val allOffers = instanceTypes.values.flatMap(::offersOf)

        /** What the cloud provisions at present, the cheapest first. */
        private val offers = allOffers.filter { !isBackedOff(it) }.sortedBy(prices::perCpu)

        private fun offersOf(instanceType: InstanceType): List<Offer> =
            instanceType.zones.flatMap { zone ->
                listOf(true, false).map { spot -> Offer(instanceType.label, zone, spot) }
            }

        fun plan(): CapacityPlan {
            // The most constrained work chooses first.
            val groups =
                snapshot.waiting
                    .groupBy { it.where }
                    .entries
                    .sortedBy { (constraint, _) -> offers.count(constraint::allows) }
            for ((constraint, work) in groups) provide(constraint, work)
            return CapacityPlan(
                requests.map { (offer, number) -> ProvisioningRequest(offer, number) },
                surplus.of(supply, existing.busyCpus, snapshot.waiting),
                unprovisioned,
            )
        }

        /** Finds capacity for the work that may go to the same machines. */
        private fun provide(
            constraint: PlacementConstraint,
            work: List<PendingWork>,
        ) {
            val allowed = offers.filter(constraint::allows)
            val cheapest = allowed.minOfOrNull(prices::perCpu) ?: Double.MAX_VALUE
            val expensiveAbove = cheapest * EXPENSIVE
            val (expensiveSupply, cheapSupply) = usable(constraint).partition { it.pricePerCpu > expensiveAbove }
            var open = fill(work.map { OpenDemand(it, it.tasks.toDouble()) }, cheapSupply, isExpensive = false)
            var isExpensive = false
            for (offer in allowed) {
                if (open.isEmpty()) break
                if (!isExpensive && prices.perCpu(offer) > expensiveAbove) {
                    // Expensive machines that are up serve before more are provisioned.
                    isExpensive = true
                    open = fill(open, expensiveSupply, isExpensive = true)
                }
                open = provision(offer, open, isExpensive)
            }
            if (!isExpensive) open = fill(open, expensiveSupply, isExpensive = true)
            if (open.isNotEmpty()) provisionOneIfNone(constraint, open)
            work.filter { it.concurrentTasks > 1 }.forEach { providePlaces(constraint, it) }
        }

        /** In the order of use: machines that are up, used ones and the cheapest first; then those that boot. */
        private fun usable(constraint: PlacementConstraint): List<Supply> =
            supply
                .filter { constraint.allows(it.offer) && it.freeCpus > 0 }
                .sortedWith(ORDER_OF_USE)

        /** Requests as many machines of an offer as the open demand fills; returns the demand that is still open. */
        private fun provision(
            offer: Offer,
            open: List<OpenDemand>,
            isExpensive: Boolean,
        ): List<OpenDemand> {
            val instanceType = instanceTypes.getValue(offer.type)
            val resources = instanceType.resources
            val fittingCpus =
                open.filter { resources.covers(it.work.resources) }.sumOf {
                    val horizon = demand.horizonSeconds(it.work, isUp = false, isExpensive)
                    it.tasks * demand.busyCpus(it.work.resources, it.work.seconds, horizon)
                }
            if (fittingCpus < instanceType.cpus * MIN_UTILIZATION) return open
            val number = ceil(fittingCpus / instanceType.cpus - MIN_UTILIZATION).toInt().coerceIn(1, MAX_PER_STEP)
            return fill(open, request(offer, number), isExpensive)
        }

        /** What is left is too little for a machine of its own, unless there is none at all. */
        private fun provisionOneIfNone(
            constraint: PlacementConstraint,
            open: List<OpenDemand>,
        ) {
            val used = supply.filter { constraint.allows(it.offer) && it.isUsed }
            val unplaced = open.map { it.work }.filter { work -> used.none { it.canHold(work.resources) } }
            if (unplaced.isEmpty()) return
            val offer = offers.firstOrNull { offer -> unplaced.any { holds(offer, constraint, it) } }
            if (offer != null) {
                request(offer, 1)
            } else {
                noteUnprovisioned(constraint, unplaced)
            }
        }

        /**
         * Capacity over time is not enough for a gang: its tasks need their places at the same time. The machines that
         * offer these are not surplus.
         */
        private fun providePlaces(
            constraint: PlacementConstraint,
            gang: PendingWork,
        ) {
            val holding = offers.filter { holds(it, constraint, gang) }
            val allowed = supply.filter { constraint.allows(it.offer) && it.canHold(gang.resources) }
            val zone = if (gang.oneZone) bestZone(allowed, holding, gang) else null
            var missing = gang.concurrentTasks
            for (machine in allowed.filter { zone == null || it.offer.zone == zone }.sortedWith(ORDER_OF_USE)) {
                if (missing <= 0) return
                missing -= machine.places(gang.resources)
                machine.take(0.0)
            }
            if (missing <= 0) return
            val offer = holding.firstOrNull { zone == null || it.zone == zone }
            if (offer == null) {
                noteUnprovisioned(constraint, listOf(gang))
                return
            }
            val placesOnEach = instanceTypes.getValue(offer.type).resources.countOf(gang.resources)
            request(offer, ((missing - 1) / placesOnEach + 1).coerceAtMost(MAX_PER_STEP)).forEach { it.take(0.0) }
        }

        /** The zone with the most places, of those in which there are enough or more can be provisioned. */
        private fun bestZone(
            allowed: List<Supply>,
            holding: List<Offer>,
            gang: PendingWork,
        ): String? {
            val byZone = allowed.groupBy { it.offer.zone }
            val places = byZone.mapValues { (_, inZone) -> inZone.sumOf { it.places(gang.resources) } }
            val complete = places.filterValues { it >= gang.concurrentTasks }.keys.firstOrNull()
            return complete ?: holding.map { it.zone }.maxByOrNull { places[it] ?: 0 }
        }

        private fun holds(
            offer: Offer,
            constraint: PlacementConstraint,
            work: PendingWork,
        ): Boolean = constraint.allows(offer) && instanceTypes.getValue(offer.type).resources.covers(work.resources)

        private fun noteUnprovisioned(
            constraint: PlacementConstraint,
            work: List<PendingWork>,
        ) {
            val isOffered = allOffers.any { offer -> work.any { holds(offer, constraint, it) } }
            unprovisioned = if (isOffered) UnprovisionedReason.NO_CAPACITY else UnprovisionedReason.NO_OFFER
        }

        /** Adds machines of [offer] to the plan. */
        private fun request(
            offer: Offer,
            number: Int,
        ): List<Supply> {
            requests.merge(offer, number, Int::plus)
            val instanceType = instanceTypes.getValue(offer.type)
            val price = prices.perCpu(offer)
            val added =
                List(number) {
                    Supply(
                        offer,
                        instanceType.resources,
                        price,
                        machineName = null,
                        isUp = false,
                        freeCpus = instanceType.cpus,
                    )
                }
            supply += added
            return added
        }
    }

    /** Plans tasks for [machines] in this order; returns the demand that does not fit. */
    private fun fill(
        open: List<OpenDemand>,
        machines: List<Supply>,
        isExpensive: Boolean,
    ): List<OpenDemand> {
        val stillOpen = ArrayList<OpenDemand>()
        for (openDemand in open) {
            val tasksLeft = fill(openDemand, machines, isExpensive)
            if (tasksLeft > NEGLIGIBLE) stillOpen += OpenDemand(openDemand.work, tasksLeft)
        }
        return stillOpen
    }

    /** The tasks that do not fit. */
    private fun fill(
        open: OpenDemand,
        machines: List<Supply>,
        isExpensive: Boolean,
    ): Double {
        val work = open.work
        var tasksLeft = open.tasks
        for (machine in machines) {
            if (tasksLeft <= 0) break
            if (machine.freeCpus <= 0 || !machine.canHold(work.resources)) continue
            val horizon = demand.horizonSeconds(work, machine.isUp, isExpensive)
            val cpusPerTask = demand.blockedCpus(work.resources, work.seconds, machine.resources, horizon)
            val cpus = minOf(machine.freeCpus, tasksLeft * cpusPerTask)
            machine.take(cpus)
            tasksLeft -= cpus / cpusPerTask
        }
        return tasksLeft
    }

    private companion object {
        val ORDER_OF_USE = compareBy<Supply>({ !it.isUp }, { !it.isUsed }, { it.pricePerCpu })

        /** From this times the cheapest price on, a machine is expensive: used no longer than needed. */
        const val EXPENSIVE = 1.5

        /** The share of a machine that must be needed before one more is provisioned. */
        const val MIN_UTILIZATION = 0.3

        /** Fewer tasks than this are left by rounding alone. */
        const val NEGLIGIBLE = 1e-6

        /** So many machines of one offer are planned for work of one constraint; what is missing is planned next. */
        const val MAX_PER_STEP = 50
    }
}
