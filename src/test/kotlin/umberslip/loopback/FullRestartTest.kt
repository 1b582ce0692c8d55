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

    private fun scenario(): RestartScenario {
        val tuning = directory.resolve("recovery.toml")
        Files.writeString(tuning, "[recovery]\ntrack = true\nreturn_missing = true\n")
        val size = SceneSize(machines = 10, jobs = 4, tasksPerJob = 30, taskSeconds = 16.0)
        return RestartScenario(size, directory, listOf("--tuning", tuning.toString()))
    }

    /** Submits everything and waits until much of it runs. */
    private fun RestartScenario.fill() {
        submitAll()
        awaitUntil("$MANY tasks run") { workers.running() >= MANY }
    }

    private fun RestartScenario.awaitJobs() = awaitUntil("every job is done") { jobs.all { status(it) == "done" } }

    /** No task ran on two machines, after its end was recorded, or a second time unless it may have. */
    private fun RestartScenario.checkRuns(mayRunAgain: Set<String> = emptySet()) {
        val events = workers.events()
        val began = events.filterIsInstance<WorkerEvent.Began>()
        assertEquals(0, events.count { it is WorkerEvent.LeaseExpired }, "leases are long enough for any machine")
        assertEquals(emptyList<WorkerEvent>(), began.filter { it.machinesAtOnce > 1 }, "on two machines at once")
        assertEquals(emptyList<WorkerEvent>(), began.filter { it.wasFinished }, "its end was recorded")
        val runs = began.groupingBy { it.task }.eachCount()
        assertEquals(emptySet<String>(), runs.filterValues { it > 1 }.keys - mayRunAgain, "started again")
        assertEquals(jobs.sumOf { it.tasks }, runs.size, "every task ran")
        assertEquals(emptyList<WorkerEvent>(), events.filter { it is WorkerEvent.Ordered && it.verb == "stop" })
    }

    @Test
    fun `running tasks are adopted, also of workers that stay silent until after the first decisions`() {
        scenario().use { scenario ->
            scenario.fill()
            scenario.controllers.killAll()
            val fell = scenario.workers.now()
            val silent = scenario.workers.names().take(2)
            val theirs = scenario.workers.tasksOn(silent)
            assertTrue(theirs.isNotEmpty(), "the silent workers have tasks")
            scenario.workers.silence(silent, 3600.seconds)
            scenario.awaitUntil("nobody owns") { scenario.recovery().exitCode == RecoveryStatus.NO_LEADER.exitCode }
            val atTheFall = directory.resolve("fall.zst")
            scenario.saveRecords(atTheFall)
            scenario.controllers.startAll()
            scenario.awaitUntil("the others are adopted") { scenario.recovery().leader()?.long("unheard_machines") == 2L }
            assertEquals("recovering", scenario.recovery().status)
            scenario.awaitUntil("new work starts") {
                scenario.workers.events().any { it is WorkerEvent.Began && it.at > fell }
            }
            scenario.workers.silence(silent, 0.seconds)
            scenario.awaitUntil("settled") { scenario.recovery().exitCode == RecoveryStatus.COMPLETED.exitCode }
            val recovery = scenario.recovery()
            val accounted =
                listOf("adopted", "end_unrecorded", "not_reported", "not_reported_cancelled").sumOf(recovery::finding)
            assertEquals(recovery.leader()?.long("recorded_tasks"), accounted, "every recorded start is accounted for")
            assertEquals(0L, recovery.leader()?.long("lost_tasks"))
            assertTrue(accounted >= theirs.size)
            val settled = directory.resolve("settled.zst")
            scenario.saveRecords(settled)
            val change = scenario.compareRecords(atTheFall, settled)
            assertEquals(emptyList<String>(), change.textsOrNull("started_again"))
            assertEquals(recovery.leader()?.long("recorded_tasks"), change.map("tasks").run { COUNTED.sumOf(::long) })
            scenario.awaitJobs()
            scenario.checkRuns()
        }
    }

    @Test
    fun `controllers that fall again within the recovery, and come back one by one, start nothing twice`() {
        scenario().use { scenario ->
            scenario.fill()
            repeat(3) { round ->
                scenario.controllers.killAll()
                scenario.controllers.start(round)
                scenario.awaitUntil("controller $round owns") { scenario.recovery().leader() != null }
            }
            scenario.controllers.start(0)
            scenario.awaitJobs()
            scenario.checkRuns()
        }
    }

    @Test
    fun `tasks of machines taken back in the dark start again, and no others do`() {
        scenario().use { scenario ->
            scenario.fill()
            scenario.controllers.killAll()
            val machines = scenario.workers.names()
            val taken = machines.take(machines.size * 2 / 3)
            val lost = scenario.workers.tasksOn(taken)
            assertTrue(lost.isNotEmpty(), "tasks are lost")
            scenario.cloud.takeBack(taken)
            scenario.controllers.startAll()
            scenario.awaitUntil("settled") { scenario.recovery().exitCode == RecoveryStatus.COMPLETED.exitCode }
            scenario.awaitJobs()
            scenario.checkRuns(mayRunAgain = lost)
        }
    }

    private companion object {
        const val MANY = 40

        /** What became of the starts that were recorded at the fall. */
        val COUNTED = listOf("ran_on", "started_again", "not_placed", "job_ended")
    }
}
