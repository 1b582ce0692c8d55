package umberslip.sim

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource
import umberslip.core.JobSpec
import umberslip.settings.RecoveryTuning
import umberslip.settings.Tuning
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Two troubles that meet: each meeting is brought about on purpose, with the controllers' own code, and
 * the protocol's rules are checked all the time; afterwards nothing may be left waiting.
 */
class CombinedFailuresTest {
    /** What happens from the fortieth second on; [jobs] changes the sample jobs to fit. */
    enum class CombinedFailure(
        val faultRates: FaultRates = FaultRates(lossy = 0.005, late = 0.005),
        val length: Double = 4.0,
        val chained: Boolean = false,
        val json: (String) -> String = Fixtures::settingsJson,
        val jobs: (JobSpec, Random) -> JobSpec = { job, _ -> job },
        val bring: Scenario.() -> Unit,
    ) {
        /**
         * The key-value store refuses the leader alone, another controller confirms cancellations, then it is down for
         * all.
         */
        GAP(length = 8.0, bring = { repeat(2) { gap(cancelWithin = 0..1800) } }),

        /** The same, with the cancellations at the very moment of the refusal. */
        GAP_AT_ONCE(length = 8.0, bring = { repeat(2) { gap(cancelWithin = 0..100) } }),

        /** The same, with machines that hang at the cancellation and go on within their lease. */
        GAP_HUNG(length = 8.0, bring = {
            gap(cancelWithin = 0..300) {
                cluster
                    .upMachines()
                    .shuffled(random)
                    .take(3)
                    .forEach { cluster.hang(it, random.nextInt(3, 12).seconds) }
            }
        }),

        /** The leader renews and does not hear of cancellations, since its reads fail; then all are out. */
        READS_REFUSED(length = 8.0, bring = {
            cluster.leader()?.let { cluster.cutFromStoreReads(it, 70.seconds) }
            pause(1)
            cancelSome(8)
            pause(25)
            cluster.store.out = true
            pause(12)
            cluster.store.out = false
            pause(35)
        }),

        LATE_WRITES(bring = {
            cluster.lateWrites = 0.3
            repeat(6) {
                pause(8)
                when (random.nextInt(4)) {
                    0 -> cluster.upMachines().randomOrNull(random)?.let(cluster::kill)
                    1 -> cancelSome(2)
                    2 -> restartLeader()
                    3 -> cluster.upMachines().randomOrNull(random)?.let { cluster.hang(it, random.nextInt(5, 25).seconds) }
                }
            }
        }),

        /** Jobs end, and are cancelled, while writes about them are carried out late. */
        LATE_WRITES_AT_THE_END(length = 0.5, bring = {
            cluster.lateWrites = 0.4
            cluster.cancelAtEnd = 0.6
            pause(40)
        }),

        LATE_REPORTS(FaultRates(lossy = 0.005, late = 0.08, copied = 0.3), bring = {
            repeat(4) {
                restartLeader()
                pause(12)
                cluster.upMachines().randomOrNull(random)?.let { cluster.reboot(it, forgetsEpoch = false) }
            }
        }),

        TEN_LEADERS(bring = {
            repeat(10) {
                if (it == 4) cluster.store.out = true
                if (it == 7) cluster.store.out = false
                restartLeader()
                pause(12)
            }
        }),

        CANCELLED_AT_THE_END(length = 0.5, bring = {
            cluster.cancelAtEnd = 0.8
            pause(60)
        }),

        /** Small jobs whose tasks end far apart, across changes of leader. */
        FAR_APART(
            length = 6.0,
            jobs = { job, random -> job.copy(tasks = random.nextInt(2, 4), spread = false) },
            bring = {
                repeat(5) {
                    pause(9)
                    restartLeader()
                }
            },
        ),

        ONE_ZONE_LOST(
            length = 3.0,
            jobs = { job, _ -> job.copy(zone = null, spread = false, oneZone = true) },
            bring = {
                repeat(3) {
                    val zone = if (random.nextBoolean()) "east" else "west"
                    cluster.upMachines().filter { it.offer.zone == zone }.forEach {
                        if (random.nextInt(4) > 0) cluster.kill(it) else cluster.hang(it, 30.seconds)
                    }
                    pause(25)
                }
            },
        ),

        ALL_AWAY(length = 6.0, bring = {
            cancelSome(3)
            (0..2).forEach(cluster::stopController)
            pause(14)
            (0..2).forEach(cluster::startController)
            pause(10)
        }),

        /** The leader keeps workers and users, and jobs are cancelled through its successor. */
        LEADER_ISOLATED(length = 6.0, bring = {
            repeat(2) {
                cluster.leader()?.let { cluster.isolate(it, 45.seconds) }
                pause(2)
                cancelSome(6)
                pause(8)
                cancelSome(4)
                pause(45)
            }
        }),

        /** The leader ends while machines with long tasks don't hear its successor. */
        DEAF_AT_THE_END(length = 8.0, bring = {
            cluster
                .upMachines()
                .shuffled(random)
                .take(3)
                .forEach { cluster.loseResponses(it, 40.seconds) }
            restartLeader()
            pause(4)
            cancelSome(4)
            pause(45)
        }),

        /** A team at its limit, a new leader, machines that can't be asked, and cancellations. */
        LIMIT_AND_SILENCE(length = 8.0, jobs = { job, _ -> job.copy(team = "blue") }, bring = {
            repeat(2) {
                val silent = cluster.upMachines().shuffled(random)
                silent.take(2).forEach { cluster.loseHeartbeats(it, 30.seconds) }
                silent.drop(2).take(1).forEach { cluster.hang(it, 9.seconds) }
                cancelSome(5)
                restartLeader()
                pause(20)
            }
        }),

        ZONE_CUT(length = 6.0, bring = {
            cluster.cutZones(40.seconds)
            pause(10)
            cancelSome(4)
            restartLeader()
            pause(40)
        }),

        MUTE(length = 6.0, bring = {
            cluster
                .upMachines()
                .shuffled(random)
                .let { it.take((it.size + 1) / 2) }
                .forEach { cluster.loseHeartbeats(it, 25.seconds) }
            pause(3)
            cancelSome(5)
            pause(40)
        }),

        /** Renewals come through slowly and others are served; the outage for all comes in between. */
        REFUSED_AND_RETURNED(length = 6.0, bring = {
            repeat(4) {
                cluster.leader()?.let { cluster.cutFromStore(it, random.nextInt(1, 12).seconds) }
                pause(1)
                cancelSome(2)
                cluster.run(random.nextInt(100, 3000).milliseconds)
                cluster.store.out = true
                if (random.nextBoolean()) restartLeader()
                cluster.run(random.nextInt(500, 15_000).milliseconds)
                cluster.store.out = false
                cluster.run(random.nextInt(100, 5000).milliseconds)
            }
        }),

        /** Owners change, and jobs are called off, while needed jobs end. */
        PIPELINES(length = 0.6, chained = true, bring = {
            cluster.cancelAtEnd = 0.15
            repeat(5) {
                pause(6)
                restartLeader()
                cancelOpen(2)
            }
        }),

        PIPELINES_LATE_WRITES(length = 0.6, chained = true, bring = {
            cluster.cancelAtEnd = 0.2
            cluster.lateWrites = 0.3
            repeat(3) {
                pause(10)
                cancelOpen(3)
                if (it == 1) restartLeader()
            }
        }),

        PIPELINES_GAP(length = 3.0, chained = true, bring = {
            repeat(2) {
                cluster.leader()?.let { cluster.cutFromStore(it, 14.seconds) }
                cancelOpen(6)
                cluster.run(1900.milliseconds)
                cluster.store.out = true
                pause(40)
                cluster.store.out = false
                pause(12)
            }
        }),

        PIPELINES_CUT(length = 1.0, chained = true, bring = {
            cluster.cutZones(30.seconds)
            pause(8)
            cancelOpen(3)
            cluster.leader()?.let { cluster.isolate(it, 30.seconds) }
            pause(3)
            cancelOpen(3)
            cluster
                .upMachines()
                .shuffled(random)
                .take(3)
                .forEach { cluster.hang(it, 20.seconds) }
            pause(30)
        }),

        /** The leader stands still for less or more than its lease and goes on, while jobs are cancelled elsewhere. */
        LEADER_FROZEN(length = 4.0, bring = {
            repeat(5) {
                cluster.leader()?.let { cluster.freeze(it, random.nextInt(500, 40_000).milliseconds) }
                pause(random.nextInt(1, 6))
                cancelSome(3)
                pause(random.nextInt(8, 20))
            }
        }),

        /** It stands still inside an outage, which keeps its lease, and goes on after its workers' leases are over. */
        LEADER_FROZEN_IN_OUTAGE(length = 6.0, bring = {
            repeat(3) {
                cluster.store.out = random.nextBoolean()
                pause(random.nextInt(1, 3))
                cluster.leader()?.let { cluster.freeze(it, random.nextInt(8, 25).seconds) }
                cluster.store.out = true
                cancelSome(3)
                pause(random.nextInt(3, 28))
                cluster.store.out = false
                cancelSome(3)
                pause(15)
            }
        }),

        /** Jobs are cancelled while it stands still; when it goes on the service is out, and its lease holds. */
        LEADER_FROZEN_INTO_OUTAGE(length = 8.0, bring = {
            repeat(2) {
                cluster.leader()?.let { cluster.freeze(it, 3.seconds) }
                cluster.run(200.milliseconds)
                cancelSome(8)
                cluster.run(random.nextInt(1500, 2600).milliseconds)
                cluster.store.out = true
                pause(50)
                cluster.store.out = false
                pause(15)
            }
        }),

        /** One after the other goes on, with what it had read and decided before, beside late writes and heartbeats. */
        ALL_FROZEN(FaultRates(lossy = 0.005, late = 0.03, copied = 0.1), length = 4.0, bring = {
            cluster.lateWrites = 0.1
            repeat(3) {
                (0..2).shuffled(random).forEach { i ->
                    cluster.freeze(i, random.nextInt(5, 30).seconds)
                    cluster.run(random.nextInt(0, 3000).milliseconds)
                }
                cancelSome(4)
                pause(32)
            }
        }),

        /** Frozen leaders meet their successors' ends, short freezes the middle of elections. */
        FROZEN_IN_ELECTIONS(length = 3.0, bring = {
            repeat(6) {
                cluster.leader()?.let { cluster.freeze(it, random.nextInt(4, 15).seconds) }
                pause(random.nextInt(4, 7))
                (0..2).random(random).let { cluster.freeze(it, random.nextInt(200, 2500).milliseconds) }
                restartLeader()
                cancelSome(2)
                pause(8)
            }
        }),

        /**
         * Controllers that know nothing of later limits, and are not asked for anything new, are replaced one by
         * one; leaders of both kinds follow one another on large values and small ones. Then the limits fall.
         */
        UPGRADE(length = 2.0, json = Fixtures::roomyJson, jobs = MANY, bring = {
            for (i in listOf(0, 1, 2)) {
                replace(i, Fixtures::loweredJson)
                pause(7)
                // One dies before its turn, and comes back as it was; so does the leader, whichever it is.
                if (i < 2) replace(2, Fixtures::roomyJson)
                restartLeader()
                pause(7)
            }
            chained = true
            pause(12)
            cluster.lowered = true
            restartLeader()
            cancelOpen(2)
            pause(20)
        }),

        /** All controllers end at once halfway through an upgrade while zones are cut; then back, and all anew. */
        UPGRADE_ROLLED_BACK(length = 2.0, json = Fixtures::roomyJson, jobs = MANY, bring = {
            replace(0, Fixtures::loweredJson)
            pause(4)
            cluster.cutZones(8.seconds)
            replace(1, Fixtures::loweredJson)
            pause(3)
            (0..2).forEach(cluster::stopController)
            pause(2)
            (0..2).forEach(cluster::startController)
            pause(10)
            for (i in 0..1) {
                replace(i, Fixtures::roomyJson)
                pause(4)
            }
            restartLeader()
            pause(6)
            for (i in 0..2) {
                replace(i, Fixtures::loweredJson)
                pause(4)
            }
            chained = true
            pause(10)
            cluster.lowered = true
            restartLeader()
            cancelOpen(2)
            pause(20)
        }),

        /** The limits fall while jobs of many tasks are half done, in an outage, at a change of leader. */
        LIMITS_LOWERED(length = 2.0, chained = true, json = Fixtures::loweredJson, jobs = MANY, bring = {
            cluster.store.out = true
            pause(4)
            cluster.lowered = true
            restartLeader()
            cluster.store.out = false
            pause(15)
            cluster
                .upMachines()
                .shuffled(random)
                .take(2)
                .forEach(cluster::kill)
            restartLeader()
            pause(20)
        }),
    }

