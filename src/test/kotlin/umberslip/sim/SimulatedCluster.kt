package umberslip.sim

import io.micrometer.core.instrument.MeterRegistry
import io.micrometer.core.instrument.simple.SimpleMeterRegistry
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.Job
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.StandardTestDispatcher
import kotlinx.coroutines.test.TestCoroutineScheduler
import kotlinx.coroutines.withTimeoutOrNull
import umberslip.cloud.Cloud
import umberslip.cloud.InstanceType
import umberslip.cloud.ListedMachine
import umberslip.cloud.MachineStatus
import umberslip.cloud.Offer
import umberslip.core.Clock
import umberslip.core.JobSpec
import umberslip.core.MachineName
import umberslip.core.TaskId
import umberslip.daemon.Controller
import umberslip.daemon.Routes
import umberslip.http.Documents
import umberslip.http.Fields
import umberslip.http.MalformedMessageException
import umberslip.http.NoResponseException
import umberslip.http.RateLimitedException
import umberslip.http.Request
import umberslip.http.Response
import umberslip.http.ServiceUnavailableException
import umberslip.peers.PeerHealth
import umberslip.records.toMap
import umberslip.settings.Settings
import umberslip.settings.Tuning
import umberslip.store.KeyValueStore
import umberslip.store.Precondition
import umberslip.store.StoreLease
import umberslip.store.TransactionResult
import umberslip.store.Version
import umberslip.store.Write
import java.time.Instant
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Several controllers, a key-value store, a cloud, workers and users in virtual time. After every
 * event the protocol's rules are checked against what really is on the machines.
 */
