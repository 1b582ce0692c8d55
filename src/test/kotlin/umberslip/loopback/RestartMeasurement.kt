package umberslip.loopback

import umberslip.http.Documents
import umberslip.recovery.archive.ArchiveFile
import java.nio.file.Files
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** A restart of all controllers that takes [downSeconds], with a part of the machines lost meanwhile. */
private class MeasurementPlan(
    arguments: Array<String>,
) {
    val machines = arguments[0].toInt()
    val jobs = arguments[1].toInt()
    val tasksPerJob = arguments[2].toInt()
    val taskSeconds = arguments[3].toDouble()
    val downSeconds = arguments[4].toInt()
    val interruptedPercent = arguments[5].toInt()

    /** The operators' settings file, if any. */
    val options = arguments.drop(6).flatMap { listOf("--tuning", it) }

    val size =
        ScenarioSize(
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
 * task, seconds while all controllers are down, percentage of the machines interrupted meanwhile, and the operators'
 * settings file, if any.
 */
fun main(arguments: Array<String>) {
    val plan = MeasurementPlan(arguments)
    RestartScenario(plan.size, Files.createTempDirectory("restart"), plan.options).use { scenario ->
        scenario.submitAll()
        val nearlyAllTasks = plan.jobs * plan.tasksPerJob * 95 / 100
        scenario.awaitUntil("nearly all tasks run") { scenario.workers.running() >= nearlyAllTasks }
        printRecordSizes(scenario)
        val names = scenario.workers.names().shuffled(Random(1))
        scenario.controllers.killAll()
        val running = scenario.workers.running()
        val provisionedBefore = scenario.cloud.provisionedAt().size
        scenario.cloud.interrupt(names.take(names.size * plan.interruptedPercent / 100))
        Thread.sleep(plan.downSeconds * 1000L)
        val restartedAt = scenario.workers.now()
        scenario.controllers.startAll()
        Thread.sleep(110_000)
        val leader = scenario.recovery().leader()
        println("${names.size} machines, $running tasks ran, down ${plan.downSeconds} s")
        println("  ${plan.interruptedPercent} % of the machines interrupted")
        println("  options ${plan.options}; leader: ${leader?.raw()}")
        printEvents(scenario.workers.events(), restartedAt)
        println("  provisioned in 110 s: ${scenario.cloud.provisionedAt().size - provisionedBefore}")
    }
}

/** What the records take as they are kept, and compressed as a checkpoint might be. */
private fun printRecordSizes(scenario: RestartScenario) {
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

private fun printEvents(
    events: List<WorkerEvent>,
    restartedAt: Duration,
) {
    val firstMinute = restartedAt..restartedAt + 60.seconds
    val commands = events.filterIsInstance<WorkerEvent.CommandReceived>().filter { it.at in firstMinute }
    val starts = events.filterIsInstance<WorkerEvent.TaskStarted>()
    val leasesExpired = events.filterIsInstance<WorkerEvent.LeaseExpired>()
    println("  commands in the first minute: ${commands.groupingBy { it.verb }.eachCount()}")
    println("  first command after ${commands.minOfOrNull { it.at }?.minus(restartedAt)}")
    println("  first start after ${commands.filter { it.verb == "start" }.minOfOrNull { it.at }?.minus(restartedAt)}")
    println("  on two machines at once: ${starts.count { it.machineCount > 1 }}")
    println("  begun after their recorded end: ${starts.count { it.exitWasRecorded }}")
    println("  started more than once: ${starts.groupingBy { it.task }.eachCount().count { it.value > 1 }}")
    println("  leases that ran out: ${leasesExpired.size} with ${leasesExpired.sumOf { it.tasks }} tasks")
}
