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

/** The actual controllers, started, ended and frozen in virtual time, and the network between them. */
class SimulatedControllers(
    private val simulation: Simulation,
    private val tuning: (Int) -> Tuning,
    private val storeOf: (Int) -> KeyValueStore,
    private val cloudOf: (Int) -> Cloud,
) {
    private val members = simulation.members
    private val controllers = arrayOfNulls<Controller>(members.size)
    private val registries = arrayOfNulls<MeterRegistry>(members.size)
    private val jobs = arrayOfNulls<Job>(members.size)
    private val dispatchers = arrayOfNulls<FreezableDispatcher>(members.size)
    private val frozenSince = arrayOfNulls<Duration>(members.size)
    private val frozenUntil = Array(members.size) { Duration.ZERO }

    /** Until when a controller is cut from the others. */
    private val cutFromPeersUntil = Array(members.size) { Duration.ZERO }

    /** Until when the zones are cut from one another. */
    var zonesCutUntil = Duration.ZERO

    val running: List<Controller> get() = controllers.filterNotNull()

    operator fun get(member: Int): Controller? = controllers[member]

    operator fun contains(controller: Controller): Boolean = controller in controllers

    fun metricsOf(member: Int): MeterRegistry? = if (controllers[member] == null) null else registries[member]

    fun start(member: Int) {
        val job = SupervisorJob()
        jobs[member] = job
        val drift = 1.0 + (member - 1) * CLOCK_DRIFT
        val freezable = FreezableDispatcher(simulation.dispatcher)
        dispatchers[member] = freezable
        val controller =
            Controller(
                CoroutineScope(freezable + job),
                simulation.settings[member],
                tuning(member),
                storeOf(member),
                cloudOf(member),
                Clock { simulation.now() * drift },
                { Instant.ofEpochMilli(EPOCH_MILLIS + simulation.scheduler.currentTime) },
                SimpleMeterRegistry().also { registries[member] = it },
                { announce(member) },
                { reaches(member, members.indexOf(it)) },
                { peerHealth(member) },
                { "" },
            )
        controllers[member] = controller
        controller.start()
    }

    fun stop(member: Int) {
        jobs[member]?.cancel()
        dispatchers[member]?.thaw()
        frozenUntil[member] = Duration.ZERO
        controllers[member] = null
    }

    /** A controller does nothing for a while and then continues from where it was; its clocks run on meanwhile. */
    fun freeze(
        member: Int,
        time: Duration,
    ) {
        val dispatcher = dispatchers[member] ?: return
        if (controllers[member] == null || isFrozen(member)) return
        dispatcher.freeze()
        frozenSince[member] = simulation.now()
        frozenUntil[member] = simulation.now() + time
        simulation.scope.launch {
            delay(time.inWholeMilliseconds)
            dispatcher.thaw()
        }
    }

    fun isFrozen(member: Int): Boolean = frozenUntil[member] > simulation.now()

    fun cutFromPeers(
        member: Int,
        time: Duration,
    ) {
        cutFromPeersUntil[member] = simulation.now() + time
    }

    /** Whether it is frozen for longer than others wait for the answer to a ping. */
    private fun isUnresponsive(member: Int): Boolean {
        val since = frozenSince[member] ?: return false
        return isFrozen(member) && simulation.now() - since > PEER_TIMEOUT
    }

    private fun announce(from: Int) {
        members.indices.forEach { if (it != from && reaches(from, it)) controllers[it]?.refreshRecords() }
    }

    private fun peerHealth(from: Int): PeerHealth {
        val reachable = members.indices.filter { it != from && reaches(from, it) }
        return if (reachable.any { controllers[it]?.isServedByStore() == true }) {
            PeerHealth.SERVED
        } else if (reachable.isEmpty()) {
            PeerHealth.UNREACHABLE
        } else {
            PeerHealth.UNSERVED
        }
    }

    private fun reaches(
        from: Int,
        to: Int,
    ): Boolean {
        val now = simulation.now()
        val zonesAreCut = zonesCutUntil > now && simulation.settings[from].zone != simulation.settings[to].zone
        val peersAreCut = maxOf(cutFromPeersUntil[from], cutFromPeersUntil[to]) > now
        return controllers[to] != null &&
            !isUnresponsive(to) &&
            !peersAreCut &&
            !zonesAreCut &&
            simulation.random.nextInt(PINGS_PER_LOSS) > 0
    }

    /** Hands a request to a controller's HTTP interface; one that is frozen reads it once it continues. */
    fun request(
        controller: Controller,
        method: String,
        path: String,
        body: Any?,
    ): CompletableDeferred<Response> {
        val answer = CompletableDeferred<Response>()
        val member = controllers.indexOf(controller)
        if (member >= 0 && isFrozen(member)) {
            simulation.scope.launch {
                delay((frozenUntil[member] - simulation.now()).inWholeMilliseconds + 1)
                if (controllers[member] === controller) handle(controller, method, path, body, answer)
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
            val bytes = if (body == null) ByteArray(0) else Documents.writeCbor(body)
            controller.handle(Request(method, path, bytes)) { answer.complete(it) }
        } catch (e: MalformedMessageException) {
            // As the HTTP server does.
            answer.complete(Response.error(400, e.message ?: "malformed"))
        }
    }

    private companion object {
        /** By how much the steady clocks of neighbouring members drift apart. */
        const val CLOCK_DRIFT = 0.0005
        const val EPOCH_MILLIS = 1_000_000L

        /** Controllers that answer no ping for so long count as not reached. */
        val PEER_TIMEOUT = 1500.milliseconds

        /** One question in so many whether a peer is reachable is answered wrongly. */
        const val PINGS_PER_LOSS = 20
    }
}
