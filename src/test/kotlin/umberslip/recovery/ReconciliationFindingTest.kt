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
 * After every controller has stopped: generated records and heartbeats disagree, and the leader does what each finding
 * says.
 */
class ReconciliationFindingTest {
    private val seen = EnumSet.noneOf(ReconciliationFinding::class.java)

    @Test
    fun `the leader's commands carry out the decision of each finding`() {
        for (seed in 1..300) play(Random(seed))
        assertEquals(EnumSet.allOf(ReconciliationFinding::class.java), seen, "every finding occurred")
    }

    private fun play(random: Random) {
        val former = TestScheduler()
        val jobs = List(4) { former.job { it.copy(tasks = 2) } }
        former.heartbeat("m")
        former.dispatch("m")
        former.write()
        val started = former.commands("m").filterIsInstance<WorkerCommand.Start>()
        // What the former leader still recorded before it stopped.
        val ended = started.filter { random.nextInt(5) == 0 }
        former.heartbeat("m", *ended.map { TestScheduler.ended(it.task, it.attempt, ExitCause.DONE) }.toTypedArray())
        former.now += 2.seconds
        former.write()
        jobs.filter { random.nextInt(5) == 0 }.forEach { former.cancel(it) }
        val cancelled =
            former.scheduler.jobs.values
                .filter { it.cancelled }
                .map { it.spec.id }

        val next = former.successor()
        // Cancelled in the records, too, when the new leader reads them.
        for (id in cancelled) next.scheduler.jobs[id]?.let(next::cancel)
        val reported = started.mapNotNull { heartbeat(it, random) } + strangers(random)
        next.heartbeat("m", fencingToken = former.term, sequenceNumber = 50)
        val before = next.scheduler.jobs.mapValues { (_, job) -> job.doneCount }
        val machine = next.scheduler.machines.getValue(MachineName("m"))
        val findings = ReconciliationFinding.classify(machine, reported, next.scheduler.jobs)
        next.heartbeat("m", *reported.toTypedArray(), sequenceNumber = 51)
        check(next, reported, findings, before)
    }

    private fun heartbeat(
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

    /** Tasks of jobs that no record names. */
    private fun strangers(random: Random): List<ReportedTask> {
        val id = TaskId(JobId("run-999999"), random.nextInt(3))
        return when (random.nextInt(3)) {
            0 -> listOf(TestScheduler.running(id, 1))
            1 -> listOf(TestScheduler.ended(id, 1, ExitCause.DONE))
            else -> emptyList()
        }
    }

    private fun check(
        next: TestScheduler,
        reported: List<ReportedTask>,
        findings: Map<TaskId, ReconciliationFinding>,
        doneBefore: Map<JobId, Int>,
    ) {
        val commands = next.commands("m").groupBy { it.task }
        val attempts = reported.associate { it.task to it.attempt }
        for ((task, finding) in findings) {
            seen += finding
            val here = commands[task].orEmpty()
            when (finding.decision) {
                ReconciliationDecision.CONTINUE, ReconciliationDecision.WITHDRAW ->
                    assertTrue(here.isEmpty(), "$task $finding: $here")
                ReconciliationDecision.STOP -> {
                    val stop = here.single() as WorkerCommand.Stop
                    assertEquals(attempts[task], stop.attempt, "$task $finding")
                }
                ReconciliationDecision.CLEAR -> {
                    val clear = here.first() as WorkerCommand.Clear
                    assertEquals(attempts[task], clear.attempt, "$task $finding")
                }
                ReconciliationDecision.REPEAT_START -> {
                    val assignment = next.machine("m").assignments.getValue(task)
                    val startedAttempts = here.map { (it as WorkerCommand.Start).attempt }
                    assertEquals(listOf(assignment.attempt), startedAttempts, "$task $finding")
                }
                ReconciliationDecision.RECORD_EXIT ->
                    assertTrue(here.isEmpty(), "$task is not cleared before its exit is written")
            }
        }
        checkExitsAreRecorded(next, findings, doneBefore)
    }

    private fun checkExitsAreRecorded(
        next: TestScheduler,
        findings: Map<TaskId, ReconciliationFinding>,
        doneBefore: Map<JobId, Int>,
    ) {
        val jobs = HashMap<JobId, RunningJob>(next.scheduler.jobs)
        // Exits wait a moment for others to be written along with them.
        next.now += 2.seconds
        next.write()
        val cleared = next.commands("m").filterIsInstance<WorkerCommand.Clear>().map { it.task }
        for ((task, finding) in findings) {
            if (finding != ReconciliationFinding.EXIT_UNRECORDED) continue
            assertTrue(task in cleared, "$task is cleared once its exit is written")
            assertTrue(jobs.getValue(task.job).isDone(task.index))
            assertTrue(jobs.getValue(task.job).doneCount > doneBefore.getValue(task.job))
        }
    }
}
