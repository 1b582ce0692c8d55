package umberslip.scheduling

import io.kotest.property.Arb
import io.kotest.property.PropTestConfig
import io.kotest.property.arbitrary.long
import io.kotest.property.checkAll
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import umberslip.agents.ExitCause
import umberslip.agents.ReportedTask
import umberslip.core.JobId
import umberslip.core.JobSpec
import umberslip.core.Shape
import umberslip.core.TaskId
import umberslip.records.Keys
import umberslip.records.LoggedExit
import umberslip.records.RecordReplica
import umberslip.sim.Fixtures
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Compaction of a log with limits so small that a progress record does not fit while most of its tasks run. */
class LogCompactionTest {
    private val replica = RecordReplica()
    private val leader = TestScheduler(replica = replica, settingsJson = Fixtures.nextLimitsJson("c-0"), logSlots = 80)

    /** The highest attempt number of each job that was ever recorded. */
    private val highestRecorded = HashMap<JobId, Long>()

    private fun serviceJob(tasks: Int) = arrayJob(tasks) { it.copy(shape = Shape.DAEMON, deadlineSeconds = null) }

    private fun arrayJob(
        tasks: Int,
        change: (JobSpec) -> JobSpec = { it },
    ) = leader.job { change(it.copy(tasks = tasks, cpus = 0.01, memoryGb = 0.01)) }

    /**
     * The machine reports its tasks, as running or as [ended], and gets new ones. Everything that is due is written.
     */
    private fun heartbeatRound(
        scheduler: TestScheduler,
        ended: Map<TaskId, ExitCause>,
    ) {
        scheduler.now += 100.milliseconds
        val tasks =
            scheduler.scheduler.machines.values
                .firstOrNull()
                ?.assignments
                ?.values
                ?.toList()
                .orEmpty()
        val reported = tasks.map { task -> reported(task, ended[task.id]) }
        scheduler.heartbeat("m", *reported.toTypedArray())
        scheduler.dispatch("m")
        scheduler.write()
        for ((task, attempt) in attempts(scheduler)) highestRecorded.merge(task.job, attempt, ::maxOf)
    }

    private fun reported(
        task: Assignment,
        cause: ExitCause?,
    ): ReportedTask =
        if (cause == null) {
            TestScheduler.running(task.id, task.attempt)
        } else {
            TestScheduler.ended(task.id, task.attempt, cause)
        }

    private fun attempts(scheduler: TestScheduler): Map<TaskId, Long> =
        scheduler.scheduler.jobs.values
            .flatMap { it.assigned.values }
            .filter { it.recorded }
            .associate { it.id to it.attempt }

    private fun doneTasks(scheduler: TestScheduler): Map<String, List<Int>> =
        scheduler.scheduler.jobs.values.associate { job ->
            job.spec.id.value to (0 until job.spec.tasks).filter { job.isDone(it) }
        }

    @Test
    fun `starts are recorded however often the tasks of a service are replaced`() {
        val service = serviceJob(tasks = 100)
        heartbeatRound(leader, emptyMap())
        assertEquals(100, service.assigned.size)
        val random = Random(1)
        repeat(300) { number ->
            val task = service.assigned.values.random(random)
            heartbeatRound(leader, mapOf(task.id to ExitCause.STOPPED))
            val hasUnrecordedStarts = leader.scheduler.hasUnrecordedStarts(leader.machine("m"))
            assertFalse(hasUnrecordedStarts, "round $number: a start is not recorded")
        }
        assertTrue(leader.written.none { it.key == Keys.progress(service.spec.id, 0) }, "its record never fits")
        assertEquals(attempts(leader), attempts(leader.successor()))
    }

    @Test
    fun `a copy preserves the highest attempt number after its task has exited`() {
        val job = arrayJob(tasks = 3)
        heartbeatRound(leader, emptyMap())
        val lastStarted = job.assigned.values.maxBy { it.attempt }
        leader.now += 100.milliseconds
        leader.heartbeat(
            "m",
            *job.assigned.values
                .map { reported(it, ExitCause.STOPPED.takeIf { _ -> it === lastStarted }) }
                .toTypedArray(),
        )
        val row = LogCompaction(job.block(0)).rows(valueBytes = 1024).single()
        assertEquals(
            job.assigned.values
                .map { it.attempt }
                .toSet() + lastStarted.attempt,
            row.starts.map { it.attempt }.toSet(),
        )
        assertEquals(listOf(LoggedExit(lastStarted.index, lastStarted.attempt, false)), row.exits, "shown as exited")
    }

    @Test
    fun `a successor loads the same state from a compacted log in generated histories`() =
        runBlocking<Unit> {
            var compacted = 0
            checkAll(PropTestConfig(seed = 31, iterations = 20), Arb.long()) { seed ->
                val random = Random(seed)
                val scenario = LogCompactionTest()
                repeat(random.nextInt(0, 2)) { scenario.serviceJob(tasks = random.nextInt(30, 110)) }
                repeat(random.nextInt(1, 3)) { scenario.arrayJob(tasks = random.nextInt(60, 110)) }
                var scheduler = scenario.leader
                repeat(300) {
                    val running = attempts(scheduler).keys
                    val ended = running.shuffled(random).take(random.nextInt(0, 4))
                    // Adds more jobs at once than one batch has preconditions for.
                    if (random.nextInt(40) == 0) repeat(15) { scheduler.job { it.copy(tasks = 1, cpus = 0.01) } }
                    scenario.heartbeatRound(scheduler, ended.associateWith { scenario.causeFor(scheduler, it, random) })
                    if (random.nextInt(60) == 0) scheduler = scheduler.successor()
                }
                // Exits wait at most one second before they are logged.
                scheduler.now += 2.seconds
                scheduler.write()
                if (scheduler.hasCopies()) compacted++
                val successor = scheduler.successor()
                val difference = doneTasks(scheduler).filter { (job, tasks) -> doneTasks(successor)[job] != tasks }
                assertEquals(emptyMap<String, List<Int>>(), difference, "seed $seed: done tasks")
                // A task that exited may be loaded as running until the next heartbeat is reconciled. A task that runs
                // must be loaded.
                val loaded = attempts(successor)
                for ((task, attempt) in attempts(scheduler)) assertEquals(attempt, loaded[task], "seed $seed: $task")
                for (job in scheduler.scheduler.jobs.values) {
                    val loadedJob = successor.scheduler.jobs.getValue(job.spec.id)
                    val highest = scenario.highestRecorded[job.spec.id] ?: 0L
                    assertTrue(loadedJob.highestAttempt() >= highest, "seed $seed: attempt numbers only rise")
                }
            }
            assertTrue(compacted >= 5, "the log was compacted in $compacted runs")
        }

    private fun TestScheduler.hasCopies() = scheduler.jobs.values.any { job -> job.usedBlocks().any { it.hasCopy } }

    private fun causeFor(
        scheduler: TestScheduler,
        task: TaskId,
        random: Random,
    ): ExitCause {
        val isService =
            scheduler.scheduler.jobs
                .getValue(task.job)
                .spec.shape == Shape.DAEMON
        return if (isService || random.nextInt(8) > 0) ExitCause.STOPPED else ExitCause.DONE
    }
}
