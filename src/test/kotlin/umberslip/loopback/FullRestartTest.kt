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
 * Kills and restarts all controllers, which are separate processes, while the workers keep running. Leases are longer
 * than any restart, and only counts and order are checked, so a slow machine does not change the result.
 */
class FullRestartTest {
    @TempDir
    lateinit var directory: Path

    private fun newScenario(): RestartScenario {
        val tuningFile = directory.resolve("recovery.toml")
        Files.writeString(tuningFile, "[recovery]\ntrack = true\nreturn_missing = true\n")
        val size = ScenarioSize(machines = 10, jobs = 4, tasksPerJob = 30, taskSeconds = 16.0)
        return RestartScenario(size, directory, listOf("--tuning", tuningFile.toString()))
    }

    /** Submits all jobs and waits until [MIN_RUNNING_TASKS] tasks run. */
    private fun RestartScenario.startTasks() {
        submitAll()
        awaitUntil("$MIN_RUNNING_TASKS tasks run") { workers.runningCount() >= MIN_RUNNING_TASKS }
    }

    private fun RestartScenario.awaitCompletedRecovery() =
        awaitUntil("the recovery completes") {
            recovery().exitCode == RecoveryStatus.COMPLETED.exitCode
        }

    private fun RestartScenario.awaitJobsDone() = awaitUntil("all jobs done") { jobs.all { statusOf(it) == "done" } }

    /**
     * Checks that every task ran, none on two machines at once, after its exit was recorded, or a second time unless it
     * is in [mayRunAgain]. No lease may have expired, and no worker may have received a stop command.
     */
    private fun RestartScenario.checkTaskRuns(mayRunAgain: Set<String> = emptySet()) {
        val events = workers.events()
        val starts = events.filterIsInstance<WorkerEvent.TaskStarted>()
        assertEquals(0, events.count { it is WorkerEvent.LeaseExpired }, "leases that expired")
        assertEquals(emptyList<WorkerEvent>(), starts.filter { it.machineCount > 1 }, "started on two machines at once")
        assertEquals(emptyList<WorkerEvent>(), starts.filter { it.exitWasRecorded }, "started after a recorded exit")
        val runs = starts.groupingBy { it.task }.eachCount()
        assertEquals(emptySet<String>(), runs.filterValues { it > 1 }.keys - mayRunAgain, "started more than once")
        assertEquals(jobs.sumOf { it.tasks }, runs.size, "tasks that ran")
        assertEquals(emptyList<WorkerEvent>(), events.filter { it is WorkerEvent.CommandReceived && it.verb == "stop" })
    }

    @Test
    fun `running tasks are adopted, also from workers that send no heartbeat until after new tasks start`() {
        newScenario().use { scenario ->
            scenario.startTasks()
            scenario.controllers.killAll()
            val killedAt = scenario.workers.now()
            val unresponsive = scenario.workers.machineNames().take(2)
            val unresponsiveTasks = scenario.workers.tasksOn(unresponsive)
            assertTrue(unresponsiveTasks.isNotEmpty(), "the unresponsive workers have tasks")
            scenario.workers.pauseHeartbeats(unresponsive, 3600.seconds)
            scenario.awaitUntil("no leader left") { scenario.recovery().exitCode == RecoveryStatus.NO_LEADER.exitCode }
            val beforeRestart = directory.resolve("before.zst")
            scenario.saveRecords(beforeRestart)
            scenario.controllers.startAll()
            scenario.awaitUntil("all other workers are heard") {
                scenario.recovery().leaderReport()?.long("unheard_machines") == 2L
            }
            assertEquals("recovering", scenario.recovery().status)
            scenario.awaitUntil("new tasks start") {
                scenario.workers.events().any { it is WorkerEvent.TaskStarted && it.at > killedAt }
            }
            scenario.workers.pauseHeartbeats(unresponsive, 0.seconds)
            scenario.awaitCompletedRecovery()
            val recovery = scenario.recovery()
            val accountedTasks =
                listOf("adopted", "end_unrecorded", "not_reported", "not_reported_cancelled")
                    .sumOf(recovery::findingCount)
            assertEquals(recovery.leaderReport()?.long("recorded_tasks"), accountedTasks, "starts accounted for")
            assertEquals(0L, recovery.leaderReport()?.long("lost_tasks"))
            assertTrue(accountedTasks >= unresponsiveTasks.size)
            val afterRecovery = directory.resolve("after.zst")
            scenario.saveRecords(afterRecovery)
            val comparison = scenario.compareRecords(beforeRestart, afterRecovery)
            assertEquals(emptyList<String>(), comparison.textsOrNull("started_again"))
            assertEquals(
                recovery.leaderReport()?.long("recorded_tasks"),
                comparison.map("tasks").run { OUTCOME_COUNTS.sumOf(::long) },
            )
            scenario.awaitJobsDone()
            scenario.checkTaskRuns()
        }
    }

    @Test
    fun `controllers that are killed again during recovery, and restart one by one, start no task twice`() {
        newScenario().use { scenario ->
            scenario.startTasks()
            repeat(3) { round ->
                scenario.controllers.killAll()
                scenario.controllers.start(round)
                scenario.awaitUntil("controller $round leads") { scenario.recovery().leaderReport() != null }
            }
            scenario.controllers.start(0)
            scenario.awaitJobsDone()
            scenario.checkTaskRuns()
        }
    }

    @Test
    fun `tasks of machines interrupted while all controllers are down start again, and no other tasks do`() {
        newScenario().use { scenario ->
            scenario.startTasks()
            scenario.controllers.killAll()
            val machines = scenario.workers.machineNames()
            val interrupted = machines.take(machines.size * 2 / 3)
            val lostTasks = scenario.workers.tasksOn(interrupted)
            assertTrue(lostTasks.isNotEmpty(), "tasks are lost")
            scenario.cloud.interrupt(interrupted)
            scenario.controllers.startAll()
            scenario.awaitCompletedRecovery()
            scenario.awaitJobsDone()
            scenario.checkTaskRuns(mayRunAgain = lostTasks)
        }
    }

    private companion object {
        const val MIN_RUNNING_TASKS = 40

        /** The fields of a comparison that count the outcomes of the starts recorded before the restart. */
        val OUTCOME_COUNTS = listOf("ran_on", "started_again", "not_placed", "job_ended")
    }
}
