package umberslip.sim

import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Controllers are replaced by ones with other limits, and the key-value store lowers its limits, in combination with
 * other faults.
 */
class UpgradeFailuresTest : CombinedFailures() {
    companion object {
        /**
         * Controllers that do not know of later limits are replaced one by one. Until all are replaced, no job uses a
         * newer feature. Leaders of both versions alternate, on large values and small ones. Then the store lowers its
         * limits.
         */
        private val UPGRADE =
            CombinedFailure(
                27,
                "UPGRADE",
                runTimeFactor = 2.0,
                settingsJson = Fixtures::largerLimitsJson,
                adaptJob = SOME_WITH_MANY_TASKS,
                play = {
                    for (i in listOf(0, 1, 2)) {
                        replace(i, Fixtures::nextLimitsJson)
                        pause(7)
                        // Controller 2 restarts with the old settings before its own upgrade. The current leader,
                        // which may have either version, restarts as well.
                        if (i < 2) replace(2, Fixtures::largerLimitsJson)
                        restartLeader()
                        pause(7)
                    }
                    withDependencies = true
                    pause(12)
                    cluster.storeLimitsLowered = true
                    restartLeader()
                    cancelOpen(2)
                    pause(20)
                },
            )

        /**
         * All controllers stop at once halfway through an upgrade, while the zones are cut from one another. The
         * upgrade is rolled back and then done again.
         */
        private val UPGRADE_ROLLED_BACK =
            CombinedFailure(
                28,
                "UPGRADE_ROLLED_BACK",
                runTimeFactor = 2.0,
                settingsJson = Fixtures::largerLimitsJson,
                adaptJob = SOME_WITH_MANY_TASKS,
                play = {
                    replace(0, Fixtures::nextLimitsJson)
                    pause(4)
                    cluster.cutZones(8.seconds)
                    replace(1, Fixtures::nextLimitsJson)
                    pause(3)
                    (0..2).forEach(cluster::stopController)
                    pause(2)
                    (0..2).forEach(cluster::startController)
                    pause(10)
                    for (i in 0..1) {
                        replace(i, Fixtures::largerLimitsJson)
                        pause(4)
                    }
                    restartLeader()
                    pause(6)
                    for (i in 0..2) {
                        replace(i, Fixtures::nextLimitsJson)
                        pause(4)
                    }
                    withDependencies = true
                    pause(10)
                    cluster.storeLimitsLowered = true
                    restartLeader()
                    cancelOpen(2)
                    pause(20)
                },
            )

        /** The store lowers its limits during an outage and a failover, while jobs with many tasks are half done. */
        private val LIMITS_LOWERED =
            CombinedFailure(
                29,
                "LIMITS_LOWERED",
                runTimeFactor = 2.0,
                withDependencies = true,
                settingsJson = Fixtures::nextLimitsJson,
                adaptJob = SOME_WITH_MANY_TASKS,
                play = {
                    cluster.store.out = true
                    pause(4)
                    cluster.storeLimitsLowered = true
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
                },
            )

        @JvmStatic
        fun failures(): List<Array<Any>> =
            CombinedFailure.withSeeds(
                UPGRADE,
                UPGRADE_ROLLED_BACK,
                LIMITS_LOWERED,
            )
    }
}
