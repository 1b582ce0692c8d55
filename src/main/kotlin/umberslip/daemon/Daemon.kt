package umberslip.daemon

import io.micrometer.prometheusmetrics.PrometheusConfig
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import kotlinx.coroutines.CoroutineExceptionHandler
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.asCoroutineDispatcher
import org.slf4j.LoggerFactory
import umberslip.actor.Clock
import umberslip.admission.Admission
import umberslip.admission.AdmissionMessage
import umberslip.agents.Report
import umberslip.cloud.HttpCloud
import umberslip.dispatch.Owner
import umberslip.dispatch.OwnerMessage
import umberslip.fleet.Fleet
import umberslip.http.HttpClient
import umberslip.http.HttpServer
import umberslip.http.Malformed
import umberslip.http.Request
import umberslip.http.Response
import umberslip.ownership.Authority
import umberslip.ownership.Ownership
import umberslip.ownership.OwnershipListener
import umberslip.peers.Peers
import umberslip.peers.PeersMessage
import umberslip.records.JobId
import umberslip.records.JobSpec
import umberslip.records.Reader
import umberslip.records.ReaderMessage
import umberslip.records.RecordEvent
import umberslip.records.RecordView
import umberslip.settings.Settings
import umberslip.settings.Timings
import umberslip.settings.Tuning
import umberslip.state.HttpStateService
import umberslip.state.Pacer
import java.time.Instant
import kotlin.time.Duration
import kotlin.time.TimeSource

/** One controller: everything runs on one thread, which the event loop owns. */
class Daemon(private val settings: Settings, private val tuning: Tuning) {
    private val log = LoggerFactory.getLogger("umberslip.daemon")
    private val group = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
    private val scope = CoroutineScope(
        group.next().asCoroutineDispatcher() + SupervisorJob() +
            CoroutineExceptionHandler { _, e -> LoggerFactory.getLogger("umberslip.daemon").error("unexpected failure", e) },
    )
    private val metrics = PrometheusMeterRegistry(PrometheusConfig.DEFAULT)
    private val origin = TimeSource.Monotonic.markNow()
    private val clock = Clock { origin.elapsedNow() }
    private val wallClock: () -> Instant = Instant::now

    private val limits = settings.stateLimits
    private val state = HttpStateService(
        HttpClient(group, settings.state, MAX_STATE_BODY), Pacer(limits.rps / settings.nodes, clock),
    )
    private val cloud = HttpCloud(HttpClient(group, settings.cloud, MAX_STATE_BODY), Pacer(settings.cloudRps * CLOUD_SHARE, clock))
    private val timings = Timings(settings.workers, tuning)
    private val authority = Authority(timings)
    private val reader: Reader = Reader(scope, state, clock, ::recordsChanged)
    private val peers = Peers(scope, group, settings.member, settings.known) { reader.tell(ReaderMessage.Nudge) }
    private val admission = Admission(
        scope, settings, state, Pacer(limits.writeRps * ACCEPT_SHARE, clock), reader, wallClock, ::announce, metrics,
    )
    private val owner = Owner(
        scope, settings, tuning, timings, state, Pacer(limits.writeRps * OWNER_SHARE, clock), clock, wallClock, authority,
        { reader.tell(ReaderMessage.Nudge) }, metrics,
    )
    private val fleet = Fleet(scope, settings, tuning, cloud, state, authority, owner, clock, wallClock) {
        admission.tell(AdmissionMessage.Flavors(it))
        owner.tell(OwnerMessage.Flavors(it))
    }
    private val ownership = Ownership(
        scope, settings.member, state, reader, authority, timings, clock,
        object : OwnershipListener {
            override fun tookOver(records: RecordView, silentUntil: Duration) {
                fleet.tookOver(records.fleet)
                owner.tell(OwnerMessage.TookOver(records, silentUntil))
            }

            override fun steppedDown() {
                owner.tell(OwnerMessage.SteppedDown)
            }
        },
    )

