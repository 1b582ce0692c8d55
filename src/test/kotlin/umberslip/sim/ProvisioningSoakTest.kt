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
 * From no machine to four thousand, with generated placement constraints and a cloud that fails in every way. The long
 * form is started by hand: `mvn test -Dtest=ProvisioningSoakTest -Dsoak.seeds=40`.
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
    private val size = ClusterSize(FLEET / offers.size, 7, 500, 10_000, instanceTypes)

    @Test
    fun `work that waits is provisioned for, whatever the cloud does`() {
        val seeds = Integer.getInteger("soak.seeds", 1)
        for (seed in 1..seeds) soak(seed)
    }

    @Test
    fun `an empty fleet comes up as fast as the cloud's rate allows`() {
        val cluster = cluster(seed = 1)
        val random = Random(1)
        repeat(JOBS) { number ->
            val unbound = job(random, number).copy(instanceTypes = null, zone = null, oneZone = false, spot = true)
            cluster.submit(unbound, cancelAfter = null)
        }
        while (cluster.allMachines().size < FLEET && cluster.now() < 300.seconds) cluster.run(1.seconds)
        val provisionedAfter = cluster.now()
        cluster.end()
        assertEquals(emptyList<String>(), cluster.violations.take(5))
        // Four requests a second for fifty machines each, and as long again for the first plan and partial requests.
        val atTheRate = (FLEET / 50 / 4).seconds
        assertTrue(provisionedAfter < atTheRate * 2, "after $provisionedAfter")
    }

    private fun soak(seed: Int) {
        val cluster = cluster(seed)
        val random = Random(seed)
        cluster.cloudFaultRates =
            CloudFaultRates(rateLimited = 0.02, unavailable = 0.03, rejected = 0.03, unanswered = 0.02, partial = 0.1)
        val check = ProvisionedForCheck(cluster)
        val jobs = List(JOBS) { job(random, it) }
        val atOnce = random.nextInt(JOBS)
        jobs.take(atOnce).forEach { cluster.submit(it, cancelAfter = null) }
        repeat(SOAK_SECONDS) { second ->
            jobs.drop(atOnce).filterIndexed { i, _ -> i % SUBMISSION_SECONDS == second }.forEach {
                cluster.submit(it, cancelAfter = null)
            }
            when (second) {
                REJECTED_FROM -> cluster.cloudMisbehaviour = CloudMisbehaviour.REJECTS_ZONE
                REJECTED_UNTIL -> cluster.cloudMisbehaviour = null
                75 -> repeat(size.members, cluster::stopController)
                78 -> repeat(size.members, cluster::startController)
                115 -> cluster.store.out = true
                125 -> cluster.store.out = false
            }
            cluster.run(1.seconds)
            // No controller provisions while all are away or the key-value store is.
            val isOffered = { offer: Offer -> second !in REJECTED_FROM until REJECTED_UNTIL || offer.zone != "east" }
            if (second !in 75..90 && second !in 115..135) check.afterSecond(offers.filter(isOffered)) else check.reset()
        }
        cluster.end()
        assertEquals(emptyList<String>(), cluster.violations.take(5), "seed $seed")
        assertTrue(cluster.allMachines().size >= FLEET * 3 / 4, "seed $seed: ${cluster.allMachines().size} machines")
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

    /** Tasks of half a machine or a whole one, which run longer than the soak. */
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
        const val FLEET = 4000
        const val JOBS = 130

        /** After the zone is taken again: a minute until it is tried, and twice what the rate needs for the fleet. */
        const val SOAK_SECONDS = 210

        /** For longer than the check waits, the cloud rejects all requests for one zone. */
        const val REJECTED_FROM = 2
        const val REJECTED_UNTIL = 105
        const val SUBMISSION_SECONDS = 40
    }
}

/**
 * Each waiting job must see a machine that it may use provisioned at least every minute, while the cloud has one and
 * none is booting. A minute is when an operator is paged (docs/operations.md).
 */
private class ProvisionedForCheck(
    private val cluster: SimulatedCluster,
) {
    private val unprovisionedSince = HashMap<String, Duration>()

    fun reset() = unprovisionedSince.clear()

    /** [offers] are those for which the cloud takes requests. */
    fun afterSecond(offers: List<Offer>) {
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
        if (allowed.any { it.upAt > now - RECENTLY }) return true
        return offers.none { constraint.allows(it) && cluster.capacityLeft(it) > 0 }
    }

    private companion object {
        val PAGED_AFTER = 60.seconds

        /** A machine that has just come up gets its tasks with its first heartbeats. */
        val RECENTLY = 10.seconds
    }
}
