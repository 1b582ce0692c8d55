package umberslip.recovery

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import umberslip.agents.ExitCause
import umberslip.agents.ReportedTask
import umberslip.agents.WorkerCommand
import umberslip.core.JobId
import umberslip.core.MachineName
import umberslip.core.TaskId
import umberslip.scheduling.RunningJob
import umberslip.scheduling.TestScheduler
import java.util.EnumSet
import kotlin.random.Random
import kotlin.time.Duration.Companion.seconds

/**
 * Generated records and heartbeats disagree after all controllers were stopped. The new leader must carry out the
 * decision of each finding.
 */
class ReconciliationFindingTest {
    private val observedFindings = EnumSet.noneOf(ReconciliationFinding::class.java)

    @Test
    fun `the leader's commands carry out the decision of each finding`() {
        for (seed in 1..300) runScenario(Random(seed))
        assertEquals(EnumSet.allOf(ReconciliationFinding::class.java), observedFindings, "every finding must occur")
    }

    private fun runScenario(random: Random) {
        val previous = TestScheduler()
        val jobs = List(4) { previous.job { it.copy(tasks = 2) } }
        previous.heartbeat("m")
        previous.dispatch("m")
        previous.write()
        val started = previous.commands("m").filterIsInstance<WorkerCommand.Start>()
        // The exits that the previous leader still recorded before it stopped.
        val exited = started.filter { random.nextInt(5) == 0 }
        previous.heartbeat("m", *exited.map { TestScheduler.ended(it.task, it.attempt, ExitCause.DONE) }.toTypedArray())
        previous.now += 2.seconds
        previous.write()
        jobs.filter { random.nextInt(5) == 0 }.forEach { previous.cancel(it) }
        val cancelled =
            previous.scheduler.jobs.values
                .filter { it.cancelled }
                .map { it.spec.id }

        val newLeader = previous.successor()
        // The cancellations are in the records, too, when the new leader reads them.
        for (id in cancelled) newLeader.scheduler.jobs[id]?.let(newLeader::cancel)
        val reported = started.mapNotNull { reportedTask(it, random) } + tasksOfUnknownJobs(random)
        newLeader.heartbeat("m", fencingToken = previous.term, sequenceNumber = 50)
        val doneBefore = newLeader.scheduler.jobs.mapValues { (_, job) -> job.doneCount }
        val machine = newLeader.scheduler.machines.getValue(MachineName("m"))
        val findings = ReconciliationFinding.classify(machine, reported, newLeader.scheduler.jobs)
        newLeader.heartbeat("m", *reported.toTypedArray(), sequenceNumber = 51)
        checkDecisions(newLeader, reported, findings, doneBefore)
    }

    private fun reportedTask(
        start: WorkerCommand.Start,
        random: Random,
    ): ReportedTask? =
        when (random.nextInt(6)) {
            0 -> null
            1 -> TestScheduler.ended(start.task, start.attempt, ExitCause.DONE)
            2 -> TestScheduler.running(start.task, start.attempt + 7)
            3 -> TestScheduler.ended(start.task, start.attempt + 7, ExitCause.STOPPED)
            else -> TestScheduler.running(start.task, start.attempt)
        }

    /** Returns tasks of jobs that have no record. */
    private fun tasksOfUnknownJobs(random: Random): List<ReportedTask> {
        val id = TaskId(JobId("run-999999"), random.nextInt(3))
        return when (random.nextInt(3)) {
            0 -> listOf(TestScheduler.running(id, 1))
            1 -> listOf(TestScheduler.ended(id, 1, ExitCause.DONE))
            else -> emptyList()
        }
    }

    private fun checkDecisions(
        newLeader: TestScheduler,
        reported: List<ReportedTask>,
        findings: Map<TaskId, ReconciliationFinding>,
        doneBefore: Map<JobId, Int>,
    ) {
        val commands = newLeader.commands("m").groupBy { it.task }
        val attempts = reported.associate { it.task to it.attempt }
        for ((task, finding) in findings) {
            observedFindings += finding
            val taskCommands = commands[task].orEmpty()
            when (finding.decision) {
                ReconciliationDecision.CONTINUE, ReconciliationDecision.WITHDRAW ->
                    assertTrue(taskCommands.isEmpty(), "$task $finding: $taskCommands")
                ReconciliationDecision.STOP -> {
                    val stop = taskCommands.single() as WorkerCommand.Stop
                    assertEquals(attempts[task], stop.attempt, "$task $finding")
                }
                ReconciliationDecision.CLEAR -> {
                    val clear = taskCommands.first() as WorkerCommand.Clear
                    assertEquals(attempts[task], clear.attempt, "$task $finding")
                }
                ReconciliationDecision.REPEAT_START -> {
                    val assignment = newLeader.machine("m").assignments.getValue(task)
                    val startedAttempts = taskCommands.map { (it as WorkerCommand.Start).attempt }
                    assertEquals(listOf(assignment.attempt), startedAttempts, "$task $finding")
                }
                ReconciliationDecision.RECORD_EXIT ->
                    assertTrue(taskCommands.isEmpty(), "$task must not be cleared before its exit is written")
            }
        }
        checkExitsAreRecorded(newLeader, findings, doneBefore)
    }

    private fun checkExitsAreRecorded(
        newLeader: TestScheduler,
        findings: Map<TaskId, ReconciliationFinding>,
        doneBefore: Map<JobId, Int>,
    ) {
        val jobs = HashMap<JobId, RunningJob>(newLeader.scheduler.jobs)
        // The write of an exit is delayed for a moment so that other exits can be written together with it.
        newLeader.now += 2.seconds
        newLeader.write()
        val cleared = newLeader.commands("m").filterIsInstance<WorkerCommand.Clear>().map { it.task }
        for ((task, finding) in findings) {
            if (finding != ReconciliationFinding.EXIT_UNRECORDED) continue
            assertTrue(task in cleared, "$task must be cleared once its exit is written")
            assertTrue(jobs.getValue(task.job).isDone(task.index))
            assertTrue(jobs.getValue(task.job).doneCount > doneBefore.getValue(task.job))
        }
    }
}
