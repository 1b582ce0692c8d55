package umberslip.recovery

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import umberslip.agents.Cause
import umberslip.agents.Order
import umberslip.agents.ReportedTask
import umberslip.cloud.HostName
import umberslip.dispatch.RunningJob
import umberslip.dispatch.TestScheduler
import umberslip.records.JobId
import umberslip.records.TaskId
import java.util.EnumSet
import kotlin.random.Random
import kotlin.time.Duration.Companion.seconds

/** After every controller fell: generated records and reports disagree, and the owner does what each finding says. */
class TaskFindingTest {
    private val seen = EnumSet.noneOf(TaskFinding::class.java)

    @Test
    fun `what the owner orders is the decision of each finding`() {
        for (seed in 1..300) play(Random(seed))
        assertEquals(EnumSet.allOf(TaskFinding::class.java), seen, "every finding was brought about")
    }

    private fun play(random: Random) {
        val former = TestScheduler()
        val jobs = List(4) { former.job { it.copy(tasks = 2) } }
        former.report("m")
        former.deal("m")
        former.write()
        val started = former.orders("m").filterIsInstance<Order.Start>()
        // What the former owner still learnt and wrote before it fell.
        val ended = started.filter { random.nextInt(5) == 0 }
        former.report("m", *ended.map { TestScheduler.ended(it.task, it.attempt, Cause.DONE) }.toTypedArray())
        former.now += 2.seconds
        former.write()
        jobs.filter { random.nextInt(5) == 0 }.forEach { former.cancel(it) }
        val cancelled =
            former.scheduler.jobs.values
                .filter { it.cancelled }
                .map { it.spec.id }

        val next = former.successor()
        // Cancelled in the records, too, when the new owner reads them.
        for (id in cancelled) next.scheduler.jobs[id]?.let(next::cancel)
        val reported = started.mapNotNull { report(it, random) } + strangers(random)
        next.report("m", token = former.term, counter = 50)
        val before = next.scheduler.jobs.mapValues { (_, job) -> job.doneCount }
        val machine = next.scheduler.machines.getValue(HostName("m"))
        val findings = TaskFinding.of(machine, reported, next.scheduler.jobs)
        next.report("m", *reported.toTypedArray(), counter = 51)
        check(next, reported, findings, before)
    }

    private fun report(
        start: Order.Start,
        random: Random,
    ): ReportedTask? =
        when (random.nextInt(6)) {
            0 -> null
            1 -> TestScheduler.ended(start.task, start.attempt, Cause.DONE)
            2 -> TestScheduler.running(start.task, start.attempt + 7)
            3 -> TestScheduler.ended(start.task, start.attempt + 7, Cause.HALTED)
            else -> TestScheduler.running(start.task, start.attempt)
        }

    /** Tasks of jobs that no record names. */
    private fun strangers(random: Random): List<ReportedTask> {
        val id = TaskId(JobId("run-999999"), random.nextInt(3))
        return when (random.nextInt(3)) {
            0 -> listOf(TestScheduler.running(id, 1))
            1 -> listOf(TestScheduler.ended(id, 1, Cause.DONE))
            else -> emptyList()
        }
    }

    private fun check(
        next: TestScheduler,
        reported: List<ReportedTask>,
        findings: Map<TaskId, TaskFinding>,
        doneBefore: Map<JobId, Int>,
    ) {
        val orders = next.orders("m").groupBy { it.task }
        val attempts = reported.associate { it.task to it.attempt }
        for ((task, finding) in findings) {
            seen += finding
            val here = orders[task].orEmpty()
            when (finding.decision) {
                Decision.KEEP, Decision.WITHDRAW -> assertTrue(here.isEmpty(), "$task $finding: $here")
                Decision.STOP -> {
                    val stop = here.single() as Order.Stop
                    assertEquals(attempts[task], stop.attempt, "$task $finding")
                }
                Decision.CLEAR -> {
                    val clear = here.first() as Order.Clear
                    assertEquals(attempts[task], clear.attempt, "$task $finding")
                }
                Decision.TELL_START_AGAIN -> {
                    val assignment = next.machine("m").assignments.getValue(task)
                    assertEquals(listOf(assignment.attempt), here.map { (it as Order.Start).attempt }, "$task $finding")
                }
                Decision.RECORD_END -> assertTrue(here.isEmpty(), "$task is not cleared before its end is written")
            }
        }
        checkEndsAreRecorded(next, findings, doneBefore)
    }

    private fun checkEndsAreRecorded(
        next: TestScheduler,
        findings: Map<TaskId, TaskFinding>,
        doneBefore: Map<JobId, Int>,
    ) {
        val jobs = HashMap<JobId, RunningJob>(next.scheduler.jobs)
        // Ends wait a moment for others to be written along with them.
        next.now += 2.seconds
        next.write()
        val cleared = next.orders("m").filterIsInstance<Order.Clear>().map { it.task }
        for ((task, finding) in findings) {
            if (finding != TaskFinding.END_UNRECORDED) continue
            assertTrue(task in cleared, "$task is cleared once its end is written")
            assertTrue(jobs.getValue(task.job).isDone(task.index))
            assertTrue(jobs.getValue(task.job).doneCount > doneBefore.getValue(task.job))
        }
    }
}
