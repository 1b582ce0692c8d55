package umberslip.scheduling

import io.kotest.property.Arb
import io.kotest.property.PropTestConfig
import io.kotest.property.arbitrary.long
import io.kotest.property.checkAll
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import umberslip.agents.ExitCause
import umberslip.agents.WorkerCommand
import umberslip.core.JobId
import umberslip.core.JobSpec
import umberslip.core.Priority
import umberslip.records.DependencyState
import umberslip.records.JobOutcome
import umberslip.records.JobRecord
import umberslip.records.Versioned
import umberslip.sim.Fixtures
import umberslip.store.Version
import java.time.Instant
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

class DependencyGraphTest {
    /** Generates chains, diamonds, wide fan-in and fan-out, and mixtures. A job depends only on jobs before it. */
    private fun generateGraph(random: Random): List<JobSpec> {
        val maxDependencies = listOf(1, 2, 6)[random.nextInt(3)]
        val specs = ArrayList<JobSpec>()
        repeat(random.nextInt(2, 25)) { n ->
            val candidates = if (random.nextInt(3) == 0) specs.take(1) else specs.takeLast(1 + maxDependencies)
            specs +=
                Fixtures.job(random, n).copy(
                    tasks = 1,
                    deadlineSeconds = if (random.nextInt(3) == 0) random.nextInt(50, 500).toDouble() else null,
                    expectedSeconds = random.nextInt(1, 20).toDouble(),
                    dependencies =
                        candidates
                            .shuffled(random)
                            .take(random.nextInt(0, maxDependencies + 1))
                            .map { it.id },
                )
        }
        return specs
    }

    /** Submits, finishes and cancels jobs at random, and compares the graph with [DependencyModel] after each step. */
    private class History(
        private val random: Random,
        specs: List<JobSpec>,
    ) {
        private val model = DependencyModel(specs)
        private val jobs = LinkedHashMap<JobId, RunningJob>()
        private val dependencyGraph = DependencyGraph(jobs)

        /** After a failover, jobs are loaded in any order before any ends; otherwise they are submitted in order. */
        private val isAfterFailover = random.nextBoolean()
        private val notSubmitted = ArrayDeque(if (isAfterFailover) specs.shuffled(random) else specs)

        fun run() {
            while (notSubmitted.isNotEmpty() || jobs.keys.any(model::isOpen)) {
                submitOrEndOne()
                removeCancelled()
                readOutcomes()
                for ((job, inherited) in dependencyGraph.inheritPriorities()) {
                    job.inherit(inherited.priority, inherited.deadlines, Duration.ZERO)
                }
                for ((id, job) in jobs) check(id, job)
            }
        }

        private fun submitOrEndOne() {
            val runnable = jobs.keys.filter { model.isOpen(it) && !model.isBlocked(it) }
            val maySubmit = notSubmitted.isNotEmpty()
            when {
                maySubmit && (isAfterFailover || runnable.isEmpty() || random.nextInt(3) > 0) -> submit()
                random.nextInt(8) == 0 -> cancel(jobs.keys.filter(model::isOpen).random(random))
                else -> finish(runnable.random(random))
            }
        }

        private fun submit() {
            val spec = notSubmitted.removeFirst()
            val record = Versioned(JobRecord(spec, Instant.EPOCH, false), Version(1))
            val deadlines = listOfNotNull(spec.deadlineSeconds?.seconds)
            val objectiveDeadlines = deadlines.ifEmpty { listOf(WITHOUT_DEADLINE) }
            val job = RunningJob(spec, record, tasksPerBlock = 16, Duration.ZERO, objectiveDeadlines, deadlines)
            jobs[spec.id] = job
            model.invalidate()
            dependencyGraph.add(job)
        }

        private fun cancel(id: JobId) {
            model.markCancelled(id)
            val job = jobs.getValue(id)
            job.record = Versioned(job.record.value.copy(cancelled = true), Version(2))
            dependencyGraph.cancelDependents(job)
        }

        private fun finish(id: JobId) {
            model.markDone(id)
            remove(id)
            dependencyGraph.recordOutcome(id, JobOutcome.DONE)
        }

        private fun remove(id: JobId) = dependencyGraph.remove(jobs.remove(id) ?: error("$id is not an unfinished job"))

        /** Removes the records of some of the cancelled jobs; each is removed sooner or later. */
        private fun removeCancelled() {
            for (id in jobs.keys.filter { model.isCancelled(it) || model.isDependencyCancelled(it) }) {
                if (random.nextInt(4) > 0) continue
                remove(id)
                model.invalidate()
                if (random.nextBoolean()) dependencyGraph.recordOutcome(id, JobOutcome.CANCELLED)
            }
        }

        /** Reads the outcomes that the graph asks for, of jobs that ended before their dependents were submitted. */
        private fun readOutcomes() {
            for (id in dependencyGraph.unread.toList()) {
                val isUnknown = id !in jobs && notSubmitted.none { it.id == id }
                if (model.isDone(id)) {
                    dependencyGraph.recordOutcome(id, JobOutcome.DONE)
                } else if (model.isCancelled(id) || isUnknown) {
                    dependencyGraph.recordOutcome(id, JobOutcome.CANCELLED)
                }
            }
        }

        private fun check(
            id: JobId,
            job: RunningJob,
        ) {
            if (model.isCancelled(id)) return
            if (model.isBlocked(id)) assertEquals(0, job.waiting, "$id must not be placed")
            if (notSubmitted.isNotEmpty() && isAfterFailover) return
            assertEquals(model.isDependencyCancelled(id), job.dependencyCancelled, "$id cancelled")
            if (job.dependencyCancelled) return
            assertEquals(model.isBlocked(id), job.isBlocked, "$id blocked")
            assertEquals(model.priority(id, jobs.keys), job.priority, "$id priority")
            val ownDeadline = job.spec.deadlineSeconds?.seconds ?: WITHOUT_DEADLINE
            val deadline = minOf(ownDeadline, model.inheritedDeadline(id, jobs.keys))
            assertEquals(deadline, job.firstDeadline, "$id deadline")
            val state = DependencyState.of(job.record.value, { jobs[it]?.record?.value }, ::outcome)
            assertEquals(DependencyState.NotCancelled, state)
        }

        private fun outcome(id: JobId): JobOutcome? =
            when {
                model.isDone(id) -> JobOutcome.DONE
                id in jobs -> null
                else -> JobOutcome.CANCELLED
            }
    }

