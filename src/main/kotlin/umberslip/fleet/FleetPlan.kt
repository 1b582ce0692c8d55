package umberslip.fleet

import umberslip.agents.Machine
import umberslip.agents.Room
import umberslip.agents.TaskState
import umberslip.cloud.Flavor
import umberslip.cloud.HostName
import umberslip.cloud.Offer
import umberslip.dispatch.RunningJob
import umberslip.dispatch.SchedulerState
import umberslip.records.Shape
import umberslip.settings.Tuning
import kotlin.math.ceil
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

/** Where tasks may run; tasks with the same answer are planned for together. */
data class Where(
    val types: List<String>?,
    val zone: String?,
    val spot: Boolean,
) {
    fun allows(offer: Offer): Boolean =
        (types == null || offer.type in types) &&
            (zone == null || offer.zone == zone) &&
            (spot || !offer.spot)
}

/**
 * Work that is to be placed: tasks alike in room and in the time they need. [slack] is how long it can
 * wait for its start and still be done when it should.
 */
data class Work(
    val where: Where,
    val room: Room,
    val tasks: Int,
    val seconds: Double,
    val slack: Duration = Duration.ZERO,
)

/** A task on a machine, and for how long it still needs its room. */
class Run(
    val room: Room,
    val seconds: Double,
)

data class MachineView(
    val name: HostName,
    val offer: Offer,
    val capacity: Room?,
    val usable: Boolean,
    val closing: Boolean,
    val sick: Boolean,
    val takenIn: Duration?,
    val tasks: Int,
    val running: List<Run>,
    val silentFor: Duration?,
    /** As [silentFor], with what other controllers heard. */
    val unheardFor: Duration,
    val leaseOver: Boolean,
    /** A time by which it was rented for certain. */
    val rentedBefore: Duration,
    val runningCpus: Double,
    val fetchingCpus: Double,
)

/** What the fleet is planned from. */
class FleetView(
    val machines: List<MachineView>,
    val waiting: List<Work>,
) {
    companion object {
        /** More tasks than any job has. */
        private const val MANY = 1e6

        fun of(
            scheduler: SchedulerState,
            now: Duration,
        ): FleetView {
            val machines = scheduler.machines.values.map { view(it, now) }
            val waiting = ArrayList<Work>()
            for (team in scheduler.teams.values) {
                // What a team's limit does not let start needs no machine.
                var cpus = team.team.cpusMax?.minus(team.usedCpus) ?: Double.MAX_VALUE
                for (job in team.waiting) {
                    if (job.notBefore > now) continue
                    val byLimit =
                        if (job.room.cpus > 0) {
                            (cpus / job.room.cpus).coerceAtMost(MANY).toInt()
                        } else {
                            job.waiting
                        }
                    val tasks = minOf(job.waiting, byLimit, if (job.isDoubtful) 1 else Int.MAX_VALUE)
                    if (tasks <= 0) continue
                    cpus -= tasks * job.room.cpus
                    val daemon = job.spec.shape == Shape.DAEMON
                    val seconds = if (daemon) LONG else job.expected
                    val time = if (daemon) LONG.seconds else job.expectedTime
                    val slack = job.targets.firstOrNull { it > now + time }?.let { it - now - time } ?: PATIENT
                    // What the limit holds back follows in the same places, one after the other.
                    waiting += Work(where(job), job.room, tasks, seconds * job.waiting / tasks, slack)
                }
            }
            return FleetView(machines, waiting)
        }

        /** A job of one zone that has tasks there has no use for machines elsewhere. */
        private fun where(job: RunningJob): Where {
            val bound = if (job.spec.oneZone) job.zones.keys.singleOrNull { it.isNotEmpty() } else null
            return Where(job.spec.types, job.spec.zone ?: bound, job.spec.spot)
        }

        private fun view(
            m: Machine,
            now: Duration,
        ): MachineView =
            MachineView(
                m.name,
                Offer(m.type, m.zone, m.spot),
                m.capacity,
                m.usable,
                m.closing,
                m.sick,
                m.takenAt?.minus(now),
                m.assignments.size,
                m.assignments.values.map { a ->
                    val ran = a.runningSince?.let { (now - it).toDouble(DurationUnit.SECONDS) } ?: 0.0
                    val left =
                        if (a.job.spec.shape == Shape.DAEMON) {
                            LONG
                        } else {
                            (a.job.expected - ran).coerceAtLeast(SOON)
                        }
                    Run(a.room, left)
                },
                m.lastHeard?.let { now - it },
                m.silence(now),
                m.leaseEnd <= now,
                m.firstHeard ?: m.loadedAt,
                m.assignments.values.sumOf { if (it.status == TaskState.RUNNING) it.room.cpus else 0.0 },
                m.assignments.values.sumOf { if (it.status == TaskState.FETCHING) it.room.cpus else 0.0 },
            )

        private const val LONG = 1e6

        /** What has missed every target it had can wait for cheap machines. */
        private val PATIENT = 200.seconds
        private const val SOON = 4.0
    }
}

