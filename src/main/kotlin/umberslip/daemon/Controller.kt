package umberslip.daemon

import io.micrometer.core.instrument.MeterRegistry
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.slf4j.LoggerFactory
import umberslip.agents.FollowerLeaseRenewal
import umberslip.api.JobApi
import umberslip.api.JobApiMessage
import umberslip.cloud.Cloud
import umberslip.core.Clock
import umberslip.core.Term
import umberslip.http.Request
import umberslip.http.Response
import umberslip.leadership.LeaderElection
import umberslip.leadership.LeaderLease
import umberslip.leadership.LeadershipListener
import umberslip.leadership.LeadershipMetrics
import umberslip.peers.PeerHealth
import umberslip.provisioning.Provisioner
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
import umberslip.store.RateLimiter
import java.time.Instant
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * A controller without its sockets: creates the actors and connects them to one another. Everything runs on the single
 * thread of [scope]. External dependencies (key-value store, cloud, clocks, other controllers) are passed in.
 */
class Controller(
    private val scope: CoroutineScope,
    private val settings: Settings,
    private val tuning: Tuning,
    private val store: KeyValueStore,
    cloud: Cloud,
    private val clock: Clock,
    private val wallClock: () -> Instant,
    private val metrics: MeterRegistry,
    private val announceToPeers: () -> Unit,
    isReachable: (String) -> Boolean,
    private val peerHealth: () -> PeerHealth,
    scrapeMetrics: () -> String,
) : LeadershipListener {
    private val timings = Timings(settings.workers, tuning)
    private val leaderLease = LeaderLease(timings)
    private val readiness = Readiness(settings.peers.isEmpty())
    private val recordWatcher: RecordWatcher = RecordWatcher(scope, store, clock, settings.sockets, ::recordsChanged)
    private val jobApi = createJobApi()
    private val leader = createLeader()
    private val provisioner =
        Provisioner(scope, settings, tuning, timings, cloud, store, leaderLease, leader, clock, wallClock, metrics) {
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
            this,
        )
    private val leaseRenewal = FollowerLeaseRenewal(settings.sockets)
    private val renewalPublisher = FollowerRenewalPublisher(scope, settings, store, leaseRenewal)
    private val heartbeatReceiver =
        HeartbeatReceiver(
            scope,
            settings,
            leaderLease,
            leader,
            recordWatcher,
            leaseRenewal,
            isReachable,
            ::isServedByStore,
        )
    private val routes = Routes(jobApi, heartbeatReceiver, ::isReady, scrapeMetrics)

    private fun createJobApi() =
        JobApi(
            scope,
            settings,
            store,
            writeRateLimiter(SUBMISSION_SHARE),
            recordWatcher,
            clock,
            wallClock,
            ::announce,
            ::isReady,
            metrics,
        )

    private fun createLeader() =
        Leader(
            scope,
            settings,
            tuning,
            timings,
            store,
            writeRateLimiter(LEADER_SHARE),
            clock,
            wallClock,
            leaderLease,
            ::refreshRecords,
            peerHealth,
            if (tuning.recovery.track) RecoveryMonitor(clock, metrics) else LeaderTermListener.None,
            metrics,
        )

    private fun writeRateLimiter(share: Double): RateLimiter {
        val limits = settings.storeLimits
        return RateLimiter(limits.writeRps * share, clock, limits.nextWriteRps * share)
    }

    fun start() {
        LeadershipMetrics(leaderLease, clock, metrics).register()
        listOf(recordWatcher, jobApi, leader).forEach { it.start() }
        leaderElection.start()
        provisioner.start()
        renewalPublisher.start()
    }

    /** Handles a request of a user, a worker or a health check. [respond] is called exactly once, at once or later. */
    fun handle(
        request: Request,
        respond: (Response) -> Unit,
    ) = routes.handle(request, respond)

    /** Returns whether the key-value store has served this controller recently. */
    fun isServedByStore(): Boolean = readiness.isServed(recordWatcher.confirmedAt, clock.now())

    private fun isReady(): Boolean = readiness.isReady(recordWatcher.confirmedAt, clock.now(), peerHealth())

    /** Requests a read of the records after a write that the leader should see soon. */
    fun refreshRecords() {
        recordWatcher.trySend(RecordWatcherMessage.Refresh)
    }

    /** Requests a read of the records here and at the peers, so that the leader soon sees what was written here. */
    private fun announce() {
        refreshRecords()
        announceToPeers()
    }

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

    private fun recordsChanged(
        events: List<RecordEvent>,
        readBegan: Duration,
    ) {
        leaderLease.recordsRead(readBegan)
        events.filterIsInstance<RecordEvent.LeaderChanged>().forEach(::leaderChanged)
        if (events.isNotEmpty() && leaderLease.isLeader) leader.enqueue(LeaderMessage.RecordsChanged(events))
    }

    private fun leaderChanged(event: RecordEvent.LeaderChanged) {
        val record = event.leader?.value
        heartbeatReceiver.leaderMember = record?.member
        // Compares the terms, since a leader rewrites its own record to fence its late writes.
        if (leaderLease.isLeader && record?.term != leaderLease.term) {
            leaderLease.markLost("the leader's record names ${record?.member ?: "no member"}")
        }
    }

    private companion object {
        /** The shares of the store's write rate limit for this controller's submissions and for its leader actor. */
        const val SUBMISSION_SHARE = 0.5
        const val LEADER_SHARE = 0.7
    }
}
