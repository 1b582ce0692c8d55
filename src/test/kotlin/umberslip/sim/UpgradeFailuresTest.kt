package umberslip.sim

import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Controllers are replaced by ones with other limits, and the key-value store's limits fall, amid faults. */
class UpgradeFailuresTest : CombinedFailures() {
    companion object {
        /**
         * Controllers that know nothing of later limits, and are not asked for anything new, are replaced one by
         * one; leaders of both kinds follow one another on large values and small ones. Then the limits fall.
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
                        // One dies before its turn, and comes back as it was; so does the leader, whichever it is.
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

        /** All controllers end at once halfway through an upgrade while zones are cut; then back, and all anew. */
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

        /** The limits fall while jobs of many tasks are half done, in an outage, at a change of leader. */
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