    /** Whom workers are sent to, as the records last showed. */
    private var ownerMember: String? = null

    fun run() {
        val server = HttpServer(group, settings.sockets - RESERVED_SOCKETS, ::handle).bind(settings.bind)
        peers.bind(settings.peerListen)
        group.next().execute {
            listOf(reader, admission, owner, peers).forEach { it.start() }
            ownership.start()
            fleet.start()
        }
        log.info("controller {} in {} listens on {}", settings.member, settings.area, settings.bind)
        server.closeFuture().sync()
    }

    private fun recordsChanged(events: List<RecordEvent>, began: Duration) {
        authority.read(began)
        for (event in events) {
            if (event !is RecordEvent.OwnerChanged) continue
            ownerMember = event.owner?.value?.member
            if (authority.owns && event.owner?.stamp != authority.stamp) authority.lost("the record names ${ownerMember ?: "nobody"}")
        }
        if (events.isNotEmpty() && authority.owns) owner.tell(OwnerMessage.RecordsChanged(events))
    }

    private fun announce() {
        reader.tell(ReaderMessage.Nudge)
        peers.tell(PeersMessage.Announce)
    }

    // ---- routes ----

    private fun handle(request: Request, respond: (Response) -> Unit) {
        val path = request.path
        when {
            path == "/ready" -> only("GET", request, respond) {
                respond(if (reader.confirmedAt == null) Response.later(1, "the records are not read yet") else Response(200, mapOf("ready" to true)))
            }
            path == "/metrics" -> only("GET", request, respond) { respond(Response(200, null, plain = metrics.scrape())) }
            path == "/agent/beat" -> only("POST", request, respond) { beat(request, respond) }
            path == "/api/jobs" -> only("POST", request, respond) {
                pass(admission.tell(AdmissionMessage.Submit(JobSpec.parse(request.fields()), respond)), respond)
            }
            path.startsWith(JOBS) && path.endsWith(CANCEL) -> only("POST", request, respond) {
                job(path.removeSuffix(CANCEL), respond) { pass(admission.tell(AdmissionMessage.Cancel(it, respond)), respond) }
            }
            path.startsWith(JOBS) -> only("GET", request, respond) {
                job(path, respond) { pass(admission.tell(AdmissionMessage.Status(it, respond)), respond) }
            }
            else -> respond(Response.error(404, "no such path"))
        }
    }

    private fun only(method: String, request: Request, respond: (Response) -> Unit, then: () -> Unit) {
        if (request.method == method) then() else respond(Response.error(405, "only $method"))
    }

    private fun job(path: String, respond: (Response) -> Unit, then: (JobId) -> Unit) {
        val id = JobId.parse(path.removePrefix(JOBS))
        if (id == null) respond(Response.error(404, "no such job")) else then(id)
    }

    private fun pass(taken: Boolean, respond: (Response) -> Unit) {
        if (!taken) respond(Response.later(2, "too busy"))
    }

    private fun beat(request: Request, respond: (Response) -> Unit) {
        if (authority.owns) {
            val report = try {
                Report.parse(request.fields())
            } catch (e: Malformed) {
                log.debug("a report cannot be read: {}", e.message)
                throw e
            }
            pass(owner.tell(OwnerMessage.Reported(report, respond)), respond)
            return
        }
        val other = ownerMember
        respond(Response(421, if (other == null || other == settings.member) emptyMap<String, Any?>() else mapOf("dispatcher" to other)))
    }

    private companion object {
        const val JOBS = "/api/jobs/"
        const val CANCEL = "/cancel"
        const val MAX_STATE_BODY = 8 * 1024 * 1024
        const val RESERVED_SOCKETS = 30
        const val ACCEPT_SHARE = 0.5
        const val OWNER_SHARE = 0.7
        const val CLOUD_SHARE = 0.8
    }
}
