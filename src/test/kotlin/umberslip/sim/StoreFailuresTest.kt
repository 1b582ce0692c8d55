package umberslip.sim

import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * The key-value store refuses requests, loses responses or carries writes out late, in combination with other faults.
 */
class StoreFailuresTest : CombinedFailures() {
    companion object {
        /**
         * The key-value store refuses only the leader's requests, and other controllers confirm cancellations. Then the
         * store is out for all controllers.
         */
        private val CANCELLATION_GAP =
            CombinedFailure(
                0,
                "CANCELLATION_GAP",
                runTimeFactor = 8.0,
                play = { repeat(2) { cancellationGap(cancelWithin = 0..1800) } },
            )

        /** As [CANCELLATION_GAP], with the cancellations as soon as the refusals begin. */
        private val CANCELLATION_GAP_AT_ONCE =
            CombinedFailure(
                1,
                "CANCELLATION_GAP_AT_ONCE",
                runTimeFactor = 8.0,
                play = { repeat(2) { cancellationGap(cancelWithin = 0..100) } },
            )

        /** As [CANCELLATION_GAP], with machines that hang after the cancellations and continue within their lease. */
        private val CANCELLATION_GAP_WITH_HUNG_MACHINES =
            CombinedFailure(
                2,
                "CANCELLATION_GAP_WITH_HUNG_MACHINES",
                runTimeFactor = 8.0,
                play = {
                    cancellationGap(cancelWithin = 0..300) {
                        cluster
                            .upMachines()
                            .shuffled(random)
                            .take(3)
                            .forEach { cluster.hang(it, random.nextInt(3, 12).seconds) }
                    }
                },
            )

        /**
         * The leader renews its lease but does not learn of cancellations, because its reads fail. Then the store is
         * out for all controllers.
         */
        private val READS_REFUSED =
            CombinedFailure(
                3,
                "READS_REFUSED",
                runTimeFactor = 8.0,
                play = {
                    cluster.leader()?.let { cluster.cutFromStoreReads(it, 70.seconds) }
                    pause(1)
                    cancelSome(8)
                    pause(25)
                    cluster.store.out = true
                    pause(12)
                    cluster.store.out = false
                    pause(35)
                },
            )

        /**
         * The leader's renewals succeed only after a delay, while the store serves the other controllers. Outages for
         * all controllers begin during these delays.
         */
        private val REFUSED_AND_RETURNED =
            CombinedFailure(
                17,
                "REFUSED_AND_RETURNED",
                runTimeFactor = 6.0,
                play = {
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
                },
            )

        private val LATE_WRITES =
            CombinedFailure(
                4,
                "LATE_WRITES",
                play = {
                    cluster.lateWrites = 0.3
                    repeat(6) {
                        pause(8)
                        when (random.nextInt(4)) {
                            0 -> cluster.upMachines().randomOrNull(random)?.let(cluster::kill)
                            1 -> cancelSome(2)
                            2 -> restartLeader()
                            3 ->
                                cluster.upMachines().randomOrNull(random)?.let {
                                    cluster.hang(it, random.nextInt(5, 25).seconds)
                                }
                        }
                    }
                },
            )

        /** Jobs end or are cancelled while writes about them are carried out late. */
        private val LATE_WRITES_AT_JOB_END =
            CombinedFailure(
                5,
                "LATE_WRITES_AT_JOB_END",
                runTimeFactor = 0.5,
                play = {
                    cluster.lateWrites = 0.4
                    cluster.cancelAtEnd = 0.6
                    pause(40)
                },
            )

        private val CANCELLED_AT_JOB_END =
            CombinedFailure(
                8,
                "CANCELLED_AT_JOB_END",
                runTimeFactor = 0.5,
                play = {
                    cluster.cancelAtEnd = 0.8
                    pause(60)
                },
            )

        @JvmStatic
        fun failures(): List<Array<Any>> =
            CombinedFailure.withSeeds(
                CANCELLATION_GAP,
                CANCELLATION_GAP_AT_ONCE,
                CANCELLATION_GAP_WITH_HUNG_MACHINES,
                READS_REFUSED,
                REFUSED_AND_RETURNED,
                LATE_WRITES,
                LATE_WRITES_AT_JOB_END,
                CANCELLED_AT_JOB_END,
            )
    }
}
