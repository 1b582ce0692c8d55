package umberslip.sim

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.test.StandardTestDispatcher
import kotlinx.coroutines.test.TestCoroutineScheduler
import umberslip.settings.Settings
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * The shares of calls and messages that go wrong all the time; larger faults are brought about by each test.
 *
 * @param lossy of calls and of answers, each: lost
 * @param late of calls and heartbeats: carried out or delivered long after the caller gave up
 * @param copied of heartbeats: delivered once more, later
 */
class FaultRates(
    val lossy: Double,
    val late: Double,
    val copied: Double = 0.0,
)

/** What the parts of a simulated cluster share: virtual time, randomness, the members' settings, violations found. */
@OptIn(ExperimentalCoroutinesApi::class)
class Simulation(
    seed: Int,
    val faultRates: FaultRates,
    val size: ClusterSize,
    settingsJson: (String) -> String,
) {
    val random = Random(seed)

    /** Of its own, so that the age of the cloud's lists does not change what else happens with a seed. */
    val listRandom = Random(-seed)
    val scheduler = TestCoroutineScheduler()
    val dispatcher = StandardTestDispatcher(scheduler)
    val scope = CoroutineScope(dispatcher + SupervisorJob())
    val members = List(size.members) { "c-$it" }
    val settings = members.mapTo(ArrayList()) { Settings.parse(settingsJson(it)) }

    /** The protocol's rules that were broken, with the time and what broke them. */
    val violations = ArrayList<String>()

    val workerLease: Duration = settings[0].workers.lease

    fun now(): Duration = scheduler.currentTime.milliseconds

    fun violated(what: String) {
        violations += "${now()}: $what"
    }
}
