package umberslip.sim

import io.micrometer.core.instrument.MeterRegistry
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.cancel
import umberslip.cloud.Offer
import umberslip.core.JobSpec
import umberslip.http.Fields
import umberslip.http.Response
import umberslip.settings.Settings
import umberslip.settings.Tuning
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Several actual controllers with a key-value store, a cloud, workers and users in virtual time. The protocol's rules
 * are checked all the time against what really is on the machines; [violations] has what was found.
 */
@OptIn(ExperimentalCoroutinesApi::class)
class SimulatedCluster(
    seed: Int,
    faultRates: FaultRates,
    size: ClusterSize,
    settingsJson: (String) -> String,
    /** The operators' settings of each controller. */
    tuning: (Int) -> Tuning = { Tuning() },
) {
    private val simulation = Simulation(seed, faultRates, size, settingsJson)
    private val members = simulation.members
    val store = InMemoryKeyValueStore(size, simulation::now)
    private val storeFaults = StoreFaults()
    private val writeBudget = WriteBudget(simulation)
    private val storeLinks =
        List(members.size) { SimulatedStoreLink(it, simulation, store, storeFaults, writeBudget, ::leader) }
    private val rules = ProtocolRules(simulation, store)
    private val workers = SimulatedWorkers(simulation, rules) { controllers }
    private val cloud = SimulatedCloud(simulation, workers)
    private val controllers: SimulatedControllers =
        SimulatedControllers(simulation, tuning, storeLinks::get, cloud::linkOf)
    private val users = SimulatedUsers(simulation, controllers, rules)

    /** Since when there are no faults any more; from a while later on nothing may be left waiting. */
    private var faultsEndedAt: Duration? = null

    /** That share of the jobs that end is cancelled at the moment of the end. */
    var cancelAtEnd = 0.0

    /** While set, the cloud refuses every request. */
    var isCloudUnavailable by cloud::isUnavailable

    /** What the cloud does against its protocol; null while it keeps to it. */
    var cloudMisbehaviour by cloud::misbehaviour

    /** The shares of requests to the cloud that go wrong all the time. */
    var cloudFaultRates by cloud::faultRates

    /** Provisioning requests that reached the cloud. */
    val provisioningRequests: Int get() = cloud.provisioningRequests

    /** While set, responses to provisioning requests take 3.5 s to 5 s. */
    var provisioningSlow by cloud::isProvisioningSlow

    /** That share of transactions gets no response and is carried out 2 to 12 s later, after newer ones. */
    var lateWrites by storeFaults::lateWrites

    /** From then on the key-value store keeps to its lower limits, without notice. */
    var storeLimitsLowered by storeFaults::limitsLowered

    val violations: List<String> get() = simulation.violations
    val starts: Int get() = rules.starts

    /** Heartbeats that were refused since a controller had too many at once. */
    val heartbeatsDropped: Int get() = workers.heartbeatsDropped
    val finishedJobs: Int get() = rules.finishedJobs
    val acceptedJobs: Int get() = rules.acceptedJobs
    val cancelledJobs: Int get() = rules.cancelledJobs

    init {
        workers.onJobCompleted = { if (simulation.random.nextDouble() < cancelAtEnd) users.cancel(it) }
    }

    fun now(): Duration = simulation.now()

    // ---- controllers ----

    /** Takes effect with the next start of the controller. */
    fun configure(
        controller: Int,
        settingsJson: (String) -> String,
    ) {
        simulation.settings[controller] = Settings.parse(settingsJson(members[controller]))
    }

    fun startController(controller: Int) = controllers.start(controller)

    fun stopController(controller: Int) = controllers.stop(controller)

    fun freeze(
        controller: Int,
        time: Duration,
    ) = controllers.freeze(controller, time)

    /** The controller that the leader's record names. */
    fun leader(): Int? = store.get("u/owner")?.let { members.indexOf(Fields.of(it.data).text("member")) }

    /** What the leader's metrics say. */
    fun leaderMetrics(): MeterRegistry? = leader()?.takeIf { it >= 0 }?.let(controllers::metricsOf)

    // ---- the network ----

    fun cutZones(time: Duration) {
        controllers.zonesCutUntil = now() + time
    }

    /** The zone's workers do not reach the controller. */
    fun cut(
        controller: Int,
        zone: String,
        time: Duration,
    ) = workers.cut(controller, zone, time)

    fun cutFromStore(
        controller: Int,
        time: Duration,
    ) {
        storeLinks[controller].cutUntil = now() + time
    }

    /** Its renewals and writes come through, its reads do not. */
    fun cutFromStoreReads(
        controller: Int,
        time: Duration,
    ) {
        storeLinks[controller].readsCutUntil = now() + time
    }

    /** Left with its workers and users alone. */
    fun isolate(
        controller: Int,
        time: Duration,
    ) {
        cutFromStore(controller, time)
        controllers.cutFromPeers(controller, time)
    }

    // ---- machines ----

    fun upMachines(): List<SimulatedMachine> = workers.up()

    /** All machines that were ever provisioned. */
    fun allMachines(): Collection<SimulatedMachine> = workers.all()

    /** How many more machines of an offer the cloud has. */
    fun capacityLeft(offer: Offer): Int = simulation.size.machinesPerOffer - workers.countOf(offer)

    fun kill(machine: SimulatedMachine) = workers.terminate(machine)

    fun hang(
        machine: SimulatedMachine,
        time: Duration,
    ) {
        machine.hungUntil = now() + time
    }

    /** Its heartbeats arrive, their responses do not. */
    fun loseResponses(
        machine: SimulatedMachine,
        time: Duration,
    ) {
        machine.responsesLostUntil = now() + time
    }

    /** It reaches no controller. */
    fun loseHeartbeats(
        machine: SimulatedMachine,
        time: Duration,
    ) {
        machine.heartbeatsLostUntil = now() + time
    }

    /** Ends and comes back at once, with no tasks, and perhaps with no memory of its epochs. */
    fun reboot(
        machine: SimulatedMachine,
        forgetsEpoch: Boolean,
    ) = workers.reboot(machine, forgetsEpoch)

    // ---- users ----

    fun submit(
        spec: JobSpec,
        cancelAfter: Duration?,
    ) = users.submit(spec, cancelAfter)

    fun cancel(id: String) = users.cancel(id)

    /** Makes the job's description known to workers, for tests that submit it themselves. */
    fun upload(spec: JobSpec) = rules.add(spec)

    /** Accepted jobs that have not ended, of those that nobody cancelled. */
    fun openJobs(): List<String> = rules.openJobs()

    /** Accepted jobs, not cancelled, of which some task neither runs nor has completed. */
    fun waitingJobs(): List<JobSpec> = rules.waitingJobs()

    /** Accepted jobs that have tasks on machines, of those that nobody cancelled. */
    fun runningJobs(): List<String> = rules.runningJobs()

    /** A request that is under way to a controller. */
    fun send(
        controller: Int,
        method: String,
        path: String,
    ): CompletableDeferred<Response> = request(controller, method, path, null)

    /** One request to a controller, and its answer. */
    fun ask(
        controller: Int,
        method: String,
        path: String,
        body: Any?,
    ): Response {
        val answer = request(controller, method, path, body)
        while (!answer.isCompleted) simulation.scheduler.advanceTimeBy(10.milliseconds)
        return answer.getCompleted()
    }

    private fun request(
        controller: Int,
        method: String,
        path: String,
        body: Any?,
    ) = controllers.request(requireNotNull(controllers[controller]), method, path, body)

    // ---- time ----

    /** All faults of the store and the cloud are over. */
    fun endFaults() {
        store.out = false
        isCloudUnavailable = false
        lateWrites = 0.0
        faultsEndedAt = now()
    }

    fun run(time: Duration) {
        simulation.scheduler.advanceTimeBy(time)
        // What broke before may take its leases and its terminations to recover.
        val endedAt = faultsEndedAt
        if (endedAt != null && now() - endedAt >= RECOVERY_TIME) rules.checkWaiting(workers.all())
        if (store.out || members.indices.none(::isServing)) users.servedSince = now()
    }

    private fun isServing(controller: Int): Boolean =
        controllers[controller] != null &&
            !controllers.isFrozen(controller) &&
            storeLinks[controller].cutUntil <= now()

    fun end() {
        members.indices.forEach(::stopController)
        simulation.scope.cancel()
        simulation.scheduler.runCurrent()
    }

    /** For a failed run's message: the jobs that have not ended, and the machines. */
    fun describe(): String =
        rules.describeOpenJobs() + "\n" +
            upMachines().joinToString("\n") { machine ->
                val tasks = machine.tasks.values.map { "${it.id} ${it.state.wireName}" }
                "${machine.name} ${machine.offer} faulty=${machine.isFaulty} hung=${machine.hungUntil > now()} $tasks"
            }

    private companion object {
        val RECOVERY_TIME = 60.seconds
    }
}
