package umberslip.loopback

import umberslip.http.Documents
import umberslip.recovery.archive.ArchiveFile
import java.nio.file.Files
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** A restart of all controllers that takes [darkSeconds], with a part of the machines lost meanwhile. */
private class Plan(
    arguments: Array<String>,
) {
    val machines = arguments[0].toInt()
    val jobs = arguments[1].toInt()
    val tasksPerJob = arguments[2].toInt()
    val taskSeconds = arguments[3].toDouble()
    val darkSeconds = arguments[4].toInt()
    val takenPercent = arguments[5].toInt()

    /** The operators' settings file, if any. */
    val options = arguments.drop(6).flatMap { listOf("--tuning", it) }

    val size =
        SceneSize(
            machines,
            jobs,
            tasksPerJob,
            taskSeconds,
            heartbeatInterval = 1.seconds,
            lease = 10.seconds,
            listLag = 4.seconds,
        )
}

/**
 * Measures one restart on loopback, outside of the tests. Arguments: machines, jobs, tasks of each job, seconds of each
 * task, seconds in the dark, percentage of the machines taken back meanwhile, and the operators' settings file, if any.
 */
fun main(arguments: Array<String>) {
    val plan = Plan(arguments)
    RestartScenario(plan.size, Files.createTempDirectory("restart"), plan.options).use { scenario ->
        scenario.submitAll()
        scenario.awaitUntil("nearly all tasks run") { scenario.workers.running() >= plan.jobs * plan.tasksPerJob * 95 / 100 }
        heartbeatSizes(scenario)
        val names = scenario.workers.names().shuffled(Random(1))
        scenario.controllers.killAll()
        val running = scenario.workers.running()
        val provisionedBefore = scenario.cloud.rentals().size
        scenario.cloud.takeBack(names.take(names.size * plan.takenPercent / 100))
        Thread.sleep(plan.darkSeconds * 1000L)
        val back = scenario.workers.now()
        scenario.controllers.startAll()
        Thread.sleep(110_000)
        val leader = scenario.recovery().leader()
        println("${names.size} machines, $running tasks ran, dark ${plan.darkSeconds} s, ${plan.takenPercent} % taken")
        println("  options ${plan.options}; owner: ${leader?.raw()}")
        heartbeat(scenario.workers.events(), back)
        println("  rented in 110 s: ${scenario.cloud.rentals().size - provisionedBefore}")
    }
}

/** What the records take as they are kept, and compressed as a checkpoint might be. */
private fun heartbeatSizes(scenario: RestartScenario) {
    val file = Files.createTempFile("records", ".zst")
    scenario.saveRecords(file)
    val entries = ArchiveFile.read(file).entries

    fun bytes(prefix: String): Int =
        entries
            .filter { it.key.startsWith(prefix) }
            .sumOf { Documents.jsonSize(it.data) }
    println("records: ${entries.size}, jobs ${bytes("u/job/")} bytes, log ${bytes("u/log/")} bytes")
    println("  all of them compressed: ${Files.size(file)} bytes")
}

private fun heartbeat(
    events: List<WorkerEvent>,
    back: Duration,
) {
    val commands = events.filterIsInstance<WorkerEvent.Ordered>().filter { it.at in back..back + 60.seconds }
    val began = events.filterIsInstance<WorkerEvent.Began>()
    val leasesExpired = events.filterIsInstance<WorkerEvent.LeaseExpired>()
    println("  orders in the first minute: ${commands.groupingBy { it.verb }.eachCount()}")
    println("  first order after ${commands.minOfOrNull { it.at }?.minus(back)}")
    println("  first start after ${commands.filter { it.verb == "start" }.minOfOrNull { it.at }?.minus(back)}")
    println("  on two machines at once: ${began.count { it.machinesAtOnce > 1 }}")
    println("  begun after their recorded end: ${began.count { it.wasFinished }}")
    println("  started more than once: ${began.groupingBy { it.task }.eachCount().count { it.value > 1 }}")
    println("  leases that ran out: ${leasesExpired.size} with ${leasesExpired.sumOf { it.tasks }} tasks")
}