    class Scenario(
        val cluster: SimulatedCluster,
        val random: Random,
        private val feed: () -> Unit,
    ) {
        var confirmed = 0
            private set

        /** Whether new jobs await others. */
        var chained = false

        fun replace(
            controller: Int,
            json: (String) -> String,
        ) {
            cluster.stopController(controller)
            cluster.configure(controller, json)
            cluster.run(random.nextInt(100, 900).milliseconds)
            cluster.startController(controller)
        }

        fun pause(seconds: Int) =
            repeat(seconds) {
                feed()
                cluster.run(1.seconds)
            }

        fun cancelSome(count: Int) =
            cluster
                .runningJobs()
                .shuffled(random)
                .take(count)
                .forEach(cluster::cancel)

        fun cancelOpen(count: Int) =
            cluster
                .openJobs()
                .shuffled(random)
                .take(count)
                .forEach(cluster::cancel)

        fun restartLeader() {
            val leader = cluster.leader() ?: return
            cluster.stopController(leader)
            cluster.run(random.nextInt(50, 1500).milliseconds)
            cluster.startController(leader)
        }

        fun gap(
            cancelWithin: IntRange,
            also: () -> Unit = {},
        ) {
            cluster.leader()?.let { cluster.cutFromStore(it, 14.seconds) }
            val before = cluster.cancelledJobs
            val until = cluster.now() + 1900.milliseconds
            for (id in cluster.runningJobs().shuffled(random).take(8)) {
                cluster.run((random.nextInt(cancelWithin.first, cancelWithin.last + 1) / 8).milliseconds)
                cluster.cancel(id)
            }
            also()
            cluster.run((until - cluster.now()).coerceAtLeast(1.milliseconds))
            confirmed += cluster.cancelledJobs - before
            cluster.store.out = true
            pause(45)
            cluster.store.out = false
            pause(15)
        }
    }

