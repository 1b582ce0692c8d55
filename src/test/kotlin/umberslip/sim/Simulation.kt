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
 * The shares of calls and messages that fail throughout a run. Each test adds larger faults itself.
 *
 * @param lossy of requests and, separately, of responses: lost
 * @param late of requests and heartbeats: carried out or delivered long after the caller gave up
 * @param copied of heartbeats: delivered a second time, later
 */
class FaultRates(
    val lossy: Double,
    val late: Double,
    val copied: Double = 0.0,
)

/** The state that all parts of a simulated cluster share: virtual time, random numbers, settings and violations. */
@OptIn(ExperimentalCoroutinesApi::class)
class Simulation(
    seed: Int,
    val faultRates: FaultRates,
    val size: ClusterSize,
    settingsJson: (String) -> String,
) {
    val random = Random(seed)

    /** A separate generator for the age of the cloud's lists: drawing from it changes nothing else in a seed's run. */
    val listRandom = Random(-seed)
    val scheduler = TestCoroutineScheduler()
    val dispatcher = StandardTestDispatcher(scheduler)
    val scope = CoroutineScope(dispatcher + SupervisorJob())
    val members = List(size.members) { "c-$it" }
    val settings = members.mapTo(ArrayList()) { Settings.parse(settingsJson(it)) }

    /** The violations of the protocol's rules, each with the time and what happened. */
    val violations = ArrayList<String>()

    val workerLease: Duration = settings[0].workers.lease

    fun now(): Duration = scheduler.currentTime.milliseconds

    fun violated(description: String) {
        violations += "${now()}: $description"
    }
}
