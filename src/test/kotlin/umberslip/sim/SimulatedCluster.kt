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
 * A cluster in virtual time: the production controllers with a simulated key-value store, cloud, workers and users. The
 * protocol's rules are checked continuously against the actual state of the machines; [violations] lists the findings.
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

    /** When [endFaults] was called; null before. */
    private var faultsEndedAt: Duration? = null

    /** The share of jobs that are cancelled at the moment when their last task completes. */
    var cancelAtEnd = 0.0

    /** While set, the cloud refuses every request as unavailable. */
    var isCloudUnavailable by cloud::isUnavailable

    /** How the cloud violates its protocol; null while it follows it. */
    var cloudMisbehaviour by cloud::misbehaviour

    /** The shares of requests to the cloud that fail throughout the run, in addition to outages. */
    var cloudFaultRates by cloud::faultRates

    /** The number of provisioning requests that reached the cloud, including those that it rejected. */
    val provisioningRequests: Int get() = cloud.provisioningRequests

    /** While set, responses to provisioning requests take 3.5 s to 5 s, just less than the time-out. */
    var provisioningSlow by cloud::isProvisioningSlow

    /** The share of transactions that get no response and are carried out 2 s to 12 s later, after newer ones. */
    var lateWrites by storeFaults::lateWrites

    /** Once set, the key-value store enforces its announced lower write rate, without notice. */
    var storeLimitsLowered by storeFaults::limitsLowered

    val violations: List<String> get() = simulation.violations
    val starts: Int get() = rules.starts

    /** The number of heartbeats that a controller refused because it had too many at once. */
    val heartbeatsDropped: Int get() = workers.heartbeatsDropped
    val finishedJobs: Int get() = rules.finishedJobs
    val acceptedJobs: Int get() = rules.acceptedJobs
    val cancelledJobs: Int get() = rules.cancelledJobs

    init {
        workers.onJobCompleted = { if (simulation.random.nextDouble() < cancelAtEnd) users.cancel(it) }
    }

    fun now(): Duration = simulation.now()

    // ---- controllers ----

    /** Changes the settings of a controller, with effect from its next start. */
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
        duration: Duration,
    ) = controllers.freeze(controller, duration)

    /** Returns the controller that the leader's record names, or null if there is no such record. */
    fun leader(): Int? = store.get("u/owner")?.let { members.indexOf(Fields.of(it.data).text("member")) }

    /** Returns the metrics of the leader, or null if there is no leader or it is not running. */
    fun leaderMetrics(): MeterRegistry? = leader()?.takeIf { it >= 0 }?.let(controllers::metricsOf)

    // ---- the network ----

    fun cutZones(duration: Duration) {
        controllers.zonesCutUntil = now() + duration
    }

    /** Cuts the zone's workers off from the controller. */
    fun cut(
        controller: Int,
        zone: String,
        duration: Duration,
    ) = workers.cut(controller, zone, duration)

    fun cutFromStore(
        controller: Int,
        duration: Duration,
    ) {
        storeLinks[controller].cutUntil = now() + duration
    }

    /** Refuses the controller's reads of the key-value store; its lease renewals and writes still get through. */
    fun cutFromStoreReads(
        controller: Int,
        duration: Duration,
    ) {
        storeLinks[controller].readsCutUntil = now() + duration
    }

    /**
     * Cuts the controller off from the key-value store and the other controllers. Workers and users still reach it.
     */
    fun isolate(
        controller: Int,
        duration: Duration,
    ) {
        cutFromStore(controller, duration)
        controllers.cutFromPeers(controller, duration)
    }

    // ---- machines ----

    fun upMachines(): List<SimulatedMachine> = workers.findUp()

    /** Returns all machines that were ever provisioned, including terminated ones. */
    fun allMachines(): Collection<SimulatedMachine> = workers.allMachines()

    /** Returns how many more machines of the offer the cloud can provision. */
    fun capacityLeft(offer: Offer): Int = simulation.size.machinesPerOffer - workers.countMachines(offer)

    fun kill(machine: SimulatedMachine) = workers.terminate(machine)

    fun hang(
        machine: SimulatedMachine,
        duration: Duration,
    ) {
        machine.hungUntil = now() + duration
    }

    /** Loses the responses to the machine's heartbeats; the heartbeats themselves still arrive. */
    fun loseResponses(
        machine: SimulatedMachine,
        duration: Duration,
    ) {
        machine.responsesLostUntil = now() + duration
    }

    /** Loses the machine's heartbeats, so that it reaches no controller. */
    fun loseHeartbeats(
        machine: SimulatedMachine,
        duration: Duration,
    ) {
        machine.heartbeatsLostUntil = now() + duration
    }

    /**
     * Reboots the machine, which takes no time and ends its tasks. If it [forgetsEpoch], it starts again with the first
     * epoch and without its sequence number and fencing token; otherwise it begins the next epoch.
     */
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

    /** Registers the job's spec with the simulated workers, for tests that submit the job themselves. */
    fun upload(spec: JobSpec) = rules.register(spec)

    /** Returns the accepted jobs that have not ended and for which no cancellation was requested. */
    fun openJobs(): List<String> = rules.openJobs()

    /**
     * Returns the accepted jobs whose dependencies are done and of which some task neither runs nor has completed. Jobs
     * for which a cancellation was requested are left out.
     */
    fun waitingJobs(): List<JobSpec> = rules.waitingJobs()

    /** Returns the accepted jobs that have running tasks and for which no cancellation was requested. */
    fun runningJobs(): List<String> = rules.runningJobs()

    /** Sends a request to a controller without waiting for the response. */
    fun send(
        controller: Int,
        method: String,
        path: String,
    ): CompletableDeferred<Response> = request(controller, method, path, null)

    /** Sends a request to a controller, lets time pass until it is answered, and returns the response. */
    fun ask(
        controller: Int,
        method: String,
        path: String,
        body: Any?,
    ): Response {
        val response = request(controller, method, path, body)
        while (!response.isCompleted) simulation.scheduler.advanceTimeBy(10.milliseconds)
        return response.getCompleted()
    }

    private fun request(
        controller: Int,
        method: String,
        path: String,
        body: Any?,
    ) = controllers.request(requireNotNull(controllers[controller]), method, path, body)

    // ---- time ----

    /**
     * Ends the outages of the key-value store and the cloud, and the late writes. After [RECOVERY_TIME], the rule that
     * jobs do not wait beside free resources is checked, too.
     */
    fun endFaults() {
        store.out = false
        isCloudUnavailable = false
        lateWrites = 0.0
        faultsEndedAt = now()
    }

    fun run(duration: Duration) {
        simulation.scheduler.advanceTimeBy(duration)
        // Recovery from the faults may have to wait for leases to expire and for machines to be terminated.
        val endedAt = faultsEndedAt
        if (endedAt != null && now() - endedAt >= RECOVERY_TIME) rules.checkWaiting(workers.allMachines())
        if (store.out || members.indices.none(::isServing)) users.serviceAvailableSince = now()
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

    /** Describes the jobs that have not ended and the machines that are up, for the message of a failed run. */
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
