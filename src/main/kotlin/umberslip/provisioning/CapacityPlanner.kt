package umberslip.provisioning

import umberslip.cloud.InstanceType
import umberslip.cloud.Offer
import umberslip.core.MachineName
import umberslip.core.Resources
import umberslip.scheduling.ClusterSnapshot
import umberslip.scheduling.MachineSnapshot
import umberslip.scheduling.PendingWork
import umberslip.scheduling.PlacementConstraint
import umberslip.settings.Tuning
import kotlin.math.ceil
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

/** A machine that was rented and has not reported yet; [up] once the cloud lists it as running. */
data class BootingMachine(
    val name: MachineName,
    val offer: Offer,
    val since: Duration,
    val up: Boolean = false,
)

data class ProvisioningRequest(
    val offer: Offer,
    val number: Int,
)

class CapacityPlan(
    val rent: List<ProvisioningRequest>,
    val unneeded: Set<MachineName>,
)

/**
 * How many machines of which kind: enough to get the known work done within the drain time, filled
 * from the cheapest capacity up, whether that is rented already or only could be. Pure.
 */
class CapacityPlanner(
    tuning: Tuning,
) {
    // In seconds: a plan divides by them for every task that runs.
    private val drain = tuning.drain.toDouble(DurationUnit.SECONDS)
    private val boot = tuning.boot.toDouble(DurationUnit.SECONDS)

    private class Supply(
        val offer: Offer,
        val resources: Resources,
        val price: Double,
        val name: MachineName?,
        val up: Boolean,
        var left: Double,
        var used: Boolean = false,
    ) {
        /** Waiting work was planned for it. */
        var claimed = false
    }

    fun plan(
        view: ClusterSnapshot,
        booting: List<BootingMachine>,
        instanceTypes: Map<String, InstanceType>,
        shut: (Offer) -> Boolean,
    ): CapacityPlan = Planning(view, instanceTypes, shut).plan(booting)

    /** One plan in the making: the capacity that there is or could be, and how much of it is still free. */
    private inner class Planning(
        private val view: ClusterSnapshot,
        private val instanceTypes: Map<String, InstanceType>,
        shut: (Offer) -> Boolean,
    ) {
        private val supply = ArrayList<Supply>()

        /** Processors that the tasks on a machine keep busy over the drain time. */
        private val running = HashMap<MachineName, Double>()
        private val rent = LinkedHashMap<Offer, Int>()

        /** What the cloud rents at present, the cheapest first. */
        private val offers =
            instanceTypes.values
                .flatMap { f -> f.zones.flatMap { z -> listOf(Offer(f.label, z, true), Offer(f.label, z, false)) } }
                .filter { !shut(it) }
                .sortedBy(::price)

        fun plan(booting: List<BootingMachine>): CapacityPlan {
            view.machines.forEach(::addMachine)
            booting.forEach(::addBooting)
            // The most constrained work chooses first.
            val groups =
                view.waiting
                    .groupBy { it.where }
                    .entries
                    .sortedBy { (where, _) -> offers.count(where::allows) }
            for ((where, works) in groups) supply(where, works)
            return CapacityPlan(rent.map { (offer, number) -> ProvisioningRequest(offer, number) }, unneeded(view, supply, running))
        }

        private fun price(offer: Offer): Double {
            val instanceType = instanceTypes[offer.type] ?: return Double.MAX_VALUE
            val price = if (offer.spot) instanceType.spotPrice else instanceType.price
            return price / instanceType.cpus.coerceAtLeast(LEAST_CPUS)
        }

        private fun addMachine(machine: MachineSnapshot) {
            val resources = machine.capacity ?: return
            if (machine.isQuarantined || machine.interruptedIn != null) return
            if (machine.sinceContact == null || machine.sinceContact > SILENT) return
            running[machine.name] = machine.running.sumOf { need(it.resources, it.seconds, resources, drain) }
            val need = machine.running.sumOf { need(it.resources, it.seconds, resources, drain + boot) }
            val left = (resources.cpus - need).coerceAtLeast(0.0)
            supply += Supply(machine.offer, resources, price(machine.offer), machine.name, true, left, need > 0)
        }

        private fun addBooting(machine: BootingMachine) {
            val instanceType = instanceTypes[machine.offer.type] ?: return
            supply += Supply(machine.offer, instanceType.resources, price(machine.offer), machine.name, false, instanceType.cpus)
        }

        /** Finds capacity for the work that may go to the same machines. */
        private fun supply(
            where: PlacementConstraint,
            works: List<PendingWork>,
        ) {
            val allowed = offers.filter(where::allows)
            val dearFrom = (allowed.minOfOrNull(::price) ?: Double.MAX_VALUE) * DEAR
            // Up machines are filled first, the fullest of the cheapest; then those that boot.
            val existing =
                supply
                    .filter { where.allows(it.offer) && it.left > 0 }
                    .sortedWith(compareBy({ !it.up }, { !it.used }, { it.price }))
            val (dearSupply, cheapSupply) = existing.partition { it.price > dearFrom }
            var open = works.map { it to it.tasks.toDouble() }
            open = fill(open, cheapSupply, dear = false)
            var dear = false
            for (offer in allowed) {
                if (open.isEmpty()) break
                if (!dear && price(offer) > dearFrom) {
                    // Dear ones that are up serve before more are rented.
                    dear = true
                    open = fill(open, dearSupply, dear = true)
                }
                open = rent(offer, open, dear)
            }
            if (!dear) open = fill(open, dearSupply, dear = true)
            if (open.isNotEmpty()) rentOneIfNone(where, open)
        }

        /** Rents as many of an offer as the open work fills; answered with what is still open. */
        private fun rent(
            offer: Offer,
            open: List<Pair<PendingWork, Double>>,
            dear: Boolean,
        ): List<Pair<PendingWork, Double>> {
            val instanceType = instanceTypes.getValue(offer.type)
            val resources = instanceType.resources
            val fitting =
                open.filter { resources.covers(it.first.resources) }.sumOf { (work, tasks) ->
                    tasks * share(work.resources, work.seconds, horizon(work, false, dear))
                }
            if (fitting < instanceType.cpus * WORTH) return open
            val number = ceil(fitting / instanceType.cpus - WORTH).toInt().coerceIn(1, MAX_RENT)
            rent.merge(offer, number, Int::plus)
            val rented = List(number) { Supply(offer, resources, price(offer), null, false, instanceType.cpus) }
            supply += rented
            return fill(open, rented, dear)
        }

        /** What is left is too little for a machine of its own, unless there is none at all. */
        private fun rentOneIfNone(
            where: PlacementConstraint,
            open: List<Pair<PendingWork, Double>>,
        ) {
            if (supply.any { where.allows(it.offer) && it.used }) return
            val offer =
                offers.firstOrNull { offer ->
                    val resources = instanceTypes.getValue(offer.type).resources
                    where.allows(offer) && open.any { resources.covers(it.first.resources) }
                }
            if (offer != null) rent.merge(offer, 1, Int::plus)
        }
    }

    /**
     * Up machines that no waiting work was planned for, dearest first: those with nothing on them,
     * and others as long as the rest can take what runs and waits.
     */
    private fun unneeded(
        view: ClusterSnapshot,
        supply: List<Supply>,
        running: Map<MachineName, Double>,
    ): Set<MachineName> {
        val up = supply.filter { it.up }
        val waiting = view.waiting.sumOf { it.tasks * share(it.resources, it.seconds, drain) }
        var slack = up.sumOf { it.resources.cpus } - running.values.sum() - waiting
        val out = HashSet<MachineName>()
        for (s in up.sortedWith(compareBy({ -it.price }, { running[it.name] ?: 0.0 }))) {
            val name = s.name ?: continue
            if (s.claimed) continue
            // An empty machine that none of the waiting work was planned for cannot help it.
            if (s.used && slack < s.resources.cpus * KEEP_SLACK) continue
            slack -= s.resources.cpus
            out += name
        }
        return out
    }

    /** Puts tasks on machines; what finds no room is left. */
    private fun fill(
        open: List<Pair<PendingWork, Double>>,
        supply: List<Supply>,
        dear: Boolean,
    ): List<Pair<PendingWork, Double>> {
        val left = ArrayList<Pair<PendingWork, Double>>()
        for ((work, tasks) in open) {
            var rest = tasks
            for (s in supply) {
                if (rest <= 0) break
                if (s.left <= 0 || !s.resources.covers(work.resources)) continue
                val each = share(work.resources, work.seconds, horizon(work, s.up, dear)) * weight(work.resources, s.resources)
                val taken = minOf(s.left, rest * each)
                s.left -= taken
                s.used = true
                s.claimed = true
                rest -= taken / each
            }
            if (rest > NEGLIGIBLE) left += work to rest
        }
        return left
    }

    /**
     * The time within which machines should get work done. Those that are up work on while others
     * would still boot; and what can wait for a cheap machine is not worth a dear one.
     */
    private fun horizon(
        work: PendingWork,
        up: Boolean,
        dear: Boolean,
    ): Double {
        val time = if (up) drain + boot else drain
        return if (dear) maxOf(time, work.slack.toDouble(DurationUnit.SECONDS) * PATIENCE) else time
    }

    /** Processors that a task keeps busy over that time. */
    private fun share(
        task: Resources,
        seconds: Double,
        horizon: Double,
    ): Double = task.cpus.coerceAtLeast(LEAST_CPUS) * minOf(1.0, seconds / horizon)

    /** Memory counts as the processors that it blocks. */
    private fun weight(
        task: Resources,
        machine: Resources,
    ): Double {
        val byMemory = if (machine.memoryGb > 0) task.memoryGb / machine.memoryGb * machine.cpus else 0.0
        return maxOf(1.0, byMemory / task.cpus.coerceAtLeast(LEAST_CPUS))
    }

    private fun need(
        task: Resources,
        seconds: Double,
        machine: Resources,
        horizon: Double,
    ): Double = share(task, seconds, horizon) * weight(task, machine)

    private companion object {
        /** From this times the cheapest price on, a machine is dear: kept no longer than needed. */
        const val DEAR = 1.5

        /** The share of a machine that must be needed before one more is rented. */
        const val WORTH = 0.3
        const val KEEP_SLACK = 1.15

        /** The part of its slack that work may take to get through on machines that are at hand. */
        const val PATIENCE = 0.25
        const val NEGLIGIBLE = 1e-6

        /** A task or type without processors still counts for something. */
        const val LEAST_CPUS = 0.1
        const val MAX_RENT = 50
        val SILENT = 6.seconds
    }
}
