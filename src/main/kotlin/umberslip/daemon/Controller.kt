package umberslip.daemon

import io.micrometer.core.instrument.MeterRegistry
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.slf4j.LoggerFactory
import umberslip.actor.Clock
import umberslip.admission.Admission
import umberslip.admission.AdmissionMessage
import umberslip.agents.Relay
import umberslip.agents.Report
import umberslip.cloud.Cloud
import umberslip.dispatch.Owner
import umberslip.dispatch.OwnerMessage
import umberslip.fleet.Fleet
import umberslip.http.Malformed
import umberslip.http.NoAnswer
import umberslip.http.Request
import umberslip.http.Response
import umberslip.http.Unavailable
import umberslip.ownership.Authority
import umberslip.ownership.Ownership
import umberslip.ownership.OwnershipListener
import umberslip.peers.PeerHealth
import umberslip.records.HostsRecord
import umberslip.records.JobId
import umberslip.records.JobSpec
import umberslip.records.Keys
import umberslip.records.Reader
import umberslip.records.ReaderMessage
import umberslip.records.RecordEvent
import umberslip.records.RecordView
import umberslip.records.Term
import umberslip.settings.Settings
import umberslip.settings.Timings
import umberslip.settings.Tuning
import umberslip.state.Guard
import umberslip.state.Pacer
import umberslip.state.StateService
import umberslip.state.TxnResult
import umberslip.state.Version
import umberslip.state.Write
import java.time.Instant
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** A controller without its sockets: its actors, and the routes of its HTTP interface. */
class Controller(
    private val scope: CoroutineScope,
    private val settings: Settings,
    tuning: Tuning,
    private val state: StateService,
    cloud: Cloud,
    private val clock: Clock,
    wallClock: () -> Instant,
    metrics: MeterRegistry,
    private val tellPeers: () -> Unit,
    private val reaches: (String) -> Boolean,
    private val peerHealth: () -> PeerHealth,
    private val scrape: () -> String,
) {
    private val log = LoggerFactory.getLogger("umberslip.daemon")
    private val timings = Timings(settings.workers, tuning)
    private val authority = Authority(timings)
    private val reader: Reader = Reader(scope, state, clock, settings.sockets, ::recordsChanged)
    private val admission =
        Admission(
            scope,
            settings,
            state,
            writes(ACCEPT_SHARE),
            reader,
            clock,
            wallClock,
            ::announce,
            ::ready,
            metrics,
        )
    private val owner =
        Owner(
            scope,
            settings,
            tuning,
            timings,
            state,
            writes(OWNER_SHARE),
            clock,
            wallClock,
            authority,
            { reader.tell(ReaderMessage.Nudge) },
            peerHealth,
            metrics,
        )
    private val fleet =
        Fleet(scope, settings, tuning, timings, cloud, state, authority, owner, clock, wallClock) {
            admission.post(AdmissionMessage.Flavors(it))
            owner.post(OwnerMessage.Flavors(it))
        }
    private val ownership =
        Ownership(
            scope,
            settings.member,
            state,
            reader,
            authority,
            timings,
            clock,
            peerHealth,
            object : OwnershipListener {
                override fun tookOver(
                    records: RecordView,
                    silentUntil: Duration,
                ) {
                    fleet.tookOver(records.fleet, authority.term == Term(1))
                    owner.post(OwnerMessage.TookOver(records, silentUntil))
                }

                override fun steppedDown() {
                    owner.post(OwnerMessage.SteppedDown)
                }
            },
        )

    private val readiness = Readiness(settings.known.isEmpty())
    private var relaying = 0
    private val malformed = HashSet<String>()
    private val relay = Relay(settings.sockets)
    private var noteVersion: Version? = null

    private fun writes(share: Double) =
        Pacer(
            settings.stateLimits.writeRps * share,
            clock,
            settings.stateLimits.nextWriteRps * share,
        )

    /** Whom workers are sent to, as the records last showed. */
    private var ownerMember: String? = null

    fun start() {
        listOf(reader, admission, owner).forEach { it.start() }
        ownership.start()
        fleet.start()
        scope.launch {
            while (true) {
                delay(NOTE_EVERY)
                noteRelayed()
            }
        }
    }

    /** Tells the owner, which the workers cannot reach, that they are alive; a late copy of a note changes nothing. */
    private suspend fun noteRelayed() {
        val hosts = relay.takeHeard(settings.stateLimits.valueBytes)
        if (hosts.isEmpty()) return
        val key = Keys.relayed(settings.member)
        try {
            val version = noteVersion ?: state.get(key)?.version ?: Version.NONE
            noteVersion = null
            val result = state.txn(listOf(Guard(key, version)), listOf(Write.Put(key, HostsRecord(hosts).toMap())))
            if (result is TxnResult.Applied) noteVersion = result.version
        } catch (e: Unavailable) {
            log.debug("relayed machines not noted: {}", e.message)
        } catch (e: NoAnswer) {
            log.debug("relayed machines perhaps not noted: {}", e.message)
        }
    }

    fun served(): Boolean = readiness.served(reader.confirmedAt, clock.now())

    private fun ready(): Boolean = readiness.ready(reader.confirmedAt, clock.now(), peerHealth())

    /** Another controller wrote something that the owner should see soon. */
    fun news() {
        reader.tell(ReaderMessage.Nudge)
    }

    private fun recordsChanged(
        events: List<RecordEvent>,
        began: Duration,
    ) {
        authority.read(began)
        for (event in events) {
            if (event !is RecordEvent.OwnerChanged) continue
            ownerMember = event.owner?.value?.member
            // By the term, since an owner that fences its late writes puts its own record anew.
            if (authority.owns && event.owner?.value?.term != authority.term) {
                authority.lost("the record names ${ownerMember ?: "nobody"}")
            }
        }
        if (events.isNotEmpty() && authority.owns) owner.post(OwnerMessage.RecordsChanged(events))
    }

    private fun announce() {
        reader.tell(ReaderMessage.Nudge)
        tellPeers()
    }

    // ---- routes ----

    fun handle(
        request: Request,
        respond: (Response) -> Unit,
    ) {
        val path = request.path
        when {
            path == "/ready" ->
                only("GET", request, respond) {
                    respond(
                        if (ready()) {
                            Response(200, mapOf("ready" to true))
                        } else {
                            Response.later(1, "the state service does not serve this controller")
                        },
                    )
                }
            path == "/metrics" -> only("GET", request, respond) { respond(Response(200, null, plain = scrape())) }
            path == "/agent/beat" -> only("POST", request, respond) { beat(request, respond) }
            path == "/api/jobs" ->
                only("POST", request, respond) {
                    pass(admission.tell(AdmissionMessage.Submit(JobSpec.parse(request.fields()), respond)), respond)
                }
            path.startsWith(JOBS) && path.endsWith(CANCEL) ->
                only("POST", request, respond) {
                    job(path.removeSuffix(CANCEL), respond) {
                        pass(admission.tell(AdmissionMessage.Cancel(it, respond)), respond)
                    }
                }
            path.startsWith(JOBS) ->
                only("GET", request, respond) {
                    job(path, respond) { pass(admission.tell(AdmissionMessage.Status(it, respond)), respond) }
                }
            else -> respond(Response.error(404, "no such path"))
        }
    }

    private fun only(
        method: String,
        request: Request,
        respond: (Response) -> Unit,
        then: () -> Unit,
    ) {
        if (request.method == method) then() else respond(Response.error(405, "only $method"))
    }

    private fun job(
        path: String,
        respond: (Response) -> Unit,
        then: (JobId) -> Unit,
    ) {
        val id = JobId.parse(path.removePrefix(JOBS))
        if (id == null) respond(Response.error(404, "no such job")) else then(id)
    }

    private fun pass(
        taken: Boolean,
        respond: (Response) -> Unit,
    ) {
        if (!taken) respond(Response.later(2, TOO_BUSY))
    }

    private fun beat(
        request: Request,
        respond: (Response) -> Unit,
    ) {
        if (authority.owns) {
            pass(owner.tell(OwnerMessage.Reported(read(request), respond)), respond)
            return
        }
        val other = ownerMember?.takeIf { it != settings.member }
        if (other != null && reaches(other)) {
            respond(Response(421, mapOf("dispatcher" to other)))
            return
        }
        // Sent to a controller that cannot be reached, a worker would lose seconds of its lease there.
        // Here its lease is renewed while the record stands; else it asks around. The record may be that
        // of this member's former process: after all have ended, every second of a lease counts.
        if (ownerMember == null || relaying >= settings.sockets) {
            respond(Response.NOT_HERE)
            return
        }
        val report = read(request)
        if (!served() || !relay.isNew(report)) {
            respond(Response.NOT_HERE)
            return
        }
        relaying++
        scope.launch {
            val answer = reader.confirm()?.let { Relay.answer(report, it) }
            relaying--
            respond(
                if (answer == null) {
                    Response.NOT_HERE
                } else {
                    Response(200, mapOf("warrant" to answer.first, "orders" to answer.second.map { it.toMap() }))
                },
            )
        }
    }

    private fun read(request: Request): Report =
        try {
            Report.parse(request.body)
        } catch (e: Malformed) {
            complain(request, e)
            throw e
        }

    /** Once for each machine, not for each report. */
    private fun complain(
        request: Request,
        e: Malformed,
    ) {
        val host =
            try {
                request.fields().textOrNull("host")
            } catch (_: Malformed) {
                null
            }
        if (malformed.size < MAX_COMPLAINTS && malformed.add(host.orEmpty())) {
            log.info("reports of {} cannot be read: {}", host ?: "some machine", e.message)
        }
    }

    companion object {
        /** The error of a request for which there was no room in a mailbox. */
        const val TOO_BUSY = "too busy"

        private const val MAX_COMPLAINTS = 2000
        private const val JOBS = "/api/jobs/"
        private const val CANCEL = "/cancel"
        private const val ACCEPT_SHARE = 0.5
        private const val OWNER_SHARE = 0.7
        private val NOTE_EVERY = 3.seconds
    }
}
