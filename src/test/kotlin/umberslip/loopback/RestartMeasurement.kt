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
            reportEvery = 1.seconds,
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
    RestartScene(plan.size, Files.createTempDirectory("restart"), plan.options).use { scene ->
        scene.submitAll()
        scene.awaitUntil("nearly all tasks run") { scene.workers.running() >= plan.jobs * plan.tasksPerJob * 95 / 100 }
        reportSizes(scene)
        val names = scene.workers.names().shuffled(Random(1))
        scene.controllers.killAll()
        val running = scene.workers.running()
        val rentedBefore = scene.cloud.rentals().size
        scene.cloud.takeBack(names.take(names.size * plan.takenPercent / 100))
        Thread.sleep(plan.darkSeconds * 1000L)
        val back = scene.workers.now()
        scene.controllers.startAll()
        Thread.sleep(110_000)
        val owner = scene.recovery().owner()
        println("${names.size} machines, $running tasks ran, dark ${plan.darkSeconds} s, ${plan.takenPercent} % taken")
        println("  options ${plan.options}; owner: ${owner?.raw()}")
        report(scene.workers.events(), back)
        println("  rented in 110 s: ${scene.cloud.rentals().size - rentedBefore}")
    }
}

/** What the records take as they are kept, and compressed as a checkpoint might be. */
private fun reportSizes(scene: RestartScene) {
    val file = Files.createTempFile("records", ".zst")
    scene.saveRecords(file)
    val entries = ArchiveFile.read(file).entries

    fun bytes(prefix: String): Int =
        entries
            .filter { it.key.startsWith(prefix) }
            .sumOf { Documents.jsonSize(it.data) }
    println("records: ${entries.size}, jobs ${bytes("u/job/")} bytes, log ${bytes("u/log/")} bytes")
    println("  all of them compressed: ${Files.size(file)} bytes")
}

private fun report(
    events: List<WorkerEvent>,
    back: Duration,
) {
    val orders = events.filterIsInstance<WorkerEvent.Ordered>().filter { it.at in back..back + 60.seconds }
    val began = events.filterIsInstance<WorkerEvent.Began>()
    val leasesOver = events.filterIsInstance<WorkerEvent.LeaseOver>()
    println("  orders in the first minute: ${orders.groupingBy { it.verb }.eachCount()}")
    println("  first order after ${orders.minOfOrNull { it.at }?.minus(back)}")
    println("  first start after ${orders.filter { it.verb == "start" }.minOfOrNull { it.at }?.minus(back)}")
    println("  on two machines at once: ${began.count { it.machinesAtOnce > 1 }}")
    println("  begun after their recorded end: ${began.count { it.wasFinished }}")
    println("  started more than once: ${began.groupingBy { it.task }.eachCount().count { it.value > 1 }}")
    println("  leases that ran out: ${leasesOver.size} with ${leasesOver.sumOf { it.tasks }} tasks")
}
