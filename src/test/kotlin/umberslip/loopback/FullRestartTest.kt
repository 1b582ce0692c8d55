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
        val size = ScenarioSize(machines = 10, jobs = 4, tasksPerJob = 30, taskSeconds = 16.0)
        return RestartScenario(size, directory, listOf("--tuning", tuning.toString()))
    }

    /** Submits everything and waits until much of it runs. */
    private fun RestartScenario.fill() {
        submitAll()
        awaitUntil("$ENOUGH_TASKS tasks run") { workers.running() >= ENOUGH_TASKS }
    }

    private fun RestartScenario.awaitCompletedRecovery() =
        awaitUntil("the recovery completes") {
            recovery().exitCode == RecoveryStatus.COMPLETED.exitCode
        }

    private fun RestartScenario.awaitJobs() = awaitUntil("every job is done") { jobs.all { status(it) == "done" } }

    /** No task ran on two machines, after its end was recorded, or a second time unless it may have. */
    private fun RestartScenario.checkRuns(mayRunAgain: Set<String> = emptySet()) {
        val events = workers.events()
        val starts = events.filterIsInstance<WorkerEvent.TaskStarted>()
        assertEquals(0, events.count { it is WorkerEvent.LeaseExpired }, "leases are long enough for any machine")
        assertEquals(emptyList<WorkerEvent>(), starts.filter { it.machineCount > 1 }, "on two machines at once")
        assertEquals(emptyList<WorkerEvent>(), starts.filter { it.exitWasRecorded }, "its end was recorded")
        val runs = starts.groupingBy { it.task }.eachCount()
        assertEquals(emptySet<String>(), runs.filterValues { it > 1 }.keys - mayRunAgain, "started again")
        assertEquals(jobs.sumOf { it.tasks }, runs.size, "every task ran")
        assertEquals(emptyList<WorkerEvent>(), events.filter { it is WorkerEvent.CommandReceived && it.verb == "stop" })
    }

    @Test
    fun `running tasks are adopted, also of workers that send no heartbeat until after the first decisions`() {
        scenario().use { scenario ->
            scenario.fill()
            scenario.controllers.killAll()
            val killedAt = scenario.workers.now()
            val unresponsive = scenario.workers.names().take(2)
            val theirTasks = scenario.workers.tasksOn(unresponsive)
            assertTrue(theirTasks.isNotEmpty(), "the unresponsive workers have tasks")
            scenario.workers.pauseHeartbeats(unresponsive, 3600.seconds)
            scenario.awaitUntil("nobody leads") { scenario.recovery().exitCode == RecoveryStatus.NO_LEADER.exitCode }
            val atTheRestart = directory.resolve("before.zst")
            scenario.saveRecords(atTheRestart)
            scenario.controllers.startAll()
            scenario.awaitUntil("the others are adopted") {
                scenario.recovery().leader()?.long("unheard_machines") == 2L
            }
            assertEquals("recovering", scenario.recovery().status)
            scenario.awaitUntil("new work starts") {
                scenario.workers.events().any { it is WorkerEvent.TaskStarted && it.at > killedAt }
            }
            scenario.workers.pauseHeartbeats(unresponsive, 0.seconds)
            scenario.awaitCompletedRecovery()
            val recovery = scenario.recovery()
            val accounted =
                listOf("adopted", "end_unrecorded", "not_reported", "not_reported_cancelled").sumOf(recovery::finding)
            assertEquals(recovery.leader()?.long("recorded_tasks"), accounted, "every recorded start is accounted for")
            assertEquals(0L, recovery.leader()?.long("lost_tasks"))
            assertTrue(accounted >= theirTasks.size)
            val completed = directory.resolve("after.zst")
            scenario.saveRecords(completed)
            val change = scenario.compareRecords(atTheRestart, completed)
            assertEquals(emptyList<String>(), change.textsOrNull("started_again"))
            assertEquals(recovery.leader()?.long("recorded_tasks"), change.map("tasks").run { COUNTED.sumOf(::long) })
            scenario.awaitJobs()
            scenario.checkRuns()
        }
    }

    @Test
    fun `controllers that are killed again during the recovery, and come back one by one, start nothing twice`() {
        scenario().use { scenario ->
            scenario.fill()
            repeat(3) { round ->
                scenario.controllers.killAll()
                scenario.controllers.start(round)
                scenario.awaitUntil("controller $round leads") { scenario.recovery().leader() != null }
            }
            scenario.controllers.start(0)
            scenario.awaitJobs()
            scenario.checkRuns()
        }
    }

    @Test
    fun `tasks of machines interrupted while all controllers are down start again, and no others do`() {
        scenario().use { scenario ->
            scenario.fill()
            scenario.controllers.killAll()
            val machines = scenario.workers.names()
            val interrupted = machines.take(machines.size * 2 / 3)
            val lost = scenario.workers.tasksOn(interrupted)
            assertTrue(lost.isNotEmpty(), "tasks are lost")
            scenario.cloud.interrupt(interrupted)
            scenario.controllers.startAll()
            scenario.awaitCompletedRecovery()
            scenario.awaitJobs()
            scenario.checkRuns(mayRunAgain = lost)
        }
    }

    private companion object {
        const val ENOUGH_TASKS = 40

        /** What became of the starts that were recorded at the restart. */
        val COUNTED = listOf("ran_on", "started_again", "not_placed", "job_ended")
    }
}
