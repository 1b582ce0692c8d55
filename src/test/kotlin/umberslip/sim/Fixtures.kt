package umberslip.sim

import umberslip.core.JobId
import umberslip.core.JobSpec
import umberslip.core.Priority
import umberslip.core.Shape
import kotlin.random.Random

/** Sample settings, and sample jobs generated from a seed, such as a deployment might have. */
object Fixtures {
    fun settingsJson(member: String): String =
        json(
            member,
            3,
            """{"name":"blue","cpus":8.0,"cpus_max":24.0,"gpus":0.0,"gpus_max":0.0},""" +
                """{"name":"green","cpus":0.0,"cpus_max":0.0,"gpus":0.0,"gpus_max":0.0}""",
            """"report_s":1.0,"lease_s":10.0,"gang_wait_s":30.0,"gang_peer_s":4.0,"cancel_s":30.0""",
            """"rps":300.0,"write_rps":75.0,"value_kb":2.0,"txn_ops":8""",
        )

    /**
     * The settings of [largerLimitsJson], with lower limits announced, to which the key-value store may change at any
     * time.
     */
    fun nextLimitsJson(member: String): String =
        largerLimitsJson(member).replace(
            """"txn_ops":12""",
            """"txn_ops":12,"next":{"write_rps":30.0,"value_kb":1.0,"txn_ops":4}""",
        )

    /**
     * The settings of [settingsJson] with larger limits of the key-value store. They are those of [nextLimitsJson] as
     * read by a version that does not know of announced limits.
     */
    fun largerLimitsJson(member: String): String =
        settingsJson(member).replace(
            """"value_kb":2.0,"txn_ops":8""",
            """"value_kb":4.0,"txn_ops":12""",
        )

    /**
     * The settings of a fleet with few controllers, many teams, frequent heartbeats and a slow key-value store with
     * small values.
     */
    fun teamsFleetJson(member: String): String =
        json(
            member,
            3,
            TEAMS.joinToString { """{"name":"$it","cpus":1500.0,"cpus_max":4000.0,"gpus":0.0,"gpus_max":0.0}""" },
            """"report_s":1.5,"lease_s":10.75,"gang_wait_s":50.0,"gang_peer_s":4.0,"cancel_s":30.75""",
            """"rps":180.0,"write_rps":40.0,"value_kb":8.0,"txn_ops":12""",
        )

    /** The settings of a fleet with many controllers and machines, and with one team that has no limit. */
    fun largeFleetJson(member: String): String =
        json(
            member,
            7,
            """{"name":"sole","cpus":0.0,"cpus_max":0.0,"gpus":0.0,"gpus_max":0.0}""",
            """"report_s":5.0,"lease_s":26.5,"gang_wait_s":30.0,"gang_peer_s":6.0,"cancel_s":46.5""",
            """"rps":500.0,"write_rps":200.0,"value_kb":32.0,"txn_ops":48""",
        )

    private fun json(
        member: String,
        nodes: Int,
        teams: String,
        workers: String,
        store: String,
    ): String =
        """{"member":"$member","area":"${area(member)}","bind":"127.0.0.1:8080","peer_listen":"127.0.0.1:8081",
        "known":[${knownPeers(member, nodes)}],"endpoints":{
            "cloud":"127.0.0.1:1","state":"127.0.0.1:2"
        },"unknown_field":[1,{"a":null}],
        "settings":{"nodes":$nodes,"zones":["east","west"],"teams":[$teams],
        "objectives":[{"kind":"finished","class":"batch","within_s":60.0,"share":0.9},
        {"kind":"guarantee","within_s":5.0,"share":0.9}],
        "workers":{$workers},"state":{$store},"cloud":{"rps":5.0,"list_lag_s":4.0},
        "quota":{"cpu":0.25,"ram_mb":200.0,"sockets":200},"skew_ms":25.0}}"""

    private fun area(member: String) = if (member.last().digitToInt() % 2 == 1) "west" else "east"

    private fun knownPeers(
        member: String,
        nodes: Int,
    ): String =
        List(nodes) { "c-$it" }
            .filter { it != member }
            .joinToString { """{"member":"$it","area":"${area(it)}","addr":"127.0.0.1:8081"}""" }

    val TEAMS = listOf("ash", "birch", "cedar", "elm", "fir", "oak")

    /** Returns a job for a large fleet: many tasks, each of which needs a small part of a machine. */
    fun fleetJob(
        random: Random,
        number: Int,
        teams: List<String>,
    ): JobSpec =
        job(random, number).copy(
            team = teams.random(random),
            tasks = if (random.nextInt(10) == 0) random.nextInt(200, 600) else random.nextInt(20, 120),
            cpus = listOf(1.0, 2.0)[random.nextInt(2)],
            memoryGb = 1.9,
            instanceTypes = null,
            zone = null,
            oneZone = false,
            spread = false,
            spot = true,
            expectedSeconds = random.nextDouble(10.0, 40.0),
        )

    /** Returns a job of tasks with one CPU each that may run on any machine. */
    fun unboundJob(
        random: Random,
        number: Int,
    ): JobSpec =
        job(random, number).copy(
            team = "green",
            cpus = 1.0,
            memoryGb = 1.0,
            instanceTypes = null,
            zone = null,
            oneZone = false,
            spread = false,
            spot = true,
        )

    fun job(
        random: Random,
        number: Int,
    ): JobSpec {
        val instanceTypeChoices = listOf(listOf("small"), listOf("large"), null, null)
        val tasks = if (random.nextInt(8) == 0) random.nextInt(40, 120) else random.nextInt(1, 12)
        return JobSpec(
            id = JobId("run-%06d".format(number)),
            jobClass = "batch",
            team = if (random.nextBoolean()) "blue" else "green",
            shape = Shape.ARRAY,
            priority = Priority.entries[random.nextInt(Priority.entries.size)],
            tasks = tasks,
            cpus = listOf(0.5, 1.0, 2.0, 4.0)[random.nextInt(4)],
            gpus = 0.0,
            memoryGb = listOf(0.5, 2.0, 4.0)[random.nextInt(3)],
            image = "img-${random.nextInt(3)}",
            imageGb = 1.0,
            instanceTypes = instanceTypeChoices[random.nextInt(instanceTypeChoices.size)],
            zone = listOf("east", "west", null, null, null)[random.nextInt(5)],
            oneZone = random.nextInt(5) == 0,
            spread = false,
            spot = random.nextInt(3) > 0,
            expectedSeconds = random.nextDouble(1.0, 15.0),
            checkpointIntervalSeconds = 0.0,
            checkpointSaveSeconds = 0.0,
            deadlineSeconds = if (random.nextBoolean()) random.nextDouble(10.0, 100.0) else null,
        ).let { if (it.zone == null && !it.oneZone && random.nextInt(5) == 0) it.copy(spread = true) else it }
    }
}
