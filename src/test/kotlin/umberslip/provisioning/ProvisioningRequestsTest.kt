package umberslip.provisioning

import io.micrometer.core.instrument.simple.SimpleMeterRegistry
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.Job
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.StandardTestDispatcher
import kotlinx.coroutines.test.TestCoroutineScheduler
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import org.slf4j.LoggerFactory
import umberslip.cloud.Cloud
import umberslip.cloud.InstanceType
import umberslip.cloud.ListedMachine
import umberslip.cloud.Offer
import umberslip.core.Clock
import umberslip.core.MachineName
import umberslip.core.Term
import umberslip.http.NoResponseException
import umberslip.leadership.HeldLeaderRecord
import umberslip.leadership.LeaderLease
import umberslip.settings.Settings
import umberslip.settings.Timings
import umberslip.settings.Tuning
import umberslip.sim.Fixtures
import umberslip.store.StoreLease
import umberslip.store.UnusedKeyValueStore
import umberslip.store.Version
import java.time.Instant
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Guards against two failures after a re-election during a call to the cloud.
 *
 * A new term clears the queue of unresolved requests. A call in progress then removed its request from the queue
 * although the queue was empty, and the provisioner's loop ended with `NoSuchElementException: ArrayDeque is empty`, so
 * that nothing was provisioned any more. If the loop continued, it numbered the rest of the former term's plan from one
 * again, so that request names were used twice.
 */
@OptIn(ExperimentalCoroutinesApi::class)
class ProvisioningRequestsTest {
    private val scheduler = TestCoroutineScheduler()
    private val scope = CoroutineScope(StandardTestDispatcher(scheduler))
    private val settings = Settings.parse(Fixtures.settingsJson("c-0"))
    private val leaderLease = LeaderLease(Timings(settings.workers, Tuning()))
    private val cloud = PausingCloud()
    private val log = LoggerFactory.getLogger("umberslip.provisioning")
    private val now = 100.seconds
    private val clock = Clock { now }
    private val booting =
        BootingMachines(settings, UnusedKeyValueStore, leaderLease, clock, { Instant.EPOCH }, log)
    private val requests =
        ProvisioningRequests(
            settings,
            cloud,
            leaderLease,
            booting,
            clock,
            ProvisioningMetrics(clock, SimpleMeterRegistry()),
            log,
        )
    private val plan = List(3) { ProvisioningRequest(Offer("small", "east", spot = it == 0), number = 1) }
    private var term = 0L

    @Test
    fun `a new term during a request ends the former term's plan`() {
        elect()
        val sending = launchUntilBlocked { requests.send(plan, term) }
        elect()
        cloud.respond()
        assertEnded(sending)
        assertEquals(1, cloud.names.size, "requests of the former plan: ${cloud.names}")
    }

    @Test
    fun `a new term while an unresolved request is sent again leaves nothing to resolve`() {
        elect()
        val failing = launchUntilBlocked { requests.send(plan, term) }
        cloud.fail()
        scheduler.runCurrent()
        assertTrue(failing.isCompleted)
        val resolving = launchUntilBlocked { requests.resendUnresolved() }
        elect()
        cloud.respond()
        assertEnded(resolving)
        assertEnded(launchUntilBlocked { requests.resendUnresolved() })
        assertEquals(2, cloud.names.size, "one request, sent twice: ${cloud.names}")
    }

    @Test
    fun `request names are unique whenever terms change and calls fail`() {
        for (seed in 1..200) GeneratedHistory(seed).run()
    }

    /** Runs calls, terms and rounds in a random order, but one round at a time, as the provisioner's loop does. */
    private inner class GeneratedHistory(
        seed: Int,
    ) {
        private val random = Random(seed)
        private var round: Job? = null

        fun run() {
            elect()
            repeat(60) {
                when (random.nextInt(4)) {
                    0 -> elect()
                    1 -> cloud.respond()
                    2 -> cloud.fail()
                    else -> if (round?.isActive != true) round = launchUntilBlocked { newRound() }
                }
                scheduler.runCurrent()
                assertEquals(null, failure, "the round failed")
            }
            while (round?.isActive == true) {
                cloud.respond()
                scheduler.runCurrent()
            }
            cloud.assertNamesUsedOnce()
        }

        private suspend fun newRound() {
            val termOfRound = term
            requests.resendUnresolved()
            if (term == termOfRound) requests.send(plan, termOfRound)
        }
    }

    private var failure: Throwable? = null

    /**
     * Runs [block] until it waits for the cloud. A failed call to the cloud does not count as a failure of the block.
     */
    private fun launchUntilBlocked(block: suspend () -> Unit): Job {
        val job =
            scope.launch {
                try {
                    block()
                } catch (_: NoResponseException) {
                    // As in the provisioner's loop, the next round sends the request again.
                } catch (e: NoSuchElementException) {
                    failure = e
                }
            }
        scheduler.runCurrent()
        return job
    }

    private fun elect() {
        term++
        val record = HeldLeaderRecord(Term(term), Version(term), StoreLease(term))
        leaderLease.acquired(record, now)
        requests.clear()
    }

    private fun assertEnded(job: Job) {
        scheduler.runCurrent()
        assertTrue(job.isCompleted, "still running")
        assertEquals(null, failure)
    }
}

/** A cloud whose calls wait until the test completes them. */
private class PausingCloud : Cloud {
    /** The names of all requests in the order of sending; a request that is sent again appears again. */
    val names = ArrayList<String>()
    private val requestsByName = HashMap<String, HashSet<Pair<Int, Offer>>>()
    private val resolved = HashSet<String>()
    private var pending: CompletableDeferred<List<MachineName>>? = null

    fun respond() {
        pending?.complete(emptyList())
    }

    fun fail() {
        pending?.completeExceptionally(NoResponseException("late"))
    }

    override suspend fun provision(
        name: String,
        offer: Offer,
        number: Int,
    ): List<MachineName> {
        names += name
        val answer = CompletableDeferred<List<MachineName>>()
        pending = answer
        requestsByName.getOrPut(name) { HashSet() } += number to offer
        val machines = answer.await()
        check(resolved.add(name)) { "the request $name was sent again after its response" }
        return machines
    }

    fun assertNamesUsedOnce() {
        for ((name, requests) in requestsByName) assertEquals(1, requests.size, "$name was used for $requests")
    }

    override suspend fun instanceTypes(): List<InstanceType> = emptyList()

    override suspend fun terminate(machineNames: List<MachineName>) = Unit

    override suspend fun listMachines(): List<ListedMachine> = emptyList()
}
