package umberslip.scheduling

import io.micrometer.core.instrument.simple.SimpleMeterRegistry
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.test.StandardTestDispatcher
import kotlinx.coroutines.test.TestCoroutineScheduler
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import umberslip.agents.Heartbeat
import umberslip.agents.HeartbeatVersion
import umberslip.core.Clock
import umberslip.core.JobId
import umberslip.core.MachineName
import umberslip.core.Term
import umberslip.http.Documents
import umberslip.http.Response
import umberslip.leadership.HeldLeaderRecord
import umberslip.leadership.LeaderLease
import umberslip.peers.PeerHealth
import umberslip.records.JobRecord
import umberslip.records.Keys
import umberslip.records.RecordReplica
import umberslip.settings.Settings
import umberslip.settings.Timings
import umberslip.settings.Tuning
import umberslip.sim.ClusterSize
import umberslip.sim.Fixtures
import umberslip.store.Change
import umberslip.store.Entry
import umberslip.store.KeyValueStore
import umberslip.store.Precondition
import umberslip.store.RateLimiter
import umberslip.store.StoreLease
import umberslip.store.TransactionResult
import umberslip.store.UnusedKeyValueStore
import umberslip.store.Version
import umberslip.store.Write
import java.time.Instant
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * A leader that loses and regains leadership while a batch is being written.
 *
 * The tests guard against applying the outcome of a former term's batch to the state of the new term, which did not
 * write the batch. A batch that fails on the leader's record, as one of a former term does, cost the new term its
 * leadership (`leadership lost: … this controller no longer holds the leader's record`). A batch that was applied
 * passed its versions, and the machines whose lease renewal it revoked, to a state for which they were not valid.
 */
@OptIn(ExperimentalCoroutinesApi::class)
class FormerTermBatchTest {
    private val scheduler = TestCoroutineScheduler()
    private val scope = CoroutineScope(StandardTestDispatcher(scheduler) + SupervisorJob())
    private val settings = Settings.parse(Fixtures.settingsJson("c-0"))
    private val timings = Timings(settings.workers, Tuning())
    private val leaderLease = LeaderLease(timings)
    private val clock = Clock { 100.seconds + scheduler.currentTime.milliseconds }
    private val store = PausingStore()
    private val replica = RecordReplica()
    private val leader =
        Leader(
            scope,
            settings,
            Tuning(),
            timings,
            store,
            RateLimiter(1000.0, clock),
            clock,
            { Instant.EPOCH },
            leaderLease,
            refreshRecords = {},
            peerHealth = { PeerHealth.SERVED },
            LeaderTermListener.None,
            SimpleMeterRegistry(),
        )
    private val responses = ArrayList<Response>()
    private var sequenceNumber = 0L

    @AfterEach
    fun tearDown() {
        scope.cancel()
        scheduler.runCurrent()
    }

    private fun start() {
        val spec = Fixtures.unboundJob(Random(1), 1).copy(tasks = 3)
        val record = JobRecord(spec, Instant.EPOCH, cancelled = false).toMap()
        val stored = Documents.readCbor(Documents.writeCbor(record))
        replica.apply(Change.Put(Keys.job(JobId("run-000001")), stored, Version(1)))
        leader.enqueue(LeaderMessage.InstanceTypesChanged(ClusterSize.TYPES))
        leader.start()
    }

    private fun elect(term: Long) {
        leaderLease.acquired(HeldLeaderRecord(Term(term), Version(term * 10), StoreLease(term)), clock.now())
        leader.enqueue(LeaderMessage.Elected(replica, clock.now()))
        scheduler.runCurrent()
    }

    private fun stepDown() {
        leaderLease.steppedDown()
        leader.enqueue(LeaderMessage.SteppedDown)
        scheduler.runCurrent()
    }

    private fun heartbeat(term: Long) {
        val version = HeartbeatVersion(1, ++sequenceNumber)
        val heartbeat = Heartbeat(MachineName("m"), "small", "east", false, version, Term(term), null, emptyList())
        leader.enqueue(LeaderMessage.HeartbeatReceived(heartbeat) { responses += it })
        scheduler.advanceTimeBy(300.milliseconds)
        scheduler.runCurrent()
    }

    private fun startCommands(): Int =
        responses.sumOf { response ->
            val commands = (response.body as? Map<*, *>)?.get("orders") as? List<*>
            commands.orEmpty().count { (it as Map<*, *>)["verb"] == "start" }
        }

    /** Begins a new term while the batch that records the starts of the former term is being written. */
    private fun regainLeadershipDuringWrite() {
        start()
        elect(1)
        heartbeat(1)
        assertEquals(1, store.transactions.size, "the starts are being written")
        stepDown()
        elect(2)
    }

    @Test
    fun `a batch that fails on the former leader's record does not end the new term`() {
        regainLeadershipDuringWrite()
        store.transactions[0].complete(TransactionResult.PreconditionFailed(listOf(Keys.LEADER)))
        scheduler.runCurrent()
        assertFalse(leaderLease.isLost, "the new term lost its leadership")
        assertNewTermRecordsStarts()
    }

    @Test
    fun `a batch that was applied in the former term records nothing for the new term`() {
        regainLeadershipDuringWrite()
        store.transactions[0].complete(TransactionResult.Applied(Version(11)))
        scheduler.runCurrent()
        assertNewTermRecordsStarts()
    }

    @Test
    fun `a batch that was rejected in the former term does not reduce the new term's transaction limits`() {
        regainLeadershipDuringWrite()
        store.transactions[0].complete(TransactionResult.Rejected("too large"))
        scheduler.runCurrent()
        assertNewTermRecordsStarts()
    }

    /** The state that wrote the batch is still valid, but the outcome of the batch will never be known. */
    @Test
    fun `a write that fails unexpectedly ends the term, and the next term records the starts`() {
        start()
        elect(1)
        heartbeat(1)
        store.transactions[0].completeExceptionally(IllegalStateException("a programming error"))
        scheduler.runCurrent()
        assertTrue(leaderLease.isLost)
        stepDown()
        elect(2)
        assertNewTermRecordsStarts()
    }

    /** Asserts that the new term records the starts itself before the worker receives them. */
    private fun assertNewTermRecordsStarts() {
        val before = store.transactions.size
        heartbeat(2)
        assertEquals(before + 1, store.transactions.size, "the new term writes its starts")
        assertEquals(0, startCommands(), "no start is sent before it is recorded")
        store.transactions.last().complete(TransactionResult.Applied(Version(30)))
        scheduler.runCurrent()
        assertEquals(3, startCommands())
    }

    /** A store whose transactions wait until the test completes them, and which has no keys. */
    private class PausingStore : KeyValueStore by UnusedKeyValueStore {
        val transactions = ArrayList<CompletableDeferred<TransactionResult>>()

        override suspend fun get(key: String): Entry? = null

        override suspend fun compareAndSwap(
            preconditions: List<Precondition>,
            writes: List<Write>,
        ): TransactionResult = CompletableDeferred<TransactionResult>().also { transactions += it }.await()
    }
}
