package umberslip.provisioning

import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.slf4j.LoggerFactory
import umberslip.cloud.Cloud
import umberslip.cloud.InstanceType
import umberslip.cloud.ListedMachine
import umberslip.cloud.MachineStatus
import umberslip.cloud.Offer
import umberslip.core.Clock
import umberslip.core.MachineName
import umberslip.http.Fields
import umberslip.http.MalformedMessageException
import umberslip.http.NoResponseException
import umberslip.http.ServiceUnavailableException
import umberslip.leadership.LeaderLease
import umberslip.records.Keys
import umberslip.recovery.KnownMachine
import umberslip.recovery.MissingMachines
import umberslip.scheduling.ClusterSnapshot
import umberslip.scheduling.Leader
import umberslip.scheduling.LeaderMessage
import umberslip.scheduling.MachineSnapshot
import umberslip.settings.Settings
import umberslip.settings.Timings
import umberslip.settings.Tuning
import umberslip.store.KeyValueStore
import umberslip.store.Precondition
import umberslip.store.Write
import java.time.Instant
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Rents and returns machines while this controller leads. A loop of its own: the cloud is slow, and
 * nobody waits for it.
 */
class Provisioner(
    private val scope: CoroutineScope,
    private val settings: Settings,
    private val tuning: Tuning,
    timings: Timings,
    private val cloud: Cloud,
    private val store: KeyValueStore,
    private val leaderLease: LeaderLease,
    private val leader: Leader,
    private val clock: Clock,
    private val wallClock: () -> Instant,
    private val onInstanceTypes: (List<InstanceType>) -> Unit,
) {
    private val log = LoggerFactory.getLogger("umberslip.provisioning")
    private val planner = CapacityPlanner(tuning)
    private val missingMachines = if (tuning.recovery.returnMissing) MissingMachines(settings, timings) else null
    private var instanceTypes: Map<String, InstanceType> = emptyMap()
    private var instanceTypesReadAt: Duration? = null
    private var listedAt: Duration? = null
    private val booting = LinkedHashMap<MachineName, BootingMachine>()

    /** Offers that had no machine lately, and until when they are not asked again. */
    private val shut = HashMap<Offer, Duration>()

    /** Requests whose fate is unknown, asked again under the same name. */
    private val unsettled = ArrayDeque<Pair<String, ProvisioningRequest>>()
    private val releases = LinkedHashSet<MachineName>()
    private val gone = HashSet<MachineName>()
    private val unneededSince = HashMap<MachineName, Duration>()
    private var requests = 0
    private var failures = 0
    private var noted: Set<MachineName> = emptySet()
    private var notedAt = Duration.ZERO
    private var summaryAt = Duration.ZERO
    private var tookOverAt = Duration.ZERO
    private var settledAt = Duration.ZERO

    /** How long this round's view and plan took. */
    private var planning = Duration.ZERO

    fun start(): Job =
        scope.launch {
            while (true) {
                val began = clock.now()
                planning = Duration.ZERO
                try {
                    round()
                    if (failures > 0) log.info("the cloud serves again after {} failures", failures)
                    failures = 0
                } catch (e: ServiceUnavailableException) {
                    failed(e.message)
                } catch (e: NoResponseException) {
                    failed(e.message)
                } catch (e: MalformedMessageException) {
                    log.error("the cloud's answer cannot be read: {}", e.message)
                    delay(TROUBLE)
                }
                // A plan looks at every machine and task: in a large fleet it is made less often, so that
                // heartbeats and users have their turn.
                delay(maxOf(ROUND, planning * PLAN_SHARE - (clock.now() - began)))
            }
        }

    private suspend fun failed(why: String?) {
        if (failures++ == 0) log.warn("the cloud does not serve: {}", why)
        delay(TROUBLE)
    }

    /** A new leader starts from what its predecessor noted; the rest shows in the list and in heartbeats. */
    fun elected(
        noted: Any?,
        first: Boolean,
    ) {
        tookOverAt = clock.now()
        // Workers are heard again within a few heartbeats; until then a machine not heard of is neither
        // missing nor up for return. A first leader has nothing to wait for.
        settledAt = if (first) tookOverAt else tookOverAt + settings.workers.heartbeatInterval * 2 + 2.seconds
        booting.clear()
        unsettled.clear()
        releases.clear()
        gone.clear()
        unneededSince.clear()
        shut.clear()
        listedAt = null
        requests = 0
        if (noted == null) return
        try {
            val now = clock.now()
            for (f in Fields.of(noted, Keys.BOOTING_MACHINES).maps("booting")) {
                val age = (wallClock().toEpochMilli() - f.long("since_ms")).milliseconds
                val name = MachineName(f.text("host"))
                booting[name] = BootingMachine(name, Offer(f.text("type"), f.text("zone"), f.flag("spot")), now - age)
            }
        } catch (e: MalformedMessageException) {
            log.error("the note on booting machines cannot be read: {}", e.message)
        }
    }

    private suspend fun round() {
        val asOf = instanceTypesReadAt
        if (asOf == null || clock.now() - asOf > INSTANCE_TYPES_INTERVAL) {
            val all = cloud.instanceTypes()
            instanceTypes = all.associateBy { it.label }
            instanceTypesReadAt = clock.now()
            onInstanceTypes(all)
        }
        if (!leaderLease.mayStart(clock.now())) return
        val term = leaderLease.term ?: return
        val view = view() ?: return
        val now = clock.now()
        for (m in view.machines) if (m.sinceContact != null) booting.remove(m.name)
        if (listedAt?.let { now - it > LIST_EVERY } != false) list(view, now)
        if (now < settledAt) return
        giveUpBooting(view, now)
        if (booting.keys != noted && now - notedAt > NOTE_EVERY) note()
        val planBegan = clock.now()
        val plan = planner.plan(view, booting.values.toList(), instanceTypes) { (shut[it] ?: Duration.ZERO) > now }
        planning += clock.now() - planBegan
        if (summaryAt + SUMMARY_EVERY <= now) {
            summaryAt = now
            summarize(view)
        }
        close(view, plan, now)
        release()
        while (unsettled.isNotEmpty() && leaderLease.mayStart(clock.now())) {
            val (name, rent) = unsettled.first()
            rent(name, rent)
            unsettled.removeFirst()
        }
        for (rent in plan.rent) {
            if (!leaderLease.mayStart(clock.now())) return
            val name = "${settings.member}-${term.value}-${++requests}"
            unsettled.addLast(name to rent)
            rent(name, rent)
            unsettled.removeLast()
        }
    }

    private fun summarize(view: ClusterSnapshot) {
        fun cpus(of: List<MachineSnapshot>) = of.sumOf { it.capacity?.cpus ?: 0.0 }.toInt()
        val up = view.machines.filter { it.sinceContact != null }
        log.info(
            "up {} processors ({} spot, {} draining, {} quarantined), {} in use ({} run, {} fetch), {} booting; " +
                "waiting {} for {} processor seconds",
            cpus(up),
            cpus(up.filter { it.offer.spot }),
            cpus(up.filter { it.isDraining }),
            cpus(up.filter { it.isQuarantined }),
            up.sumOf { m -> m.running.sumOf { it.resources.cpus } }.toInt(),
            up.sumOf { it.runningCpus }.toInt(),
            up.sumOf { it.fetchingCpus }.toInt(),
            booting.values.sumOf { instanceTypes[it.offer.type]?.cpus ?: 0.0 }.toInt(),
            view.waiting.sumOf { it.tasks * it.resources.cpus }.toInt(),
            view.waiting.sumOf { it.tasks * it.resources.cpus * it.seconds }.toInt(),
        )
    }

    private suspend fun view(): ClusterSnapshot? {
        val answer = CompletableDeferred<ClusterSnapshot?>()
        val view =
            LeaderMessage.TakeSnapshot { seen, took ->
                planning += took
                answer.complete(seen)
            }
        if (!leader.enqueue(view)) return null
        return answer.await()
    }

    private suspend fun rent(
        name: String,
        rent: ProvisioningRequest,
    ) {
        val machineNames = cloud.provision(name, rent.offer, rent.number)
        val now = clock.now()
        if (machineNames == null || machineNames.size < rent.number) shut[rent.offer] = now + SHUT
        log.info("rented {} of {} {}", machineNames?.size ?: 0, rent.number, rent.offer)
        if (machineNames.isNullOrEmpty()) return
        for (machineName in machineNames) booting[machineName] = BootingMachine(machineName, rent.offer, now)
        note()
    }

    /** A hint for the next leader, so that it does not rent for the same need again. */
    private suspend fun note() {
        val version = leaderLease.version ?: return
        noted = booting.keys.toSet()
        notedAt = clock.now()
        val base = wallClock().toEpochMilli() - clock.now().inWholeMilliseconds
        var bytes = NOTE_BYTES
        val rows =
            booting.values
                .takeWhile {
                    bytes += NOTED_BYTES + it.name.value.length + it.offer.type.length + it.offer.zone.length
                    bytes <= settings.storeLimits.valueBytes
                }.map {
                    mapOf(
                        "host" to it.name.value,
                        "type" to it.offer.type,
                        "zone" to it.offer.zone,
                        "spot" to it.offer.spot,
                        "since_ms" to base + it.since.inWholeMilliseconds,
                    )
                }
        try {
            store.compareAndSwap(listOf(Precondition(Keys.LEADER, version)), listOf(Write.Put(Keys.BOOTING_MACHINES, mapOf("booting" to rows))))
        } catch (e: ServiceUnavailableException) {
            log.debug("booting machines not noted: {}", e.message)
        } catch (e: NoResponseException) {
            log.debug("booting machines perhaps not noted: {}", e.message)
        }
    }

    private suspend fun list(
        view: ClusterSnapshot,
        now: Duration,
    ) {
        val all = cloud.listMachines()
        listedAt = now
        returnMissing(all, view, now)
        val reporting = view.machines.associateBy { it.name }
        // Noted by a former leader, or rented long enough ago to be listed, and not there: gone.
        val listed = all.mapTo(HashSet()) { it.name }
        booting.values.removeAll { it.name !in listed && now - it.since > settings.listLag * 3 }
        for (machineName in all) {
            if (machineName.name in gone || machineName.name in releases) continue
            val machine = reporting[machineName.name]
            val heard = machine?.sinceContact
            when {
                machineName.status == MachineStatus.FAILED -> releases += machineName.name
                heard != null -> Unit
                machineName.name in booting -> {
                    if (machineName.status == MachineStatus.RUNNING) {
                        booting.computeIfPresent(machineName.name) { _, b -> b.copy(up = true) }
                    }
                }
                // Rented by a former leader, or by a request that came late: used like any other.
                else -> {
                    booting[machineName.name] =
                        BootingMachine(
                            machineName.name,
                            Offer(machineName.type, machineName.zone, machineName.spot),
                            now - machineName.age,
                            machineName.status == MachineStatus.RUNNING,
                        )
                }
            }
        }
    }

    /** Silent machines that the list would show if they existed: taken back while nobody heard of it. */
    private suspend fun returnMissing(
        all: List<ListedMachine>,
        view: ClusterSnapshot,
        listBegan: Duration,
    ) {
        val known = view.machines.map { KnownMachine(it.name, it.provisionedBefore, it.sinceAnyContact) }
        val listed = all.mapTo(HashSet()) { it.name }
        val missing = missingMachines?.of(listBegan, listed, known).orEmpty().filter { it !in releases && it !in gone }
        if (missing.isEmpty()) return
        log.warn("{} silent machines are not listed any more: {}", missing.size, missing.joinToString { it.value })
        takeAway(missing, evenIfBusy = true)
    }

    private fun giveUpBooting(
        view: ClusterSnapshot,
        now: Duration,
    ) {
        val heardZones =
            view.machines
                .filter { m -> m.sinceContact.let { it != null && it < settings.workers.lease } }
                .map { it.offer.zone }
                .toSet()
        for (b in booting.values.toList()) {
            // A zone of which nothing is heard is cut off; its machines come back with it.
            if (b.up && b.offer.zone !in heardZones && now - tookOverAt < CUT_PATIENCE) continue
            val boot = instanceTypes[b.offer.type]?.boot ?: continue
            // A machine that was up before this leader may be out of reach for a while with work on it.
            if (now - tookOverAt < settings.workers.lease * 2) continue
            if (now - b.since > maxOf(boot * 3, boot + LATE_BOOT)) {
                log.warn("machine {} did not come up in {}: returned", b.name.value, now - b.since)
                booting.remove(b.name)
                releases += b.name
            }
        }
    }

    /**
     * Unneeded machines get nothing new; when they stay so, what can be saved moves on, and they are
     * returned once empty, dear ones sooner. So are sick ones.
     */
    private suspend fun close(
        view: ClusterSnapshot,
        plan: CapacityPlan,
        now: Duration,
    ) {
        unneededSince.keys.retainAll(plan.unneeded)
        plan.unneeded.forEach { unneededSince.getOrPut(it) { now } }

        fun unneededFor(
            m: MachineSnapshot,
            time: Duration,
        ) = unneededSince[m.name]?.let { now - it >= time } ?: false
        leader.enqueue(
            LeaderMessage.Drain(
                view.machines.filter { it.isQuarantined || it.name in plan.unneeded }.mapTo(HashSet()) { it.name },
                view.machines.filter { unneededFor(it, tuning.idle) }.mapTo(HashSet()) { it.name },
            ),
        )
        val empty = view.machines.filter { it.tasks == 0 && (it.isQuarantined || unneededFor(it, idleTime(it))) }.map { it.name }
        if (empty.isNotEmpty()) takeAway(empty, evenIfBusy = false)
        val silent = silent(view)
        if (silent.isNotEmpty()) takeAway(silent, evenIfBusy = true)
    }

    private fun idleTime(machine: MachineSnapshot): Duration {
        if (machine.offer.spot) return tuning.idle
        return tuning.idle / DEAR_IDLE
    }

    private suspend fun takeAway(
        machineNames: List<MachineName>,
        evenIfBusy: Boolean,
    ) {
        val answer = CompletableDeferred<List<MachineName>>()
        if (leader.enqueue(LeaderMessage.PrepareTermination(machineNames.toSet(), evenIfBusy) { answer.complete(it) })) {
            releases += answer.await()
        }
    }

    /**
     * Machines silent for most of a lease, while most others of their zone are heard: taken, dead or
     * hung. Returning them makes sure at once that their tasks are gone, rather than when every lease
     * has run out, which after a takeover is much later. A zone that is cut off as a whole may go on
     * working, so its machines are left alone until their leases are over.
     */
    private fun silent(view: ClusterSnapshot): List<MachineName> {
        val patience = settings.workers.lease * SILENT_SHARE

        fun timeSinceContact(m: MachineSnapshot): Duration = m.sinceAnyContact
        val heard =
            view.machines.groupBy { it.offer.zone }.mapValues { (_, all) ->
                all.count { timeSinceContact(it) < settings.workers.heartbeatInterval * 3 } * 2 > all.size
            }
        // A machine that only the records name has no zone here; most of all machines must be heard.
        val most = view.machines.count { timeSinceContact(it) < settings.workers.heartbeatInterval * 3 } * 2 > view.machines.size
        val silentZones =
            view.machines
                .groupBy { it.offer.zone }
                .filterValues { all -> all.all { timeSinceContact(it) > settings.workers.lease } }
                .keys
        return view.machines
            .filter { m ->
                // The machines of a zone that is silent as a whole come back, empty, when the cut ends.
                (
                    m.leaseExpired &&
                        m.sinceContact != null &&
                        timeSinceContact(m) > patience &&
                        (m.offer.zone !in silentZones || timeSinceContact(m) > CUT_PATIENCE)
                ) ||
                    (
                        m.tasks > 0 &&
                            timeSinceContact(m) > patience &&
                            most &&
                            (m.offer.zone.isEmpty() || heard[m.offer.zone] == true)
                    )
            }.map { it.name }
    }

    private suspend fun release() {
        if (releases.isEmpty()) return
        val names = releases.take(MAX_RELEASE)
        cloud.terminate(names)
        log.info("returned {}", names.joinToString { it.value })
        releases.removeAll(names.toSet())
        gone += names
        leader.enqueue(LeaderMessage.Terminated(names))
    }

    private companion object {
        val ROUND = 700.milliseconds

        /** Planning takes at most one part in so many of the time. */
        const val PLAN_SHARE = 30
        val TROUBLE = 1.seconds

        /** A machine that boots for longer than this, and three times its usual time, will not come up. */
        val LATE_BOOT = 40.seconds

        /** An ordinary machine is kept idle for one part in so many of a spot machine's time. */
        const val DEAR_IDLE = 4
        val INSTANCE_TYPES_INTERVAL = 60.seconds
        val CUT_PATIENCE = 120.seconds
        val NOTE_EVERY = 3.seconds
        val SUMMARY_EVERY = 10.seconds
        val LIST_EVERY = 5.seconds
        val SHUT = 30.seconds
        const val SILENT_SHARE = 0.8
        const val MAX_RELEASE = 100
        const val NOTE_BYTES = 100
        const val NOTED_BYTES = 80
    }
}