@OptIn(ExperimentalCoroutinesApi::class)
class SimulatedCluster(
    seed: Int,
    private val mischief: Mischief,
    private val size: ClusterSize,
    settingsJson: (String) -> String,
    /** The operators' settings of each controller. */
    private val tuning: (Int) -> Tuning = { Tuning() },
) {
    private val random = Random(seed)
    private val listRandom = Random(-seed)
    val scheduler = TestCoroutineScheduler()
    private val dispatcher = StandardTestDispatcher(scheduler)
    private val scope = CoroutineScope(dispatcher + SupervisorJob())
    private val members = List(size.members) { "c-$it" }
    private val settings = members.mapTo(ArrayList()) { Settings.parse(settingsJson(it)) }
    private val lease = settings[0].workers.lease
    private val cancelWithin = settings[0].workers.cancel
    private val heartbeatMillis = settings[0].workers.heartbeatInterval.inWholeMilliseconds
    private val controllers = arrayOfNulls<Controller>(members.size)
    private val registries = arrayOfNulls<MeterRegistry>(members.size)
    private val jobsOfControllers = arrayOfNulls<Job>(members.size)
    private val dispatchers = arrayOfNulls<FreezableDispatcher>(members.size)
    private val frozenSince = arrayOfNulls<Duration>(members.size)
    private val frozenUntil = Array(members.size) { Duration.ZERO }
    val store = InMemoryKeyValueStore(size, ::now)

    /** From which time on a controller gets through to the key-value store or to machines again. */
    private val cutFromState = Array(members.size) { Duration.ZERO }
    private val cutFromReads = Array(members.size) { Duration.ZERO }

    /** How many writes each controller has had answered as the leader. */
    private val leaderWrites = IntArray(members.size)
    private val cutFromPeers = Array(members.size) { Duration.ZERO }

    /** Since when some controller has been up and served by the key-value store all the time. */
    private var servedSince = Duration.ZERO
    private val machines = LinkedHashMap<String, SimulatedMachine>()
    private val cutUntil = HashMap<Pair<Int, String>, Duration>()
    var cloudOut = false

    /** That share of transactions gets no answer and is carried out 2 to 12 s later, after newer ones. */
    var lateWrites = 0.0

    /** From then on the key-value store keeps to its lower limits, without notice. */
    var lowered = false
    private var writesLeft = 0.0
    private var writesAt = Duration.ZERO

    /** That share of the jobs that end is called off at the moment of the end. */
    var cancelAtEnd = 0.0

    /** From then on nothing goes wrong any more, and nothing may be left waiting. */
    private var calmSince: Duration? = null
    private val idleSince = HashMap<String, Duration>()
    private val lastBegun = HashMap<String, Duration>()
    private var zonesCutUntil = Duration.ZERO
    private val hires = HashMap<String, List<MachineName>>()

    /** Where each task of a job runs now, and what a team's running tasks take. */
    private val running = HashMap<String, HashMap<TaskId, HashSet<SimulatedMachine>>>()
    private val used = HashMap<String, Double>()
    private val limits = settings[0].teams.associate { it.name to it.cpusMax }
    private val specs = HashMap<String, JobSpec>()
    private val done = HashMap<String, HashSet<Int>>()
    private val accepted = HashSet<String>()
    private val askedToCancel = HashSet<String>()
    private val toldCancelled = HashMap<String, Duration>()
    private val toldDone = HashMap<String, Duration>()
    val broken = ArrayList<String>()
    var starts = 0
        private set

    /** Heartbeats that were refused since a controller had too many at once. */
    var heartbeatsDropped = 0
        private set
    val finishedJobs: Int get() = toldDone.size
    val acceptedJobs: Int get() = accepted.size
    val cancelledJobs: Int get() = toldCancelled.size

    fun now(): Duration = scheduler.currentTime.milliseconds

    /** What the leader's metrics say. */
    fun leaderMetrics(): MeterRegistry? = leader()?.takeIf { controllers[it] != null }?.let { registries[it] }

    private fun broke(what: String) {
        broken += "${now()}: $what"
    }

    // ---- controllers ----

    /** From its next start on. */
    fun configure(
        controller: Int,
        settingsJson: (String) -> String,
    ) {
        settings[controller] = Settings.parse(settingsJson(members[controller]))
    }

    fun startController(i: Int) {
        val job = SupervisorJob()
        jobsOfControllers[i] = job
        val drift = 1.0 + (i - 1) * 0.0005
        val freezable = FreezableDispatcher(dispatcher)
        dispatchers[i] = freezable
        val own = CoroutineScope(freezable + job)
        val controller =
            Controller(
                own,
                settings[i],
                tuning(i),
                Link(i),
                CloudLink(i),
                Clock { now() * drift },
                { Instant.ofEpochMilli(1_000_000 + scheduler.currentTime) },
                SimpleMeterRegistry().also { registries[i] = it },
                { members.indices.forEach { if (it != i && reaches(i, it)) controllers[it]?.refreshRecords() } },
                { reaches(i, members.indexOf(it)) },
                { peerHealth(i) },
                { "" },
            )
        controllers[i] = controller
        controller.start()
    }

    fun stopController(i: Int) {
        jobsOfControllers[i]?.cancel()
        dispatchers[i]?.thaw()
        frozenUntil[i] = Duration.ZERO
        controllers[i] = null
    }

    /** A controller does nothing for a while and then goes on from where it was; its clocks run on meanwhile. */
    fun freeze(
        i: Int,
        time: Duration,
    ) {
        val frozen = dispatchers[i] ?: return
        if (controllers[i] == null || isFrozen(i)) return
        frozen.freeze()
        frozenSince[i] = now()
        frozenUntil[i] = now() + time
        scope.launch {
            delay(time.inWholeMilliseconds)
            frozen.thaw()
        }
    }

    private fun isFrozen(i: Int): Boolean = frozenUntil[i] > now()

    /** It has answered nobody for longer than others wait for a sign of life. */
    private fun isSilent(i: Int): Boolean = isFrozen(i) && now() - (frozenSince[i] ?: now()) > PEER_SILENCE

    private fun peerHealth(from: Int): PeerHealth {
        val near = members.indices.filter { it != from && reaches(from, it) }
        return if (near.any { controllers[it]?.served() == true }) {
            PeerHealth.SERVED
        } else if (near.isEmpty()) {
            PeerHealth.UNREACHABLE
        } else {
            PeerHealth.UNSERVED
        }
    }

    private fun reaches(
        from: Int,
        to: Int,
    ): Boolean {
        val zonesAreCut = zonesCutUntil > now() && settings[from].area != settings[to].area
        val peersAreCut = maxOf(cutFromPeers[from], cutFromPeers[to]) > now()
        return controllers[to] != null && !isSilent(to) && !peersAreCut && !zonesAreCut && random.nextInt(20) > 0
    }

    fun cutZones(time: Duration) {
        zonesCutUntil = now() + time
    }

    /** A controller's way to the key-value store, with losses, and with requests that are carried out late. */
    private inner class Link(
        private val i: Int,
    ) : KeyValueStore {
        private suspend fun <T> call(
            lateToo: Boolean,
            what: () -> T,
        ): T {
            delay(random.nextLong(1, 12))
            if (store.out || cutFromState[i] > now()) throw ServiceUnavailableException("out")
            val luck = random.nextDouble()
            if (luck < mischief.lossy) {
                delay(1000)
                throw NoResponseException("lost")
            }
            if (lateToo && luck < mischief.lossy + mischief.late) {
                scope.launch {
                    delay(random.nextLong(500, 40_000))
                    store.expire()
                    if (!store.out) what()
                }
                delay(1000)
                throw NoResponseException("late")
            }
            store.expire()
            val answer = what()
            if (luck > 1 - mischief.lossy) {
                delay(1000)
                throw NoResponseException("answer lost")
            }
            delay(random.nextLong(1, 6))
            return answer
        }

        private suspend fun <T> read(what: () -> T): T {
            if (cutFromReads[i] > now()) throw ServiceUnavailableException("reads are refused")
            return call(false, what)
        }

        override suspend fun get(key: String) = read { store.get(key) }

        override suspend fun lookUp(key: String) = get(key)

        override suspend fun list(
            prefix: String,
            after: String?,
        ) = read { store.list(prefix, after) }

        override suspend fun changes(
            prefix: String,
            after: Long,
        ) = read { store.changes(prefix, after) }

        override suspend fun compareAndSwap(
            preconditions: List<Precondition>,
            writes: List<Write>,
        ): TransactionResult {
            // Within the smaller of the limits now and later from the start.
            val limits = settings[i].storeLimits
            if (writes.size > limits.transactionOps) broke("a transaction of ${writes.size} writes")
            if (preconditions.size > limits.transactionOps * 4) broke("a transaction of ${preconditions.size} guards")
            for (w in writes) {
                if (w is Write.Put && Documents.jsonSize(w.data) > limits.valueBytes) {
                    broke("${w.key} takes ${Documents.jsonSize(w.data)} bytes")
                }
            }
            if (lowered) {
                writesLeft =
                    minOf(
                        limits.nextWriteRps,
                        writesLeft + (now() - writesAt).inWholeMilliseconds / 1000.0 * limits.nextWriteRps,
                    )
                writesAt = now()
                if (writes.size > writesLeft) throw RateLimitedException("429")
                writesLeft -= writes.size
            }
            if (lateWrites > 0 && !store.out && cutFromState[i] <= now() && random.nextDouble() < lateWrites) {
                val before = leaderWrites[i]
                scope.launch {
                    delay(random.nextLong(2000, 12_000))
                    store.expire()
                    if (store.out) return@launch
                    val result = apply(preconditions, writes)
                    // Whatever was decided since then did not know of it. A note on booting machines is a hint.
                    if (result is TransactionResult.Applied && isLeaderWrite(preconditions, writes) && leaderWrites[i] > before) {
                        broke("a late write of c-$i came through after newer ones: ${writes.map { it.key }}")
                    }
                }
                delay(1000)
                throw NoResponseException("late")
            }
            return call(true) { apply(preconditions, writes) }.also {
                if (it is TransactionResult.Applied && isLeaderWrite(preconditions, writes)) leaderWrites[i]++
            }
        }

        /** What only an leader writes comes through only while the record names it. */
        private fun apply(
            preconditions: List<Precondition>,
            writes: List<Write>,
        ): TransactionResult {
            val leader = leader()
            val result = store.compareAndSwap(preconditions, writes)
            val owned =
                writes.filter { w -> listOf("u/log/", "u/run/", "u/condemned", "u/fleet").any { w.key.startsWith(it) } }
            if (result is TransactionResult.Applied && owned.isNotEmpty() && leader != i) {
                broke("c-$i writes ${owned.map { it.key }} while ${leader?.let { "c-$it" } ?: "nobody"} owns")
            }
            return result
        }

        private fun isLeaderWrite(
            preconditions: List<Precondition>,
            writes: List<Write>,
        ) = preconditions.any { it.key == "u/owner" && it.version != Version.NONE } && writes.none { it.key == "u/fleet" }

        override suspend fun openLease(ttl: Duration) = call(false) { store.open(ttl) }

        override suspend fun renew(lease: StoreLease) = call(true) { store.renew(lease) }

        override suspend fun endLease(lease: StoreLease) = call(true) { store.end(lease.id) }
    }

    private inner class CloudLink(
        private val i: Int,
    ) : Cloud {
        private suspend fun <T> call(what: () -> T): T {
            delay(random.nextLong(50, 300))
            val luck = random.nextDouble()
            if (luck < mischief.lossy || cloudOut) throw ServiceUnavailableException("trouble")
            if (luck < mischief.lossy + mischief.late) {
                scope.launch {
                    delay(random.nextLong(500, 40_000))
                    what()
                }
                delay(5000)
                throw NoResponseException("late")
            }
            return what()
        }

        override suspend fun instanceTypes(): List<InstanceType> = call { size.instanceTypes }

        override suspend fun provision(
            name: String,
            offer: Offer,
            number: Int,
        ): List<MachineName>? =
            call {
                hires[name] ?: run {
                    val resources = size.machinesPerOffer - machines.values.count { !it.gone && it.offer == offer }
                    val made =
                        List(minOf(number, resources).coerceAtLeast(0)) {
                            val machineName = "h-%05d".format(machines.size)
                            SimulatedMachine(machineName, offer, now(), now() + random.nextLong(1000, 9000).milliseconds)
                                .also {
                                    machines[machineName] = it
                                    it.sick = random.nextInt(12) == 0
                                    it.lastAnswered = it.upAt
                                    scope.launch { live(it) }
                                }.let { MachineName(machineName) }
                        }
                    if (made.isEmpty()) null else made.also { hires[name] = it }
                }
            }

        override suspend fun terminate(machineNames: List<MachineName>) = call { machineNames.forEach { machines[it.value]?.let(::kill) } }

        override suspend fun listMachines(): List<ListedMachine> =
            call {
                // The list is up to twice the lag old, so it may be older than the one before.
                val asOf = now() - settings[i].listLag * listRandom.nextDouble(0.0, 2.0)
                machines.values.filter { it.bornAt <= asOf && asOf < it.goneAt }.map {
                    ListedMachine(
                        MachineName(it.name),
                        it.offer.type,
                        it.offer.zone,
                        it.offer.spot,
                        MachineStatus.RUNNING,
                        asOf - it.bornAt,
                    )
                }
            }
    }

    // ---- machines ----

    fun kill(machine: SimulatedMachine) {
        if (!machine.gone) machine.goneAt = now()
        machine.gone = true
        empty(machine)
    }

    /** The controller that the leader's record names. */
    fun leader(): Int? = store.get("u/owner")?.let { members.indexOf(Fields.of(it.data).text("member")) }

    fun upMachines(): List<SimulatedMachine> = machines.values.filter { !it.gone && it.upAt <= now() }

    fun hang(
        machine: SimulatedMachine,
        time: Duration,
    ) {
        machine.hungUntil = now() + time
    }

    fun cut(
        controller: Int,
        zone: String,
        time: Duration,
    ) {
        cutUntil[controller to zone] = now() + time
    }

    fun cutState(
        controller: Int,
        time: Duration,
    ) {
        cutFromState[controller] = now() + time
    }

    /** Its renewals and writes come through, its reads do not. */
    fun cutReads(
        controller: Int,
        time: Duration,
    ) {
        cutFromReads[controller] = now() + time
    }

    /** Left with its workers alone. */
    fun isolate(
        controller: Int,
        time: Duration,
    ) {
        cutState(controller, time)
        cutFromPeers[controller] = now() + time
    }

    fun deafen(
        machine: SimulatedMachine,
        time: Duration,
    ) {
        machine.deafUntil = now() + time
    }

    fun mute(
        machine: SimulatedMachine,
        time: Duration,
    ) {
        machine.muteUntil = now() + time
    }

    /** Ends and comes back at once, with nothing on it, and perhaps with no memory of its sessions. */
    fun reboot(
        machine: SimulatedMachine,
        blank: Boolean,
    ) {
        empty(machine)
        machine.session = if (blank) 1 else machine.session + 1
        if (blank) machine.sequenceNumber = 0
        if (blank) machine.fencingToken = 0
        machine.lastAnswered = now()
    }

    private suspend fun live(m: SimulatedMachine) {
        delay((m.upAt - now()).inWholeMilliseconds)
        scope.launch {
            while (!m.gone) {
                delay(100)
                lease(m)
                if (m.hungUntil <= now()) work(m)
                check(m)
            }
        }
        var wait = heartbeatInterval()
        while (!m.gone) {
            delay(wait)
            wait = if (m.hungUntil <= now()) heartbeat(m) else heartbeatInterval()
        }
    }

    private fun heartbeatInterval(): Long = random.nextLong(heartbeatMillis * 3 / 4, heartbeatMillis * 5 / 4)

    private fun lease(m: SimulatedMachine) {
        if (now() - m.lastAnswered <= lease) return
        empty(m)
        m.session++
        m.lastAnswered = now()
    }

    private fun work(m: SimulatedMachine) {
        for (p in m.tasks.values) {
            if (p.status == "fetching" && p.ready <= now()) {
                p.status = "running"
                begins(m, p)
            }
            if (p.status == "running" && p.ends <= now()) {
                exit(m, p, if (m.sick) "error" else "done")
                if (!m.sick) {
                    val all = done.getOrPut(p.spec.id.value) { HashSet() }
                    all.add(p.task.index)
                    if (all.size == p.spec.tasks && random.nextDouble() < cancelAtEnd) cancel(p.spec.id.value)
                }
            }
        }
    }

    /** Answered with the time until the next heartbeat: soon if sent on to a named controller, else to the next one. */
    private suspend fun heartbeat(m: SimulatedMachine): Long {
        val sent = now()
        val session = m.session
        m.sequenceNumber++
        val body =
            mapOf(
                "host" to m.name,
                "endpoint" to "",
                "hosttype" to m.offer.type,
                "hall" to m.offer.zone,
                "reclaimable" to m.offer.spot,
                "shift" to m.session,
                "counter" to m.sequenceNumber,
                "warrant" to m.fencingToken,
                "warning_s" to null,
                "pieces" to
                    m.tasks.values.map {
                        mapOf(
                            "piece" to it.task.toString(),
                            "try" to it.attempt,
                            "status" to it.status,
                            "cause" to it.cause,
                        )
                    },
            )
        val to = m.target
        val answer = withTimeoutOrNull(4000) { deliver(to, m, body) }
        if ((answer?.body as? Map<*, *>)?.get("error") == Routes.TOO_BUSY) heartbeatsDropped++
        if (m.gone) return 0
        if (answer == null || answer.status != 200) {
            val named = (answer?.body as? Map<*, *>)?.get("dispatcher") as? String
            val next = members.indexOf(named)
            m.target = if (next >= 0 && next != to) next else (to + 1) % members.size
            return if (next >= 0 && next != to) random.nextLong(0, 500) else 1000
        }
        if (m.hungUntil > now() || m.session != session) return heartbeatInterval()
        val f = Fields.of(Documents.readCbor(Documents.writeCbor(answer.body)))
        if (f.long("warrant") < m.fencingToken) return heartbeatInterval()
        m.fencingToken = f.long("warrant")
        m.lastAnswered = sent
        f.maps("orders").forEach { command(m, it) }
        return heartbeatInterval()
    }

    /** A heartbeat on its way: it may be lost, held back for long, or its answer lost. */
    private suspend fun deliver(
        to: Int,
        m: SimulatedMachine,
        body: Map<String, Any?>,
    ): Response? {
        val zone = m.offer.zone
        delay(transit())
        if (random.nextDouble() < mischief.copied) {
            val copyTo = if (random.nextInt(4) == 0) random.nextInt(members.size) else to
            scope.launch {
                delay(random.nextLong(1000, 45_000))
                controllers[copyTo]?.let { hand(it, "POST", "/agent/beat", body) }
            }
        }
        val controller = controllers[to]
        if (m.muteUntil > now()) return null
        val cut =
            (cutUntil[to to zone] ?: Duration.ZERO) > now() || (zonesCutUntil > now() && settings[to].area != zone)
        val luck = random.nextDouble()
        if (cut || luck < mischief.late) {
            scope.launch {
                delay(random.nextLong(3000, 40_000))
                controllers[to]?.let { hand(it, "POST", "/agent/beat", body) }
            }
            delay(5000)
            return null
        }
        if (controller == null || luck > 1 - mischief.lossy) return null
        val answer = hand(controller, "POST", "/agent/beat", body).await()
        delay(if (m.deafUntil > now()) 5000 else transit())
        return if (random.nextDouble() < mischief.lossy || controllers[to] !== controller) null else answer
    }

    private fun transit(): Long = if (random.nextInt(20) == 0) random.nextLong(100, 3000) else random.nextLong(1, 40)

    private fun hand(
        controller: Controller,
        method: String,
        path: String,
        body: Any?,
    ): CompletableDeferred<Response> {
        val answer = CompletableDeferred<Response>()
        val i = controllers.indexOf(controller)
        if (i >= 0 && isFrozen(i)) {
            // It waits in the socket's buffer, and is read once the controller goes on.
            scope.launch {
                delay((frozenUntil[i] - now()).inWholeMilliseconds + 1)
                if (controllers[i] === controller) handle(controller, method, path, body, answer)
            }
        } else {
            handle(controller, method, path, body, answer)
        }
        return answer
    }

    private fun handle(
        controller: Controller,
        method: String,
        path: String,
        body: Any?,
        answer: CompletableDeferred<Response>,
    ) {
        try {
            controller.handle(
                Request(method, path, if (body == null) ByteArray(0) else Documents.writeCbor(body)),
            ) { answer.complete(it) }
        } catch (e: MalformedMessageException) {
            // As the HTTP server does.
            answer.complete(Response.error(400, e.message ?: "malformed"))
        }
    }

    /** Users upload what workers run. */
    fun upload(spec: JobSpec) {
        specs[spec.id.value] = spec
    }

    /** A request that is under way to a controller. */
    fun send(
        controller: Int,
        method: String,
        path: String,
    ): CompletableDeferred<Response> = hand(requireNotNull(controllers[controller]), method, path, null)

    /** One request to a controller, and its answer. */
    fun ask(
        controller: Int,
        method: String,
        path: String,
        body: Any?,
    ): Response {
        val answer = hand(requireNotNull(controllers[controller]), method, path, body)
        while (!answer.isCompleted) scheduler.advanceTimeBy(10.milliseconds)
        return answer.getCompleted()
    }

    private fun command(
        m: SimulatedMachine,
        f: Fields,
    ) {
        val task = TaskId.parse(f.text("piece")) ?: return broke("an order for ${f.text("piece")}")
        val attempt = f.long("try")
        val here = m.tasks[task]
        when (f.text("verb")) {
            "start" ->
                when {
                    here != null && here.attempt == attempt -> Unit
                    here != null -> broke("$task is told to start on ${m.name} beside another attempt")
                    else -> {
                        // Only what was on its way may still start: told in the time that starts are allowed, and not
                        // dropped by the worker.
                        toldCancelled[task.job.value]?.let {
                            if (now() - it > STARTS_UNDER_WAY) {
                                broke("$task started ${now() - it} after its cancellation was told")
                            }
                        }
                        val spec = specs.getValue(task.job.value)
                        val p = OnMachine(task, attempt, spec)
                        p.ready = now() + random.nextLong(100, 2500).milliseconds
                        val known = done[task.job.value]?.contains(task.index) == true
                        val runTime = (spec.expectedSeconds * random.nextDouble(0.3, 2.0)).seconds
                        p.ends = p.ready + if (known) Duration.ZERO else runTime
                        m.tasks[task] = p
                    }
                }
            "stop" -> if (here != null && here.attempt == attempt && here.status != "ended") exit(m, here, "halted")
            "clear" -> if (here != null && here.attempt == attempt && here.status == "ended") m.tasks.remove(task)
        }
    }

    // ---- the rules ----

    private fun isOn(p: OnMachine) = p.status == "running"

    private fun exit(
        m: SimulatedMachine,
        p: OnMachine,
        cause: String,
    ) {
        leave(m, p)
        p.status = "ended"
        p.cause = cause
    }

    private fun empty(m: SimulatedMachine) {
        m.tasks.values.forEach { leave(m, it) }
        m.tasks.clear()
    }

    private fun leave(
        m: SimulatedMachine,
        p: OnMachine,
    ) {
        if (!isOn(p)) return
        running[p.spec.id.value]?.get(p.task)?.remove(m)
        used.merge(p.spec.team, -p.spec.cpus, Double::plus)
    }

    private fun begins(
        m: SimulatedMachine,
        p: OnMachine,
    ) {
        starts++
        val id = p.spec.id.value
        lastBegun[id] = now()
        val ofJob = running.getOrPut(id) { HashMap() }
        // A hung machine's tasks count until its lease is over.
        for (other in ofJob[p.task].orEmpty()) {
            if (now() - other.lastAnswered <= lease) broke("ran_twice: ${p.task} on ${other.name} and ${m.name}")
        }
        ofJob.getOrPut(p.task) { HashSet() } += m
        val uses = used.merge(p.spec.team, p.spec.cpus, Double::plus) ?: 0.0
        limits[p.spec.team]?.let { if (uses > it + 1e-6) broke("quota: ${p.spec.team} uses $uses") }
        if (p.spec.instanceTypes != null && m.offer.type !in p.spec.instanceTypes.orEmpty()) {
            broke("wrong_place: ${p.task} on ${m.offer}")
        }
        if (p.spec.zone != null && p.spec.zone != m.offer.zone) broke("wrong_place: ${p.task} on ${m.offer}")
        if (m.offer.spot && !p.spec.spot) broke("wrong_place: ${p.task} on ${m.offer}")
        if (p.spec.oneZone || p.spec.spread) {
            val zones = ofJob.values.flatMap { on -> on.map { it.offer.zone } }
            if (p.spec.oneZone && zones.toSet().size > 1) broke("wrong_place: $id in $zones")
            if (p.spec.spread && zones.count { it == m.offer.zone } > p.spec.maxPerZone) {
                broke("wrong_place: $id not spread")
            }
        }
        toldCancelled[id]?.let { if (now() - it > cancelWithin) broke("ran_cancelled: ${p.task} starts") }
        // By the record, not by what is on the machines: a done that is about to be written does not count.
        for (needed in p.spec.dependencies) {
            val end = store.get("end/${needed.value}")?.let { Fields.of(it.data).text("status") }
            if (end != "done" || (done[needed.value]?.size ?: 0) < specs.getValue(needed.value).tasks) {
                broke("too_early: ${p.task} while ${needed.value} is ${end ?: "not over"}")
            }
        }
    }

    /** The job and all that it needs, directly or through others. */
    private fun lineage(id: String): Set<String> {
        val all = LinkedHashSet<String>()
        val open = ArrayDeque(listOf(id))
        while (open.isNotEmpty()) {
            val next = open.removeLast()
            if (all.add(next)) specs.getValue(next).dependencies.forEach { open += it.value }
        }
        return all
    }

    private fun check(m: SimulatedMachine) {
        for (p in m.tasks.values) {
            if (!isOn(p)) continue
            toldCancelled[p.spec.id.value]?.let {
                if (now() - it > cancelWithin && now() - m.lastAnswered <= lease) {
                    broke("ran_cancelled: ${p.task} on ${m.name}")
                }
            }
        }
    }

    // ---- users ----

    fun user(
        spec: JobSpec,
        cancelAfter: Duration?,
    ) {
        val id = spec.id.value
        specs[id] = spec
        scope.launch {
            val line = Line()
            while (spec.dependencies.any { it.value !in accepted }) delay(200)
            while (true) {
                val answer = line.ask("POST", "/api/jobs", spec.toMap())
                if (answer != null && (answer.status == 200 || answer.status == 201)) break
                if (answer != null && answer.status in setOf(400, 422)) {
                    broke("forgotten: $id was answered ${answer.status}")
                }
                delay(1000)
            }
            accepted += id
            var lastAnswer = now()
            if (cancelAfter != null) {
                scope.launch {
                    delay(cancelAfter.inWholeMilliseconds)
                    cancel(id)
                }
            }
            while (true) {
                delay(random.nextLong(2000, 6000))
                val asked = now()
                val answer = line.ask("GET", "/api/jobs/$id", null)
                if (answer?.status == 200) lastAnswer = now()
                if (now() - maxOf(lastAnswer, servedSince) > KNOWN_WITHIN) {
                    broke("forgotten: no question about $id was answered since $lastAnswer")
                }
                if (answer == null) continue
                if (answer.status == 404) broke("forgotten: $id")
                if (answer.status == 200) heard(id, answer, asked)
                // Retries may come at any time, also after the end.
                if (random.nextInt(10) == 0) {
                    now().let { again ->
                        line.ask("POST", "/api/jobs", spec.toMap())?.let {
                            if (it.status == 200) {
                                heard(id, it, again)
                            } else if (it.status == 201) {
                                broke("went_back: $id accepted again")
                            }
                        }
                    }
                }
                if (random.nextInt(10) == 0) {
                    line.ask("GET", "/api/jobs/no-$id", null)?.let { if (it.status == 200) broke("invented: no-$id") }
                }
            }
        }
    }

    /** Asks until it is told that the job is cancelled or done. */
    fun cancel(id: String) {
        if (!askedToCancel.add(id)) return
        scope.launch {
            val line = Line()
            while (true) {
                val asked = now()
                val answer = line.ask("POST", "/api/jobs/$id/cancel", null)
                if (answer?.status == 200) {
                    heard(id, answer, asked)
                    break
                }
                delay(1000)
            }
        }
    }

    /** Accepted jobs that have not ended, of those that nobody called off. */
    fun openJobs(): List<String> = accepted.filter { it !in toldDone && it !in toldCancelled && it !in askedToCancel }

    /** Jobs that have tasks on machines, of those that nobody called off. */
    fun runningJobs(): List<String> =
        running
            .filterValues { tasks ->
                tasks.values.any { it.isNotEmpty() }
            }.keys
            .filter { it in accepted && it !in askedToCancel }

    /** All troubles are over. */
    fun calm() {
        store.out = false
        cloudOut = false
        lateWrites = 0.0
        calmSince = now()
    }

    /** Since when a machine that fits has had room for a task that waits, with its team under its limit. */
    private fun checkWaiting() {
        val since = calmSince ?: return
        // What broke before the calm may take its leases and its returns to settle.
        if (now() - since < SETTLED) return
        for (id in accepted) {
            val spec = specs.getValue(id)
            val on = running[id].orEmpty().values.sumOf { it.size }
            val waits =
                id !in toldDone &&
                    id !in askedToCancel &&
                    spec.dependencies.all { it.value in toldDone } &&
                    on + (done[id]?.size ?: 0) < spec.tasks
            val resources = if (waits) resources(spec) else null
            if (resources == null) {
                idleSince.remove(id)
            } else {
                val from = maxOf(idleSince.getOrPut(id) { now() }, lastBegun[id] ?: Duration.ZERO)
                if (now() - from > 90.seconds) {
                    broke("left waiting: $id since $from, and ${resources.name} (${resources.offer}) has room; $spec")
                }
            }
        }
    }

    private fun resources(spec: JobSpec): SimulatedMachine? {
        if (limits[spec.team]?.let { (used[spec.team] ?: 0.0) + spec.cpus > it + 1e-6 } == true) return null
        val zones = running[spec.id.value].orEmpty().values.flatMap { on -> on.map { it.offer.zone } }
        return machines.values.firstOrNull { m ->
            if (m.gone || m.sick || m.upAt > now()) return@firstOrNull false
            val instanceType = size.instanceTypes.first { it.label == m.offer.type }
            val open = m.tasks.values.filter { it.status != "ended" }
            (spec.instanceTypes == null || m.offer.type in spec.instanceTypes.orEmpty()) &&
                (spec.zone == null || spec.zone == m.offer.zone) &&
                (spec.spot || !m.offer.spot) &&
                (!spec.oneZone || zones.all { it == m.offer.zone }) &&
                zones.count { it == m.offer.zone } < spec.maxPerZone &&
                instanceType.cpus - open.sumOf { it.spec.cpus } >= spec.cpus &&
                instanceType.memoryGb - open.sumOf { it.spec.memoryGb } >= spec.memoryGb
        }
    }

    /**
     * [asked] tells which answers may be older than it: a question that was on its way when the user was told may cross
     * it.
     */
    private fun heard(
        id: String,
        answer: Response,
        asked: Duration,
    ) {
        val word = (answer.body as Map<*, *>)["status"]
        val crossed =
            maxOf(toldDone[id] ?: Duration.ZERO, toldCancelled[id] ?: Duration.ZERO) >= asked &&
                word in setOf("queued", "running")
        if (id in toldDone && word != "done" && !crossed) broke("went_back: $id was done, now $word")
        if (id in toldCancelled && word != "aborted" && !crossed) broke("went_back: $id was cancelled, now $word")
        if (
            word == "done" &&
            toldDone.putIfAbsent(id, now()) == null &&
            (done[id]?.size ?: 0) < specs.getValue(id).tasks
        ) {
            broke("not_done: $id")
        }
        if (word == "queued" || word == "running") {
            // Asked after its user was told of a cancellation that this job goes with.
            lineage(id)
                .firstOrNull {
                    (toldCancelled[it] ?: Duration.INFINITE) < asked
                }?.let { broke("orphaned: $id is $word while $it is cancelled") }
        }
        if (word == "aborted") {
            if (lineage(id).none { it in askedToCancel }) broke("went_back: nobody cancelled $id")
            toldCancelled.putIfAbsent(id, now())
        }
    }

    /** A user's connection: kept while it works, else led to a controller that says it is ready. */
    private inner class Line {
        private var to: Controller? = null

        suspend fun ask(
            method: String,
            path: String,
            body: Any?,
        ): Response? {
            delay(random.nextLong(1, 20))
            val controller = to?.takeIf { it in controllers } ?: ready() ?: return null
            val answer = withTimeoutOrNull(5000) { hand(controller, method, path, body).await() }
            to = controller.takeIf { answer?.close == false }
            return answer
        }

        private suspend fun ready(): Controller? =
            controllers.filterNotNull().shuffled(random).firstOrNull {
                withTimeoutOrNull(PROBE_MILLIS) { hand(it, "GET", "/ready", null).await() }?.status == 200
            }
    }

    /** For a failed run's message: the jobs that have not ended, and the machines. */
    fun open(): String =
        (accepted - toldDone.keys - toldCancelled.keys).joinToString("\n") { id ->
            "$id ${specs[id]} done ${done[id]?.size ?: 0}"
        } + "\n" +
            upMachines().joinToString("\n") { m ->
                val tasks = m.tasks.values.map { "${it.task} ${it.status}" }
                "${m.name} ${m.offer} sick ${m.sick} hung ${m.hungUntil > now()} $tasks"
            }

    fun run(time: Duration) {
        scheduler.advanceTimeBy(time)
        checkWaiting()
        val serving = members.indices.count { controllers[it] != null && !isFrozen(it) && cutFromState[it] <= now() }
        if (store.out || serving == 0) servedSince = now()
    }

    fun end() {
        for (i in members.indices) stopController(i)
        scope.cancel()
        scheduler.runCurrent()
    }

    companion object {
        val KNOWN_WITHIN = 75.seconds

        /** Controllers that answer no ping for so long count as not reached. */
        val PEER_SILENCE = 1500.milliseconds

        /** How long the load balancer waits for an answer to a probe. */
        const val PROBE_MILLIS = 1000L
        val SETTLED = 60.seconds

        /** The hold within which starts are told, and the time after which a worker drops an answer. */
        val STARTS_UNDER_WAY = 8.seconds
    }
}
