package umberslip.sim

import io.micrometer.core.instrument.MeterRegistry
import io.micrometer.core.instrument.simple.SimpleMeterRegistry
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import umberslip.cloud.Cloud
import umberslip.core.Clock
import umberslip.daemon.Controller
import umberslip.http.Documents
import umberslip.http.MalformedMessageException
import umberslip.http.Request
import umberslip.http.Response
import umberslip.peers.PeerHealth
import umberslip.settings.Tuning
import umberslip.store.KeyValueStore
import java.time.Instant
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** The production controllers, run, stopped and frozen in virtual time, and the network between them. */
class SimulatedControllers(
    private val simulation: Simulation,
    private val tuning: (Int) -> Tuning,
    private val storeOf: (Int) -> KeyValueStore,
    private val cloudOf: (Int) -> Cloud,
) {
    private val members = simulation.members
    private val controllers = arrayOfNulls<Controller>(members.size)
    private val registries = arrayOfNulls<MeterRegistry>(members.size)
    private val coroutineJobs = arrayOfNulls<Job>(members.size)
    private val dispatchers = arrayOfNulls<FreezableDispatcher>(members.size)
    private val frozenSince = arrayOfNulls<Duration>(members.size)
    private val frozenUntil = Array(members.size) { Duration.ZERO }

    /** The time until which each controller is cut off from the other controllers. */
    private val cutFromPeersUntil = Array(members.size) { Duration.ZERO }

    /** The time until which the zones cannot reach one another. */
    var zonesCutUntil = Duration.ZERO

    val running: List<Controller> get() = controllers.filterNotNull()

    operator fun get(member: Int): Controller? = controllers[member]

    operator fun contains(controller: Controller): Boolean = controller in controllers

    fun metricsOf(member: Int): MeterRegistry? = if (controllers[member] == null) null else registries[member]

    fun start(member: Int) {
        val coroutineJob = SupervisorJob()
        coroutineJobs[member] = coroutineJob
        val clockRate = 1.0 + (member - 1) * CLOCK_DRIFT
        val dispatcher = FreezableDispatcher(simulation.dispatcher)
        dispatchers[member] = dispatcher
        val controller =
            Controller(
                CoroutineScope(dispatcher + coroutineJob),
                simulation.settings[member],
                tuning(member),
                storeOf(member),
                cloudOf(member),
                Clock { simulation.now() * clockRate },
                { Instant.ofEpochMilli(EPOCH_MILLIS + simulation.scheduler.currentTime) },
                SimpleMeterRegistry().also { registries[member] = it },
                { notifyPeers(member) },
                { canReach(member, members.indexOf(it)) },
                { peerHealth(member) },
                { "" },
            )
        controllers[member] = controller
        controller.start()
    }

    fun stop(member: Int) {
        coroutineJobs[member]?.cancel()
        dispatchers[member]?.thaw()
        frozenUntil[member] = Duration.ZERO
        controllers[member] = null
    }

    /** Suspends a controller for a while. It then continues where it was. Its clocks keep running meanwhile. */
    fun freeze(
        member: Int,
        duration: Duration,
    ) {
        val dispatcher = dispatchers[member] ?: return
        if (controllers[member] == null || isFrozen(member)) return
        dispatcher.freeze()
        frozenSince[member] = simulation.now()
        frozenUntil[member] = simulation.now() + duration
        simulation.scope.launch {
            delay(duration.inWholeMilliseconds)
            dispatcher.thaw()
        }
    }

    fun isFrozen(member: Int): Boolean = frozenUntil[member] > simulation.now()

    fun cutFromPeers(
        member: Int,
        duration: Duration,
    ) {
        cutFromPeersUntil[member] = simulation.now() + duration
    }

    /** Returns whether the controller has been frozen for longer than its peers wait for the response to a ping. */
    private fun isUnresponsive(member: Int): Boolean {
        val since = frozenSince[member] ?: return false
        return isFrozen(member) && simulation.now() - since > PEER_TIMEOUT
    }

    private fun notifyPeers(from: Int) {
        members.indices.forEach { if (it != from && canReach(from, it)) controllers[it]?.refreshRecords() }
    }

    private fun peerHealth(from: Int): PeerHealth {
        val reachable = members.indices.filter { it != from && canReach(from, it) }
        return if (reachable.any { controllers[it]?.isServedByStore() == true }) {
            PeerHealth.SERVED
        } else if (reachable.isEmpty()) {
            PeerHealth.UNREACHABLE
        } else {
            PeerHealth.UNSERVED
        }
    }

    private fun canReach(
        from: Int,
        to: Int,
    ): Boolean {
        val now = simulation.now()
        val areZonesCut = zonesCutUntil > now && simulation.settings[from].zone != simulation.settings[to].zone
        val isCutFromPeers = maxOf(cutFromPeersUntil[from], cutFromPeersUntil[to]) > now
        return controllers[to] != null &&
            !isUnresponsive(to) &&
            !isCutFromPeers &&
            !areZonesCut &&
            simulation.random.nextInt(PINGS_PER_LOSS) > 0
    }

    /** Hands a request to a controller's HTTP interface. A frozen controller handles it once it continues. */
    fun request(
        controller: Controller,
        method: String,
        path: String,
        body: Any?,
    ): CompletableDeferred<Response> {
        val response = CompletableDeferred<Response>()
        val member = controllers.indexOf(controller)
        if (member >= 0 && isFrozen(member)) {
            simulation.scope.launch {
                delay((frozenUntil[member] - simulation.now()).inWholeMilliseconds + 1)
                if (controllers[member] === controller) handle(controller, method, path, body, response)
            }
        } else {
            handle(controller, method, path, body, response)
        }
        return response
    }

    private fun handle(
        controller: Controller,
        method: String,
        path: String,
        body: Any?,
        response: CompletableDeferred<Response>,
    ) {
        try {
            val bytes = if (body == null) ByteArray(0) else Documents.writeCbor(body)
            controller.handle(Request(method, path, bytes)) { response.complete(it) }
        } catch (e: MalformedMessageException) {
            // The HTTP server answers malformed requests in the same way.
            response.complete(Response.error(400, e.message ?: "malformed"))
        }
    }

    private companion object {
        /** The difference between the rates of the monotonic clocks of members with consecutive numbers. */
        const val CLOCK_DRIFT = 0.0005
        const val EPOCH_MILLIS = 1_000_000L

        /** A controller that has been frozen for longer than this counts as unreachable, since it answers no ping. */
        val PEER_TIMEOUT = 1500.milliseconds

        /** One ping in this many is lost, so that a reachable peer counts as unreachable. */
        const val PINGS_PER_LOSS = 20
    }
}
