package umberslip.provisioning

import umberslip.cloud.InstanceType
import umberslip.cloud.Offer
import umberslip.scheduling.ClusterSnapshot
import umberslip.scheduling.PendingWork
import umberslip.scheduling.PlacementConstraint
import umberslip.settings.Tuning
import kotlin.math.ceil

/**
 * Plans how many machines of which offers the cluster should have: enough to finish the known work within the drain
 * time. The cheapest capacity is used first, whether it exists already or has to be provisioned. Pure.
 */
class CapacityPlanner(
    tuning: Tuning,
) {
    private val demand = DemandModel(tuning)
    private val surplus = Surplus(demand)

    /**
     * Plans for the work in [snapshot]. [expectedMachines] may have been provisioned by requests whose outcome is
     * unknown; they count as booting. [isBackedOff] says which offers must not be requested at present.
     */
    fun plan(
        snapshot: ClusterSnapshot,
        booting: List<BootingMachine>,
        instanceTypes: Map<String, InstanceType>,
        expectedMachines: List<ProvisioningRequest>,
        isBackedOff: (Offer) -> Boolean,
    ): CapacityPlan = Planning(snapshot, booting, instanceTypes, expectedMachines, isBackedOff).plan()

    /** The state of one plan while it is made: the existing and the requested capacity, and how much of it is free. */
    private inner class Planning(
        private val snapshot: ClusterSnapshot,
        booting: List<BootingMachine>,
        private val instanceTypes: Map<String, InstanceType>,
        expectedMachines: List<ProvisioningRequest>,
        isBackedOff: (Offer) -> Boolean,
    ) {
        private val prices = Prices(instanceTypes)
        private val existing =
            ExistingSupply(demand, instanceTypes, prices).also { it.add(snapshot, booting, expectedMachines) }
        private val supply = ArrayList(existing.machines)
        private val requests = LinkedHashMap<Offer, Int>()
        private var unprovisioned: UnprovisionedReason? = null
        private val allOffers = instanceTypes.values.flatMap(::offersOf)

        /** The offers that may be requested at present, the cheapest first. */
        private val offers = allOffers.filter { !isBackedOff(it) }.sortedBy(prices::perCpu)

        private fun offersOf(instanceType: InstanceType): List<Offer> =
            instanceType.zones.flatMap { zone ->
                listOf(true, false).map { spot -> Offer(instanceType.label, zone, spot) }
            }

        fun plan(): CapacityPlan {
            // The most constrained work is planned first.
            val groups =
                snapshot.waiting
                    .groupBy { it.where }
                    .entries
                    .sortedBy { (constraint, _) -> offers.count(constraint::allows) }
            for ((constraint, work) in groups) planCapacity(constraint, work)
            return CapacityPlan(
                requests.map { (offer, number) -> ProvisioningRequest(offer, number) },
                surplus.find(supply, existing.busyCpus, snapshot.waiting),
                unprovisioned,
            )
        }

        /** Plans capacity for work that shares a placement constraint. */
        private fun planCapacity(
            constraint: PlacementConstraint,
            work: List<PendingWork>,
        ) {
            val allowed = offers.filter(constraint::allows)
            val cheapest = allowed.minOfOrNull(prices::perCpu) ?: Double.MAX_VALUE
            val maxCheapPrice = cheapest * EXPENSIVE_PRICE_FACTOR
            val (expensiveSupply, cheapSupply) = usableSupply(constraint).partition { it.pricePerCpu > maxCheapPrice }
            var open = fill(work.map { OpenDemand(it, it.tasks.toDouble()) }, cheapSupply, isExpensive = false)
            var isExpensive = false
            for (offer in allowed) {
                if (open.isEmpty()) break
                if (!isExpensive && prices.perCpu(offer) > maxCheapPrice) {
                    // Expensive machines that exist already are used before more are provisioned.
                    isExpensive = true
                    open = fill(open, expensiveSupply, isExpensive = true)
                }
                open = provision(offer, open, isExpensive)
            }
            if (!isExpensive) open = fill(open, expensiveSupply, isExpensive = true)
            if (open.isNotEmpty()) requestOneIfNoneFits(constraint, open)
            work.filter { it.concurrentTasks > 1 }.forEach { planGangPlaces(constraint, it) }
        }

        /**
         * Returns the allowed machines with free processors in their order of use: first the machines that are up, then
         * those that boot. Within both groups, used machines come first, and then the cheapest.
         */
        private fun usableSupply(constraint: PlacementConstraint): List<Supply> =
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
            val number =
                ceil(fittingCpus / instanceType.cpus - MIN_UTILIZATION).toInt().coerceIn(1, MAX_MACHINES_PER_STEP)
            return fill(open, request(offer, number), isExpensive)
        }

        /**
         * Requests one machine if no machine that is in use can hold the remaining work. Otherwise the remaining work
         * is too little to justify a machine of its own.
         */
        private fun requestOneIfNoneFits(
            constraint: PlacementConstraint,
            open: List<OpenDemand>,
        ) {
            val used = supply.filter { constraint.allows(it.offer) && it.isUsed }
            val workWithoutMachine = open.map { it.work }.filter { work -> used.none { it.canHold(work.resources) } }
            if (workWithoutMachine.isEmpty()) return
            val offer = offers.firstOrNull { offer -> workWithoutMachine.any { fits(offer, constraint, it) } }
            if (offer != null) {
                request(offer, 1)
            } else {
                setUnprovisionedReason(constraint, workWithoutMachine)
            }
        }

        /**
         * Plans a place for every task of a gang, and requests machines if places are missing. Enough capacity over
         * time is not sufficient for a gang, because its tasks need their places at the same time. The machines that
         * provide the places are not surplus.
         */
        private fun planGangPlaces(
            constraint: PlacementConstraint,
            gang: PendingWork,
        ) {
            val fittingOffers = offers.filter { fits(it, constraint, gang) }
            val allowed = supply.filter { constraint.allows(it.offer) && it.canHold(gang.resources) }
            val zone = if (gang.oneZone) bestZone(allowed, fittingOffers, gang) else null
            var missingPlaces = gang.concurrentTasks
            for (machine in allowed.filter { zone == null || it.offer.zone == zone }.sortedWith(ORDER_OF_USE)) {
                if (missingPlaces <= 0) return
                missingPlaces -= machine.placesFor(gang.resources)
                machine.planWork(0.0)
            }
            if (missingPlaces <= 0) return
            val offer = fittingOffers.firstOrNull { zone == null || it.zone == zone }
            if (offer == null) {
                setUnprovisionedReason(constraint, listOf(gang))
                return
            }
            val placesPerMachine = instanceTypes.getValue(offer.type).resources.countOf(gang.resources)
            request(offer, ((missingPlaces - 1) / placesPerMachine + 1).coerceAtMost(MAX_MACHINES_PER_STEP))
                .forEach { it.planWork(0.0) }
        }

        /**
         * Returns the zone in which to place a gang: a zone that has enough places, or else the one with the most
         * places among the zones in which more can be provisioned.
         */
        private fun bestZone(
            allowed: List<Supply>,
            fittingOffers: List<Offer>,
            gang: PendingWork,
        ): String? {
            val byZone = allowed.groupBy { it.offer.zone }
            val places = byZone.mapValues { (_, inZone) -> inZone.sumOf { it.placesFor(gang.resources) } }
            val zoneWithEnoughPlaces = places.filterValues { it >= gang.concurrentTasks }.keys.firstOrNull()
            return zoneWithEnoughPlaces ?: fittingOffers.map { it.zone }.maxByOrNull { places[it] ?: 0 }
        }

        private fun fits(
            offer: Offer,
            constraint: PlacementConstraint,
            work: PendingWork,
        ): Boolean = constraint.allows(offer) && instanceTypes.getValue(offer.type).resources.covers(work.resources)

        private fun setUnprovisionedReason(
            constraint: PlacementConstraint,
            work: List<PendingWork>,
        ) {
            val isOffered = allOffers.any { offer -> work.any { fits(offer, constraint, it) } }
            unprovisioned = if (isOffered) UnprovisionedReason.NO_CAPACITY else UnprovisionedReason.NO_OFFER
        }

        /** Adds a request for [number] machines of [offer] to the plan; returns the machines as supply. */
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

    /** Plans the tasks of the open demand on [machines], in their order; returns the demand that does not fit. */
    private fun fill(
        open: List<OpenDemand>,
        machines: List<Supply>,
        isExpensive: Boolean,
    ): List<OpenDemand> {
        val stillOpen = ArrayList<OpenDemand>()
        for (openDemand in open) {
            val tasksLeft = fill(openDemand, machines, isExpensive)
            if (tasksLeft > NEGLIGIBLE_TASKS) stillOpen += OpenDemand(openDemand.work, tasksLeft)
        }
        return stillOpen
    }

    /** Plans the tasks of one piece of work on [machines]; returns the number of tasks that do not fit. */
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
            machine.planWork(cpus)
            tasksLeft -= cpus / cpusPerTask
        }
        return tasksLeft
    }

    private companion object {
        val ORDER_OF_USE = compareBy<Supply>({ !it.isUp }, { !it.isUsed }, { it.pricePerCpu })

        /**
         * A machine that costs more than this many times the cheapest price per processor is expensive. Expensive
         * machines are used no longer than needed.
         */
        const val EXPENSIVE_PRICE_FACTOR = 1.5

        /** The share of a machine that must be needed before one more is provisioned. */
        const val MIN_UTILIZATION = 0.3

        /** Fewer remaining tasks than this result from rounding alone. */
        const val NEGLIGIBLE_TASKS = 1e-6

        /**
         * At most this many machines of one offer are requested in one step for work that shares a constraint; later
         * plans request the missing ones.
         */
        const val MAX_MACHINES_PER_STEP = 50
    }
}
