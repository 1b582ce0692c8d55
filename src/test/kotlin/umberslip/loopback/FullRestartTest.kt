package umberslip.loopback

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.io.TempDir
import umberslip.recovery.RecoveryStatus
import java.nio.file.Files
import java.nio.file.Path
import kotlin.time.Duration.Companion.seconds

/**
 * All controllers, as processes, are killed and started anew while the workers run on. Leases are longer than any
 * restart takes, and the checks are of counts and order, so a slow machine changes nothing.
 */
class FullRestartTest {
    @TempDir
    lateinit var directory: Path

    private fun scene(): RestartScene {
        val tuning = directory.resolve("recovery.toml")
        Files.writeString(tuning, "[recovery]\ntrack = true\nreturn_missing = true\n")
        val size = SceneSize(machines = 10, jobs = 4, tasksPerJob = 30, taskSeconds = 16.0)
        return RestartScene(size, directory, listOf("--tuning", tuning.toString()))
    }

    /** Submits everything and waits until much of it runs. */
    private fun RestartScene.fill() {
        submitAll()
        awaitUntil("$MANY tasks run") { workers.running() >= MANY }
    }

    private fun RestartScene.awaitJobs() = awaitUntil("every job is done") { jobs.all { status(it) == "done" } }

    /** No task ran on two machines, after its end was recorded, or a second time unless it may have. */
    private fun RestartScene.checkRuns(mayRunAgain: Set<String> = emptySet()) {
        val events = workers.events()
        val began = events.filterIsInstance<WorkerEvent.Began>()
        assertEquals(0, events.count { it is WorkerEvent.LeaseOver }, "leases are long enough for any machine")
        assertEquals(emptyList<WorkerEvent>(), began.filter { it.machinesAtOnce > 1 }, "on two machines at once")
        assertEquals(emptyList<WorkerEvent>(), began.filter { it.wasFinished }, "its end was recorded")
        val runs = began.groupingBy { it.task }.eachCount()
        assertEquals(emptySet<String>(), runs.filterValues { it > 1 }.keys - mayRunAgain, "started again")
        assertEquals(jobs.sumOf { it.tasks }, runs.size, "every task ran")
        assertEquals(emptyList<WorkerEvent>(), events.filter { it is WorkerEvent.Ordered && it.verb == "stop" })
    }

    @Test
    fun `running tasks are adopted, also of workers that stay silent until after the first decisions`() {
        scene().use { scene ->
            scene.fill()
            scene.controllers.killAll()
            val fell = scene.workers.now()
            val silent = scene.workers.names().take(2)
            val theirs = scene.workers.tasksOn(silent)
            assertTrue(theirs.isNotEmpty(), "the silent workers have tasks")
            scene.workers.silence(silent, 3600.seconds)
            scene.awaitUntil("nobody owns") { scene.recovery().exitCode == RecoveryStatus.NO_OWNER.exitCode }
            val atTheFall = directory.resolve("fall.zst")
            scene.saveRecords(atTheFall)
            scene.controllers.startAll()
            scene.awaitUntil("the others are adopted") { scene.recovery().owner()?.long("unheard_machines") == 2L }
            assertEquals("recovering", scene.recovery().status)
            scene.awaitUntil("new work starts") {
                scene.workers.events().any { it is WorkerEvent.Began && it.at > fell }
            }
            scene.workers.silence(silent, 0.seconds)
            scene.awaitUntil("settled") { scene.recovery().exitCode == RecoveryStatus.SETTLED.exitCode }
            val recovery = scene.recovery()
            val accounted =
                listOf("adopted", "end_unrecorded", "not_reported", "not_reported_cancelled").sumOf(recovery::finding)
            assertEquals(recovery.owner()?.long("recorded_tasks"), accounted, "every recorded start is accounted for")
            assertEquals(0L, recovery.owner()?.long("lost_tasks"))
            assertTrue(accounted >= theirs.size)
            val settled = directory.resolve("settled.zst")
            scene.saveRecords(settled)
            val change = scene.compareRecords(atTheFall, settled)
            assertEquals(emptyList<String>(), change.textsOrNull("started_again"))
            assertEquals(recovery.owner()?.long("recorded_tasks"), change.map("tasks").run { COUNTED.sumOf(::long) })
            scene.awaitJobs()
            scene.checkRuns()
        }
    }

    @Test
    fun `controllers that fall again within the recovery, and come back one by one, start nothing twice`() {
        scene().use { scene ->
            scene.fill()
            repeat(3) { round ->
                scene.controllers.killAll()
                scene.controllers.start(round)
                scene.awaitUntil("controller $round owns") { scene.recovery().owner() != null }
            }
            scene.controllers.start(0)
            scene.awaitJobs()
            scene.checkRuns()
        }
    }

    @Test
    fun `tasks of machines taken back in the dark start again, and no others do`() {
        scene().use { scene ->
            scene.fill()
            scene.controllers.killAll()
            val machines = scene.workers.names()
            val taken = machines.take(machines.size * 2 / 3)
            val lost = scene.workers.tasksOn(taken)
            assertTrue(lost.isNotEmpty(), "tasks are lost")
            scene.cloud.takeBack(taken)
            scene.controllers.startAll()
            scene.awaitUntil("settled") { scene.recovery().exitCode == RecoveryStatus.SETTLED.exitCode }
            scene.awaitJobs()
            scene.checkRuns(mayRunAgain = lost)
        }
    }

    private companion object {
        const val MANY = 40

        /** What became of the starts that were recorded at the fall. */
        val COUNTED = listOf("ran_on", "started_again", "not_placed", "job_ended")
    }
}
