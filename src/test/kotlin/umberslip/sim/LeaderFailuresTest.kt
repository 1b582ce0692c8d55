package umberslip.sim

import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Leaders are stopped, isolated or frozen, in combination with other faults. */
class LeaderFailuresTest : CombinedFailures() {
    companion object {
        private val TEN_LEADERS =
            CombinedFailure(
                7,
                "TEN_LEADERS",
                play = {
                    repeat(10) {
                        if (it == 4) cluster.store.out = true
                        if (it == 7) cluster.store.out = false
                        restartLeader()
                        pause(12)
                    }
                },
            )

        /** The tasks of small jobs end at widely spaced times, with failovers in between. */
        private val STAGGERED_TASKS =
            CombinedFailure(
                9,
                "STAGGERED_TASKS",
                runTimeFactor = 6.0,
                adaptJob = { job, random -> job.copy(tasks = random.nextInt(2, 4), spread = false) },
                play = {
                    repeat(5) {
                        pause(9)
                        restartLeader()
                    }
                },
            )

        private val ALL_CONTROLLERS_DOWN =
            CombinedFailure(
                11,
                "ALL_CONTROLLERS_DOWN",
                runTimeFactor = 6.0,
                play = {
                    cancelSome(3)
                    (0..2).forEach(cluster::stopController)
                    pause(14)
                    (0..2).forEach(cluster::startController)
                    pause(10)
                },
            )

        /**
         * The leader loses the key-value store and its peers, but keeps its workers and users. Jobs are cancelled
         * through its successor.
         */
        private val LEADER_ISOLATED =
            CombinedFailure(
                12,
                "LEADER_ISOLATED",
                runTimeFactor = 6.0,
                play = {
                    repeat(2) {
                        cluster.leader()?.let { cluster.isolate(it, 45.seconds) }
                        pause(2)
                        cancelSome(6)
                        pause(8)
                        cancelSome(4)
                        pause(45)
                    }
                },
            )

        /**
         * The leader is frozen for less or more than the time of its lease and then continues. Jobs are cancelled
         * through other controllers.
         */
        private val LEADER_FROZEN =
            CombinedFailure(
                22,
                "LEADER_FROZEN",
                runTimeFactor = 4.0,
                play = {
                    repeat(5) {
                        cluster.leader()?.let { cluster.freeze(it, random.nextInt(500, 40_000).milliseconds) }
                        pause(random.nextInt(1, 6))
                        cancelSome(3)
                        pause(random.nextInt(8, 20))
                    }
                },
            )

        /**
         * The leader is frozen during an outage of the key-value store, in which its own lease does not expire. It
         * continues after the leases of its workers have expired.
         */
        private val LEADER_FROZEN_IN_OUTAGE =
            CombinedFailure(
                23,
                "LEADER_FROZEN_IN_OUTAGE",
                runTimeFactor = 6.0,
                play = {
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
                },
            )

        /**
         * Jobs are cancelled while the leader is frozen. When it continues, the key-value store is out and its lease is
         * still valid.
         */
        private val LEADER_FROZEN_INTO_OUTAGE =
            CombinedFailure(
                24,
                "LEADER_FROZEN_INTO_OUTAGE",
                runTimeFactor = 8.0,
                play = {
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
                },
            )

        /**
         * All controllers are frozen in turn. Each continues with the state that it read and the decisions that it made
         * before, while writes and heartbeats arrive late.
         */
        private val ALL_FROZEN =
            CombinedFailure(
                25,
                "ALL_FROZEN",
                FaultRates(lossy = 0.005, late = 0.03, copied = 0.1),
                runTimeFactor = 4.0,
                play = {
                    cluster.lateWrites = 0.1
                    repeat(3) {
                        (0..2).shuffled(random).forEach { i ->
                            cluster.freeze(i, random.nextInt(5, 30).seconds)
                            cluster.run(random.nextInt(0, 3000).milliseconds)
                        }
                        cancelSome(4)
                        pause(32)
                    }
                },
            )

        /**
         * A leader is frozen, and its successor restarts. A random controller is frozen for a short time in the middle
         * of the election.
         */
        private val FROZEN_IN_ELECTIONS =
            CombinedFailure(
                26,
                "FROZEN_IN_ELECTIONS",
                runTimeFactor = 3.0,
                play = {
                    repeat(6) {
                        cluster.leader()?.let { cluster.freeze(it, random.nextInt(4, 15).seconds) }
                        pause(random.nextInt(4, 7))
                        (0..2).random(random).let { cluster.freeze(it, random.nextInt(200, 2500).milliseconds) }
                        restartLeader()
                        cancelSome(2)
                        pause(8)
                    }
                },
            )

        @JvmStatic
        fun failures(): List<Array<Any>> =
            CombinedFailure.withSeeds(
                TEN_LEADERS,
                STAGGERED_TASKS,
                ALL_CONTROLLERS_DOWN,
                LEADER_ISOLATED,
                LEADER_FROZEN,
                LEADER_FROZEN_IN_OUTAGE,
                LEADER_FROZEN_INTO_OUTAGE,
                ALL_FROZEN,
                FROZEN_IN_ELECTIONS,
            )
    }
}