    @ParameterizedTest
    @MethodSource("meetings")
    fun `no rule breaks where two troubles meet`(
        meeting: CombinedFailure,
        seed: Int,
    ) {
        val random = Random(seed * 100 + meeting.ordinal)
        val cluster = SimulatedCluster(seed, meeting.faultRates, ClusterSize(5), meeting.json, { recovery(it, seed) })
        for (i in 0..2) cluster.startController(i)
        var number = 0
        val made = ArrayList<JobSpec>()
        lateinit var scenario: Scenario
        val feed = {
            repeat(if (scenario.chained) 2 else 1) {
                if (random.nextInt(3) == 0) {
                    val job = Fixtures.job(random, number++)
                    val needed =
                        if (scenario.chained) {
                            made
                                .takeLast(7)
                                .shuffled(random)
                                .take(random.nextInt(0, 3))
                                .map { it.id }
                        } else {
                            emptyList()
                        }
                    val spec =
                        meeting.jobs(
                            job.copy(
                                expectedSeconds = job.expectedSeconds * meeting.length,
                                tasks = minOf(job.tasks, 6),
                                dependencies = needed,
                            ),
                            random,
                        )
                    made += spec
                    cluster.submit(spec, null)
                }
            }
        }
        scenario = Scenario(cluster, random, feed).also { it.chained = meeting.chained }
        scenario.pause(40)
        scenario.(meeting.bring)()
        scenario.pause(5)
        cluster.endFaults()
        var waited = Duration.ZERO
        while (cluster.finishedJobs + cluster.cancelledJobs < cluster.acceptedJobs && waited < 3000.seconds) {
            cluster.run(5.seconds)
            waited += 5.seconds
        }
        cluster.end()
        assertEquals(emptyList<String>(), cluster.violations.take(5))
        assertEquals(cluster.acceptedJobs, cluster.finishedJobs + cluster.cancelledJobs, "jobs that ended; ${cluster.describe()}")
        assertTrue(cluster.starts > 20, "only ${cluster.starts} tasks started")
        if (meeting.name.startsWith("GAP")) assertTrue(scenario.confirmed > 0, "nothing was cancelled in the gap")
    }

    /** In every other run the recovery is switched on, and not on all controllers. */
    private fun recovery(
        controller: Int,
        seed: Int,
    ): Tuning {
        val on = seed % 2 == 0 && controller != 1
        return Tuning(recovery = RecoveryTuning(track = on, returnMissing = on))
    }

    companion object {
        /** Some jobs have many small tasks, so that their progress outgrows a small value. */
        private val MANY: (JobSpec, Random) -> JobSpec = { job, random ->
            if (random.nextInt(4) == 0) {
                job.copy(tasks = 150, cpus = 0.1, memoryGb = 0.1, instanceTypes = null, zone = null, team = "green")
            } else {
                job
            }
        }

        @JvmStatic
        fun meetings(): List<Array<Any>> =
            CombinedFailure.entries.flatMap { meeting ->
                (1..2).map { arrayOf<Any>(meeting, it) }
            }
    }
}
