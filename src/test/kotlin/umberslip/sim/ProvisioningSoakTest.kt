package umberslip.sim

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import umberslip.cloud.InstanceType
import umberslip.cloud.Offer
import umberslip.core.JobSpec
import umberslip.scheduling.PlacementConstraint
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Scales a fleet from no machine to four thousand, with generated placement constraints and a cloud that fails in every
 * way. To run more seeds than one, start it by hand: `mvn test -Dtest=ProvisioningSoakTest -Dsoak.seeds=40`.
 */
class ProvisioningSoakTest {
    private val instanceTypes =
        listOf("small" to 4.0, "large" to 8.0).map { (name, cpus) ->
            InstanceType(name, cpus, 0.0, cpus * 2, 1.0, cpus / 25, cpus / 50, 8.seconds, listOf("east", "west"))
        }
    private val offers =
        instanceTypes.flatMap { type ->
            type.zones.flatMap { zone -> listOf(true, false).map { Offer(type.label, zone, it) } }
        }
    private val size = ClusterSize(MACHINES / offers.size, 7, 500, 10_000, instanceTypes)

    @Test
    fun `machines are provisioned for waiting jobs despite faults of the cloud`() {
        val seeds = Integer.getInteger("soak.seeds", 1)
        for (seed in 1..seeds) soak(seed)
    }

    @Test
    fun `an empty fleet is provisioned almost as fast as the cloud's rate limit allows`() {
        val cluster = cluster(seed = 1)
        val random = Random(1)
        repeat(JOBS) { number ->
            val unbound = job(random, number).copy(instanceTypes = null, zone = null, oneZone = false, spot = true)
            cluster.submit(unbound, cancelAfter = null)
        }
        while (cluster.allMachines().size < MACHINES && cluster.now() < 300.seconds) cluster.run(1.seconds)
        val provisionedAfter = cluster.now()
        cluster.end()
        assertEquals(emptyList<String>(), cluster.violations.take(5))
        // Four requests a second for fifty machines each; the first plan and partial requests may take as long again.
        val timeAtRateLimit = (MACHINES / 50 / 4).seconds
        assertTrue(provisionedAfter < timeAtRateLimit * 2, "after $provisionedAfter")
    }

    private fun soak(seed: Int) {
        val cluster = cluster(seed)
        val random = Random(seed)
        cluster.cloudFaultRates =
            CloudFaultRates(rateLimited = 0.02, unavailable = 0.03, rejected = 0.03, unanswered = 0.02, partial = 0.1)
        val check = WaitingJobCheck(cluster)
        val jobs = List(JOBS) { job(random, it) }
        val initialJobs = random.nextInt(JOBS)
        jobs.take(initialJobs).forEach { cluster.submit(it, cancelAfter = null) }
        repeat(SOAK_SECONDS) { second ->
            jobs.drop(initialJobs).filterIndexed { i, _ -> i % SUBMISSION_SECONDS == second }.forEach {
                cluster.submit(it, cancelAfter = null)
            }
            when (second) {
                ZONE_REJECTED_FROM -> cluster.cloudMisbehaviour = CloudMisbehaviour.REJECTS_ZONE
                ZONE_REJECTED_UNTIL -> cluster.cloudMisbehaviour = null
                75 -> repeat(size.members, cluster::stopController)
                78 -> repeat(size.members, cluster::startController)
                115 -> cluster.store.out = true
                125 -> cluster.store.out = false
            }
            cluster.run(1.seconds)
            // No controller provisions while all controllers are stopped or the key-value store is out.
            val isAccepted = { offer: Offer ->
                second !in ZONE_REJECTED_FROM until ZONE_REJECTED_UNTIL || offer.zone != "east"
            }
            if (second !in 75..90 && second !in 115..135) check.verify(offers.filter(isAccepted)) else check.reset()
        }
        cluster.end()
        assertEquals(emptyList<String>(), cluster.violations.take(5), "seed $seed")
        assertTrue(cluster.allMachines().size >= MACHINES * 3 / 4, "seed $seed: ${cluster.allMachines().size} machines")
    }

    private fun cluster(seed: Int): SimulatedCluster {
        val cluster =
            SimulatedCluster(
                seed,
                FaultRates(0.0, 0.0),
                size,
                { Fixtures.largeFleetJson(it).replace(""""sockets":200""", """"sockets":5000""") },
            )
        repeat(size.members, cluster::startController)
        return cluster
    }

    /** Returns a job whose tasks take half a machine or a whole one and run longer than the soak. */
    private fun job(
        random: Random,
        number: Int,
    ): JobSpec =
        Fixtures.fleetJob(random, number, listOf("sole")).copy(
            tasks = random.nextInt(30, 90),
            cpus = 4.0,
            memoryGb = 4.0,
            expectedSeconds = 900.0,
            spot = random.nextInt(4) > 0,
            instanceTypes = listOf(null, null, listOf("small"), listOf("large")).random(random),
            zone = listOf(null, null, null, "east", "west").random(random),
            oneZone = random.nextInt(6) == 0,
        )

    private companion object {
        const val MACHINES = 4000
        const val JOBS = 130

        /**
         * Once the cloud accepts requests for the zone again, there is a minute left until the zone is retried, and
         * twice the time that the rate limit requires for the whole fleet.
         */
        const val SOAK_SECONDS = 210

        /** The cloud rejects all requests for one zone for longer than the check lets a job wait. */
        const val ZONE_REJECTED_FROM = 2
        const val ZONE_REJECTED_UNTIL = 105
        const val SUBMISSION_SECONDS = 40
    }
}

/**
 * Checks that a machine that a waiting job may use is provisioned at least once a minute, as long as the cloud has one
 * and none is booting. An operator is paged after a minute (docs/operations.md).
 */
private class WaitingJobCheck(
    private val cluster: SimulatedCluster,
) {
    private val unprovisionedSince = HashMap<String, Duration>()

    fun reset() = unprovisionedSince.clear()

    /** Called after each second, with the [offers] for which the cloud accepts requests. */
    fun verify(offers: List<Offer>) {
        val now = cluster.now()
        val waiting = cluster.waitingJobs()
        unprovisionedSince.keys.retainAll(waiting.mapTo(HashSet()) { it.id.value })
        for (spec in waiting) {
            if (isProvisionedFor(spec, offers, now)) {
                unprovisionedSince.remove(spec.id.value)
                continue
            }
            val since = unprovisionedSince.getOrPut(spec.id.value) { now }
            assertTrue(now - since <= PAGED_AFTER, "$now: no machine for ${spec.id.value} since $since; $spec")
        }
    }

    private fun isProvisionedFor(
        spec: JobSpec,
        offers: List<Offer>,
        now: Duration,
    ): Boolean {
        val constraint = PlacementConstraint(spec.instanceTypes, spec.zone, spec.spot)
        val allowed = cluster.allMachines().filter { constraint.allows(it.offer) && !it.isTerminated }
        if (allowed.any { it.upAt > now - FIRST_TASKS_WITHIN }) return true
        return offers.none { constraint.allows(it) && cluster.capacityLeft(it) > 0 }
    }

    private companion object {
        val PAGED_AFTER = 60.seconds

        /** A machine that has just come up receives its tasks in the responses to its first heartbeats. */
        val FIRST_TASKS_WITHIN = 10.seconds
    }
}
