package umberslip.sim

import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** The key-value store refuses requests, loses responses or carries writes out late, beside other faults. */
class StoreFailuresTest : CombinedFailures() {
    companion object {
        /**
         * The key-value store refuses the leader alone, another controller confirms cancellations, then it is down for
         * all.
         */
        private val CANCELLATION_GAP =
            CombinedFailure(
                0,
                "CANCELLATION_GAP",
                runTimeFactor = 8.0,
                play = { repeat(2) { cancellationGap(cancelWithin = 0..1800) } },
            )

        /** The same, with the cancellations at the very moment of the refusal. */
        private val CANCELLATION_GAP_AT_ONCE =
            CombinedFailure(
                1,
                "CANCELLATION_GAP_AT_ONCE",
                runTimeFactor = 8.0,
                play = { repeat(2) { cancellationGap(cancelWithin = 0..100) } },
            )

        /** The same, with machines that hang at the cancellation and go on within their lease. */
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

        /** The leader renews and does not hear of cancellations, since its reads fail; then all are out. */
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

        /** Renewals come through slowly and others are served; the outage for all comes in between. */
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

        /** Jobs end, and are cancelled, while writes about them are carried out late. */
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
