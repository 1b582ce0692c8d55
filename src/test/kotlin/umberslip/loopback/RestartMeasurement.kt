package umberslip.loopback

import umberslip.http.Documents
import umberslip.recovery.archive.ArchiveFile
import java.nio.file.Files
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * The parameters of a measured restart: all controllers are down for [downSeconds], and [interruptedPercent] percent of
 * the machines are interrupted meanwhile.
 */
private class MeasurementPlan(
    arguments: Array<String>,
) {
    val machines = arguments[0].toInt()
    val jobs = arguments[1].toInt()
    val tasksPerJob = arguments[2].toInt()
    val taskSeconds = arguments[3].toDouble()
    val downSeconds = arguments[4].toInt()
    val interruptedPercent = arguments[5].toInt()

    /** The command-line option with the operators' settings file, if one is given. */
    val tuningOption = arguments.drop(6).flatMap { listOf("--tuning", it) }

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
    RestartScenario(plan.size, Files.createTempDirectory("restart"), plan.tuningOption).use { scenario ->
        scenario.submitAll()
        val nearlyAllTasks = plan.jobs * plan.tasksPerJob * 95 / 100
        scenario.awaitUntil("nearly all tasks run") { scenario.workers.runningCount() >= nearlyAllTasks }
        printRecordSizes(scenario)
        val machineNames = scenario.workers.machineNames().shuffled(Random(1))
        scenario.controllers.killAll()
        val runningTasks = scenario.workers.runningCount()
        val provisionedCountBefore = scenario.cloud.provisionedAt().size
        scenario.cloud.interrupt(machineNames.take(machineNames.size * plan.interruptedPercent / 100))
        Thread.sleep(plan.downSeconds * 1000L)
        val restartedAt = scenario.workers.now()
        scenario.controllers.startAll()
        Thread.sleep(110_000)
        val leader = scenario.recovery().leaderReport()
        println("${machineNames.size} machines, $runningTasks tasks ran, down ${plan.downSeconds} s")
        println("  ${plan.interruptedPercent} % of the machines interrupted")
        println("  options ${plan.tuningOption}; leader: ${leader?.raw()}")
        printEvents(scenario.workers.events(), restartedAt)
        println("  provisioned in 110 s: ${scenario.cloud.provisionedAt().size - provisionedCountBefore}")
    }
}

/** Prints the sizes of the records as they are stored, and compressed as they could be in a checkpoint. */
private fun printRecordSizes(scenario: RestartScenario) {
    val file = Files.createTempFile("records", ".zst")
    scenario.saveRecords(file)
    val entries = ArchiveFile.read(file).entries

    fun bytesUnder(prefix: String): Int =
        entries
            .filter { it.key.startsWith(prefix) }
            .sumOf { Documents.jsonSize(it.data) }
    println("records: ${entries.size}, jobs ${bytesUnder("u/job/")} bytes, log ${bytesUnder("u/log/")} bytes")
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
    println("  starts on two machines at once: ${starts.count { it.machineCount > 1 }}")
    println("  starts after the recorded exit of the task: ${starts.count { it.exitWasRecorded }}")
    println("  tasks started more than once: ${starts.groupingBy { it.task }.eachCount().count { it.value > 1 }}")
    println("  leases that expired: ${leasesExpired.size} with ${leasesExpired.sumOf { it.tasks }} tasks")
}
