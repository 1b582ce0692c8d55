package umberslip.sim

import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Faults occur while jobs that other jobs depend on complete or are cancelled. */
class DependencyFailuresTest : CombinedFailures() {
    companion object {
        /** Leaders restart and jobs are cancelled while jobs that others depend on complete. */
        private val DEPENDENCIES =
            CombinedFailure(
                18,
                "DEPENDENCIES",
                runTimeFactor = 0.6,
                withDependencies = true,
                play = {
                    cluster.cancelAtEnd = 0.15
                    repeat(5) {
                        pause(6)
                        restartLeader()
                        cancelOpen(2)
                    }
                },
            )

        private val DEPENDENCIES_AND_LATE_WRITES =
            CombinedFailure(
                19,
                "DEPENDENCIES_AND_LATE_WRITES",
                runTimeFactor = 0.6,
                withDependencies = true,
                play = {
                    cluster.cancelAtEnd = 0.2
                    cluster.lateWrites = 0.3
                    repeat(3) {
                        pause(10)
                        cancelOpen(3)
                        if (it == 1) restartLeader()
                    }
                },
            )

        private val DEPENDENCIES_AND_CANCELLATION_GAP =
            CombinedFailure(
                20,
                "DEPENDENCIES_AND_CANCELLATION_GAP",
                runTimeFactor = 3.0,
                withDependencies = true,
                play = {
                    repeat(2) {
                        cluster.leader()?.let { cluster.cutFromStore(it, 14.seconds) }
                        cancelOpen(6)
                        cluster.run(1900.milliseconds)
                        cluster.store.out = true
                        pause(40)
                        cluster.store.out = false
                        pause(12)
                    }
                },
            )

        private val DEPENDENCIES_AND_CUT_ZONES =
            CombinedFailure(
                21,
                "DEPENDENCIES_AND_CUT_ZONES",
                runTimeFactor = 1.0,
                withDependencies = true,
                play = {
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
                },
            )

        @JvmStatic
        fun failures(): List<Array<Any>> =
            CombinedFailure.withSeeds(
                DEPENDENCIES,
                DEPENDENCIES_AND_LATE_WRITES,
                DEPENDENCIES_AND_CANCELLATION_GAP,
                DEPENDENCIES_AND_CUT_ZONES,
            )
    }
}