    @Test
    fun `blocked and cancelled jobs, priorities and deadlines match the model for generated graphs`() =
        runBlocking<Unit> {
            checkAll(PropTestConfig(seed = 21, iterations = 300), Arb.long()) { seed ->
                val random = Random(seed)
                History(random, generateGraph(random)).run()
            }
        }

    @Test
    fun `a job is cancelled with an indirect dependency at any distance, and unknown outcomes are requested`() {
        val specs =
            List(2000) { n ->
                Fixtures.job(Random(n), n).copy(
                    dependencies = if (n == 0) emptyList() else listOf(JobId("run-%06d".format(n - 1))),
                )
            }
        val records = specs.associate { it.id to JobRecord(it, Instant.EPOCH, false) }

        fun stateOfLast(firstOutcome: JobOutcome?) =
            DependencyState.of(
                records.getValue(specs.last().id),
                { id -> records[id].takeIf { id != specs[0].id } },
            ) {
                firstOutcome.takeIf { _ -> it == specs[0].id }
            }
        assertEquals(DependencyState.Cancelled, stateOfLast(JobOutcome.CANCELLED))
        assertEquals(DependencyState.NotCancelled, stateOfLast(JobOutcome.DONE))
        assertEquals(DependencyState.Unread(setOf(specs[0].id)), stateOfLast(null))
        val cancelled =
            DependencyState.of(
                records.getValue(specs.last().id),
                { id -> records[id]?.let { if (id == specs[7].id) it.copy(cancelled = true) else it } },
            ) { null }
        assertEquals(DependencyState.Cancelled, cancelled)
    }

    @Test
    fun `no task of a job is placed before the outcomes of its dependencies are recorded`() {
        val leader = TestScheduler()
        val first = leader.job { it.copy(tasks = 1) }
        val second = leader.job { it.copy(tasks = 1, dependencies = listOf(first.spec.id), priority = Priority.HIGH) }
        leader.heartbeat("m")
        leader.dispatch("m")
        leader.write()
        assertEquals(
            listOf(first.spec.id),
            leader.tasksOn("m").map { it.job.spec.id },
        )
        leader.heartbeat("m", ended(leader.tasksOn("m").single(), ExitCause.DONE))
        leader.dispatch("m")
        assertTrue(first.finished, "the job is done, but its outcome is not recorded yet")
        assertTrue(leader.machine("m").assignments.isEmpty())
        assertEquals(
            listOf(0, 0.0),
            listOf(
                second.waiting,
                leader.scheduler.teams
                    .getValue("green")
                    .quota.usedCpus,
            ),
            "the blocked job has no task to place and nothing allocated",
        )
        leader.write()
        leader.dispatch("m")
        assertEquals(
            listOf(second.spec.id),
            leader.tasksOn("m").map { it.job.spec.id },
        )
        assertEquals(leader.now, second.runnableSince, "the objectives of the job count from now on")
    }

    @Test
    fun `dependents of a cancelled job end without a start, and their end is recorded`() {
        val leader = TestScheduler()
        val first = leader.job { it.copy(tasks = 1) }
        val second = leader.job { it.copy(dependencies = listOf(first.spec.id)) }
        val third = leader.job { it.copy(dependencies = listOf(second.spec.id)) }
        leader.cancel(first)
        assertTrue(second.dependencyCancelled && third.dependencyCancelled)
        leader.heartbeat("m")
        leader.dispatch("m")
        leader.write()
        assertEquals(emptyList<WorkerCommand>(), leader.commands("m"))
        assertTrue(leader.scheduler.jobs.isEmpty())
        assertEquals(
            setOf("end/${second.spec.id.value}", "end/${third.spec.id.value}"),
            leader.written
                .map { it.key }
                .filter { it.startsWith("end/") }
                .toSet(),
        )
    }

    @Test
    fun `a new leader requests the outcomes of finished dependencies`() {
        val leader = TestScheduler()
        val finished = JobId("run-900000")
        val job = leader.job { it.copy(tasks = 1, dependencies = listOf(finished)) }
        leader.heartbeat("m")
        leader.dispatch("m")
        assertEquals(setOf(finished), leader.scheduler.dependencyGraph.unread)
        assertTrue(leader.machine("m").assignments.isEmpty())
        leader.scheduler.dependencyEnded(finished, JobOutcome.DONE, leader.now)
        leader.dispatch("m")
        assertEquals(1, job.assigned.size)
        assertTrue(
            leader.scheduler.dependencyGraph.unread
                .isEmpty(),
        )
    }

    private companion object {
        /** The objective deadline of jobs that have none of their own. */
        val WITHOUT_DEADLINE = 3600.seconds
    }
}