/** A machine that was rented and has not reported yet; [up] once the cloud lists it as running. */
data class Booting(
    val name: HostName,
    val offer: Offer,
    val since: Duration,
    val up: Boolean = false,
)

data class Rent(
    val offer: Offer,
    val number: Int,
)

class Plan(
    val rent: List<Rent>,
    val unneeded: Set<HostName>,
)

/**
 * How many machines of which kind: enough to get the known work done within the drain time, filled
 * from the cheapest capacity up, whether that is rented already or only could be. Pure.
 */
class FleetPlanner(
    tuning: Tuning,
) {
    // In seconds: a plan divides by them for every task that runs.
    private val drain = tuning.drain.toDouble(DurationUnit.SECONDS)
    private val boot = tuning.boot.toDouble(DurationUnit.SECONDS)

    private class Supply(
        val offer: Offer,
        val room: Room,
        val price: Double,
        val name: HostName?,
        val up: Boolean,
        var left: Double,
        var used: Boolean = false,
    ) {
        /** Waiting work was planned for it. */
        var claimed = false
    }

    fun plan(
        view: FleetView,
        booting: List<Booting>,
        flavors: Map<String, Flavor>,
        shut: (Offer) -> Boolean,
    ): Plan = Planning(view, flavors, shut).plan(booting)

    /** One plan in the making: the capacity that there is or could be, and how much of it is still free. */
    private inner class Planning(
        private val view: FleetView,
        private val flavors: Map<String, Flavor>,
        shut: (Offer) -> Boolean,
    ) {
        private val supply = ArrayList<Supply>()

        /** Processors that the tasks on a machine keep busy over the drain time. */
        private val running = HashMap<HostName, Double>()
        private val rent = LinkedHashMap<Offer, Int>()

        /** What the cloud rents at present, the cheapest first. */
        private val offers =
            flavors.values
                .flatMap { f -> f.zones.flatMap { z -> listOf(Offer(f.label, z, true), Offer(f.label, z, false)) } }
                .filter { !shut(it) }
                .sortedBy(::price)

        fun plan(booting: List<Booting>): Plan {
            view.machines.forEach(::addMachine)
            booting.forEach(::addBooting)
            // The most constrained work chooses first.
            val groups =
                view.waiting
                    .groupBy { it.where }
                    .entries
                    .sortedBy { (where, _) -> offers.count(where::allows) }
            for ((where, works) in groups) supply(where, works)
            return Plan(rent.map { (offer, number) -> Rent(offer, number) }, unneeded(view, supply, running))
        }

        private fun price(offer: Offer): Double {
            val flavor = flavors[offer.type] ?: return Double.MAX_VALUE
            val price = if (offer.spot) flavor.spotPrice else flavor.price
            return price / flavor.cpus.coerceAtLeast(LEAST_CPUS)
        }

        private fun addMachine(machine: MachineView) {
            val room = machine.capacity ?: return
            if (machine.sick || machine.takenIn != null) return
            if (machine.silentFor == null || machine.silentFor > SILENT) return
            running[machine.name] = machine.running.sumOf { need(it.room, it.seconds, room, drain) }
            val need = machine.running.sumOf { need(it.room, it.seconds, room, drain + boot) }
            val left = (room.cpus - need).coerceAtLeast(0.0)
            supply += Supply(machine.offer, room, price(machine.offer), machine.name, true, left, need > 0)
        }

        private fun addBooting(machine: Booting) {
            val flavor = flavors[machine.offer.type] ?: return
            supply += Supply(machine.offer, Room.of(flavor), price(machine.offer), machine.name, false, flavor.cpus)
        }

        /** Finds capacity for the work that may go to the same machines. */
        private fun supply(
            where: Where,
            works: List<Work>,
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
            open: List<Pair<Work, Double>>,
            dear: Boolean,
        ): List<Pair<Work, Double>> {
            val flavor = flavors.getValue(offer.type)
            val room = Room.of(flavor)
            val fitting =
                open.filter { room.covers(it.first.room) }.sumOf { (work, tasks) ->
                    tasks * share(work.room, work.seconds, horizon(work, false, dear))
                }
            if (fitting < flavor.cpus * WORTH) return open
            val number = ceil(fitting / flavor.cpus - WORTH).toInt().coerceIn(1, MAX_RENT)
            rent.merge(offer, number, Int::plus)
            val rented = List(number) { Supply(offer, room, price(offer), null, false, flavor.cpus) }
            supply += rented
            return fill(open, rented, dear)
        }

        /** What is left is too little for a machine of its own, unless there is none at all. */
        private fun rentOneIfNone(
            where: Where,
            open: List<Pair<Work, Double>>,
        ) {
            if (supply.any { where.allows(it.offer) && it.used }) return
            val offer =
                offers.firstOrNull { offer ->
                    val room = Room.of(flavors.getValue(offer.type))
                    where.allows(offer) && open.any { room.covers(it.first.room) }
                }
            if (offer != null) rent.merge(offer, 1, Int::plus)
        }
    }

    /**
     * Up machines that no waiting work was planned for, dearest first: those with nothing on them,
     * and others as long as the rest can take what runs and waits.
     */
    private fun unneeded(
        view: FleetView,
        supply: List<Supply>,
        running: Map<HostName, Double>,
    ): Set<HostName> {
        val up = supply.filter { it.up }
        val waiting = view.waiting.sumOf { it.tasks * share(it.room, it.seconds, drain) }
        var slack = up.sumOf { it.room.cpus } - running.values.sum() - waiting
        val out = HashSet<HostName>()
        for (s in up.sortedWith(compareBy({ -it.price }, { running[it.name] ?: 0.0 }))) {
            val name = s.name ?: continue
            if (s.claimed) continue
            // An empty machine that none of the waiting work was planned for cannot help it.
            if (s.used && slack < s.room.cpus * KEEP_SLACK) continue
            slack -= s.room.cpus
            out += name
        }
        return out
    }

    /** Puts tasks on machines; what finds no room is left. */
    private fun fill(
        open: List<Pair<Work, Double>>,
        supply: List<Supply>,
        dear: Boolean,
    ): List<Pair<Work, Double>> {
        val left = ArrayList<Pair<Work, Double>>()
        for ((work, tasks) in open) {
            var rest = tasks
            for (s in supply) {
                if (rest <= 0) break
                if (s.left <= 0 || !s.room.covers(work.room)) continue
                val each = share(work.room, work.seconds, horizon(work, s.up, dear)) * weight(work.room, s.room)
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
        work: Work,
        up: Boolean,
        dear: Boolean,
    ): Double {
        val time = if (up) drain + boot else drain
        return if (dear) maxOf(time, work.slack.toDouble(DurationUnit.SECONDS) * PATIENCE) else time
    }

    /** Processors that a task keeps busy over that time. */
    private fun share(
        task: Room,
        seconds: Double,
        horizon: Double,
    ): Double = task.cpus.coerceAtLeast(LEAST_CPUS) * minOf(1.0, seconds / horizon)

    /** Memory counts as the processors that it blocks. */
    private fun weight(
        task: Room,
        machine: Room,
    ): Double {
        val byMemory = if (machine.memoryGb > 0) task.memoryGb / machine.memoryGb * machine.cpus else 0.0
        return maxOf(1.0, byMemory / task.cpus.coerceAtLeast(LEAST_CPUS))
    }

    private fun need(
        task: Room,
        seconds: Double,
        machine: Room,
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
