package umberslip.sim

import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Machines and zones fail, and heartbeats are lost or late, while leaders change and jobs are cancelled. */
class MachineFailuresTest : CombinedFailures() {
    companion object {
        private val LATE_HEARTBEATS =
            CombinedFailure(
                6,
                "LATE_HEARTBEATS",
                FaultRates(lossy = 0.005, late = 0.08, copied = 0.3),
                play = {
                    repeat(4) {
                        restartLeader()
                        pause(12)
                        cluster.upMachines().randomOrNull(random)?.let { cluster.reboot(it, forgetsEpoch = false) }
                    }
                },
            )

        private val ONE_ZONE_LOST =
            CombinedFailure(
                10,
                "ONE_ZONE_LOST",
                runTimeFactor = 3.0,
                adaptJob = { job, _ -> job.copy(zone = null, spread = false, oneZone = true) },
                play = {
                    repeat(3) {
                        val zone = if (random.nextBoolean()) "east" else "west"
                        cluster.upMachines().filter { it.offer.zone == zone }.forEach {
                            if (random.nextInt(4) > 0) cluster.kill(it) else cluster.hang(it, 30.seconds)
                        }
                        pause(25)
                    }
                },
            )

        /** The leader restarts while machines with long tasks receive no responses from its successor. */
        private val RESPONSES_LOST_AT_FAILOVER =
            CombinedFailure(
                13,
                "RESPONSES_LOST_AT_FAILOVER",
                runTimeFactor = 8.0,
                play = {
                    cluster
                        .upMachines()
                        .shuffled(random)
                        .take(3)
                        .forEach { cluster.loseResponses(it, 40.seconds) }
                    restartLeader()
                    pause(4)
                    cancelSome(4)
                    pause(45)
                },
            )

        /**
         * Jobs of a team at its quota limit are cancelled during a failover, while some machines send no heartbeats or
         * hang.
         */
        private val QUOTA_LIMIT_AND_LOST_CONTACT =
            CombinedFailure(
                14,
                "QUOTA_LIMIT_AND_LOST_CONTACT",
                runTimeFactor = 8.0,
                adaptJob = { job, _ -> job.copy(team = "blue") },
                play = {
                    repeat(2) {
                        val machines = cluster.upMachines().shuffled(random)
                        machines.take(2).forEach { cluster.loseHeartbeats(it, 30.seconds) }
                        machines.drop(2).take(1).forEach { cluster.hang(it, 9.seconds) }
                        cancelSome(5)
                        restartLeader()
                        pause(20)
                    }
                },
            )

        private val ZONE_CUT =
            CombinedFailure(
                15,
                "ZONE_CUT",
                runTimeFactor = 6.0,
                play = {
                    cluster.cutZones(40.seconds)
                    pause(10)
                    cancelSome(4)
                    restartLeader()
                    pause(40)
                },
            )

        private val HEARTBEATS_LOST =
            CombinedFailure(
                16,
                "HEARTBEATS_LOST",
                runTimeFactor = 6.0,
                play = {
                    cluster
                        .upMachines()
                        .shuffled(random)
                        .let { it.take((it.size + 1) / 2) }
                        .forEach { cluster.loseHeartbeats(it, 25.seconds) }
                    pause(3)
                    cancelSome(5)
                    pause(40)
                },
            )

        @JvmStatic
        fun failures(): List<Array<Any>> =
            CombinedFailure.withSeeds(
                LATE_HEARTBEATS,
                ONE_ZONE_LOST,
                RESPONSES_LOST_AT_FAILOVER,
                QUOTA_LIMIT_AND_LOST_CONTACT,
                ZONE_CUT,
                HEARTBEATS_LOST,
            )
    }
}
