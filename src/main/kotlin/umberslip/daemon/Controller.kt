package umberslip.daemon

import io.micrometer.core.instrument.MeterRegistry
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.slf4j.LoggerFactory
import umberslip.agents.FollowerLeaseRenewal
import umberslip.agents.Heartbeat
import umberslip.api.JobApi
import umberslip.api.JobApiMessage
import umberslip.cloud.Cloud
import umberslip.core.Clock
import umberslip.core.JobId
import umberslip.core.Term
import umberslip.http.MalformedMessageException
import umberslip.http.NoResponseException
import umberslip.http.Request
import umberslip.http.Response
import umberslip.http.ServiceUnavailableException
import umberslip.leadership.LeaderElection
import umberslip.leadership.LeaderLease
import umberslip.leadership.LeadershipListener
import umberslip.peers.PeerHealth
import umberslip.provisioning.Provisioner
import umberslip.records.JobSpecCodec
import umberslip.records.Keys
import umberslip.records.MachineSetRecord
import umberslip.records.RecordEvent
import umberslip.records.RecordView
import umberslip.records.RecordWatcher
import umberslip.records.RecordWatcherMessage
import umberslip.recovery.RecoveryMonitor
import umberslip.scheduling.Leader
import umberslip.scheduling.LeaderMessage
import umberslip.scheduling.LeaderTermListener
import umberslip.settings.Settings
import umberslip.settings.Timings
import umberslip.settings.Tuning
import umberslip.store.KeyValueStore
import umberslip.store.Precondition
import umberslip.store.RateLimiter
import umberslip.store.TransactionResult
import umberslip.store.Version
import umberslip.store.Write
import java.time.Instant
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** A controller without its sockets: its actors, and the routes of its HTTP interface. */
class Controller(
    private val scope: CoroutineScope,
    private val settings: Settings,
    tuning: Tuning,
    private val store: KeyValueStore,
    cloud: Cloud,
    private val clock: Clock,
    wallClock: () -> Instant,
    metrics: MeterRegistry,
    private val announceToPeers: () -> Unit,
    private val reaches: (String) -> Boolean,
    private val peerHealth: () -> PeerHealth,
    private val scrape: () -> String,
) {
    private val log = LoggerFactory.getLogger("umberslip.daemon")
    private val timings = Timings(settings.workers, tuning)
    private val leaderLease = LeaderLease(timings)
    private val recordWatcher: RecordWatcher = RecordWatcher(scope, store, clock, settings.sockets, ::recordsChanged)
    private val jobApi =
        JobApi(
            scope,
            settings,
            store,
            writes(ACCEPT_SHARE),
            recordWatcher,
            clock,
            wallClock,
            ::announce,
            ::ready,
            metrics,
        )
    private val leader =
        Leader(
            scope,
            settings,
            tuning,
            timings,
            store,
            writes(LEADER_SHARE),
            clock,
            wallClock,
            leaderLease,
            { recordWatcher.trySend(RecordWatcherMessage.Refresh) },
            peerHealth,
            if (tuning.recovery.track) RecoveryMonitor(clock, metrics) else LeaderTermListener.None,
            metrics,
        )
    private val provisioner =
        Provisioner(scope, settings, tuning, timings, cloud, store, leaderLease, leader, clock, wallClock) {
            jobApi.enqueue(JobApiMessage.InstanceTypesChanged(it))
            leader.enqueue(LeaderMessage.InstanceTypesChanged(it))
        }
    private val leaderElection =
        LeaderElection(
            scope,
            settings.member,
            store,
            recordWatcher,
            leaderLease,
            timings,
            clock,
            peerHealth,
            object : LeadershipListener {
                override fun elected(
                    records: RecordView,
                    formerLeaseExpiry: Duration,
                ) {
                    provisioner.elected(records.bootingMachines, leaderLease.term == Term.FIRST)
                    leader.enqueue(LeaderMessage.Elected(records, formerLeaseExpiry))
                }

                override fun steppedDown() {
                    leader.enqueue(LeaderMessage.SteppedDown)
                }
            },
        )

    private val readiness = Readiness(settings.known.isEmpty())
    private var renewalsInFlight = 0
    private val malformed = HashSet<String>()
    private val followerLeaseRenewal = FollowerLeaseRenewal(settings.sockets)
    private var noteVersion: Version? = null

    private fun writes(share: Double) =
        RateLimiter(
            settings.storeLimits.writeRps * share,
            clock,
            settings.storeLimits.nextWriteRps * share,
        )

    /** Whom workers are sent to, as the records last showed. */
    private var leaderMember: String? = null

    fun start() {
        listOf(recordWatcher, jobApi, leader).forEach { it.start() }
        leaderElection.start()
        provisioner.start()
        scope.launch {
            while (true) {
                delay(NOTE_EVERY)
                publishRenewals()
            }
        }
    }

    /** Tells the leader, which the workers cannot reach, that they are alive; a late copy of a note changes nothing. */
    private suspend fun publishRenewals() {
        val machineNames = followerLeaseRenewal.takeRenewed(settings.storeLimits.valueBytes)
        if (machineNames.isEmpty()) return
        val key = Keys.renewedByFollower(settings.member)
        try {
            val version = noteVersion ?: store.get(key)?.version ?: Version.NONE
            noteVersion = null
            val result = store.compareAndSwap(listOf(Precondition(key, version)), listOf(Write.Put(key, MachineSetRecord(machineNames).toMap())))
            if (result is TransactionResult.Applied) noteVersion = result.version
        } catch (e: ServiceUnavailableException) {
            log.debug("relayed machines not noted: {}", e.message)
        } catch (e: NoResponseException) {
            log.debug("relayed machines perhaps not noted: {}", e.message)
        }
    }

    fun served(): Boolean = readiness.served(recordWatcher.confirmedAt, clock.now())

    private fun ready(): Boolean = readiness.ready(recordWatcher.confirmedAt, clock.now(), peerHealth())

    /** Another controller wrote something that the leader should see soon. */
    fun refreshRecords() {
        recordWatcher.trySend(RecordWatcherMessage.Refresh)
    }

    private fun recordsChanged(
        events: List<RecordEvent>,
        began: Duration,
    ) {
        leaderLease.read(began)
        for (event in events) {
            if (event !is RecordEvent.LeaderChanged) continue
            leaderMember = event.leader?.value?.member
            // By the term, since an leader that fences its late writes puts its own record anew.
            if (leaderLease.isLeader && event.leader?.value?.term != leaderLease.term) {
                leaderLease.lost("the record names ${leaderMember ?: "nobody"}")
            }
        }
        if (events.isNotEmpty() && leaderLease.isLeader) leader.enqueue(LeaderMessage.RecordsChanged(events))
    }

    private fun announce() {
        recordWatcher.trySend(RecordWatcherMessage.Refresh)
        announceToPeers()
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
                            Response.retryAfter(1, "the state service does not serve this controller")
                        },
                    )
                }
            path == "/metrics" -> only("GET", request, respond) { respond(Response(200, null, plain = scrape())) }
            path == "/agent/beat" -> only("POST", request, respond) { beat(request, respond) }
            path == "/api/jobs" ->
                only("POST", request, respond) {
                    pass(jobApi.trySend(JobApiMessage.Submit(JobSpecCodec.parse(request.fields()), respond)), respond)
                }
            path.startsWith(JOBS) && path.endsWith(CANCEL) ->
                only("POST", request, respond) {
                    job(path.removeSuffix(CANCEL), respond) {
                        pass(jobApi.trySend(JobApiMessage.Cancel(it, respond)), respond)
                    }
                }
            path.startsWith(JOBS) ->
                only("GET", request, respond) {
                    job(path, respond) { pass(jobApi.trySend(JobApiMessage.Status(it, respond)), respond) }
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
        if (!taken) respond(Response.retryAfter(2, TOO_BUSY))
    }

    private fun beat(
        request: Request,
        respond: (Response) -> Unit,
    ) {
        if (leaderLease.isLeader) {
            pass(leader.trySend(LeaderMessage.HeartbeatReceived(read(request), respond)), respond)
            return
        }
        val other = leaderMember?.takeIf { it != settings.member }
        if (other != null && reaches(other)) {
            respond(Response(421, mapOf("dispatcher" to other)))
            return
        }
        // Sent to a controller that cannot be reached, a worker would lose seconds of its lease there.
        // Here its lease is renewed while the record stands; else it asks around. The record may be that
        // of this member's former process: after all have ended, every second of a lease counts.
        if (leaderMember == null || renewalsInFlight >= settings.sockets) {
            respond(Response.MISDIRECTED)
            return
        }
        val heartbeat = read(request)
        if (!served() || !followerLeaseRenewal.isNew(heartbeat)) {
            respond(Response.MISDIRECTED)
            return
        }
        renewalsInFlight++
        scope.launch {
            val answer = recordWatcher.confirm()?.let { FollowerLeaseRenewal.answer(heartbeat, it) }
            renewalsInFlight--
            respond(
                if (answer == null) Response.MISDIRECTED else Response(200, answer.toMap()),
            )
        }
    }

    private fun read(request: Request): Heartbeat =
        try {
            Heartbeat.parse(request.body)
        } catch (e: MalformedMessageException) {
            complain(request, e)
            throw e
        }

    /** Once for each machine, not for each heartbeat. */
    private fun complain(
        request: Request,
        e: MalformedMessageException,
    ) {
        val machineName =
            try {
                request.fields().textOrNull("host")
            } catch (_: MalformedMessageException) {
                null
            }
        if (malformed.size < MAX_COMPLAINTS && malformed.add(machineName.orEmpty())) {
            log.info("reports of {} cannot be read: {}", machineName ?: "some machine", e.message)
        }
    }

    companion object {
        /** The error of a request for which there was no room in a mailbox. */
        const val TOO_BUSY = "too busy"

        private const val MAX_COMPLAINTS = 2000
        private const val JOBS = "/api/jobs/"
        private const val CANCEL = "/cancel"
        private const val ACCEPT_SHARE = 0.5
        private const val LEADER_SHARE = 0.7
        private val NOTE_EVERY = 3.seconds
    }
}
