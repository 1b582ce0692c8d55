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
    /** Chains, diamonds, wide fan-in and fan-out, and all between; a job depends only on jobs submitted before it. */
    private fun graph(random: Random): List<JobSpec> {
        val most = listOf(1, 2, 6)[random.nextInt(3)]
        val specs = ArrayList<JobSpec>()
        repeat(random.nextInt(2, 25)) { n ->
            val among = if (random.nextInt(3) == 0) specs.take(1) else specs.takeLast(1 + most)
            specs +=
                Fixtures.job(random, n).copy(
                    tasks = 1,
                    deadlineSeconds = if (random.nextInt(3) == 0) random.nextInt(50, 500).toDouble() else null,
                    expectedSeconds = random.nextInt(1, 20).toDouble(),
                    dependencies = among.shuffled(random).take(random.nextInt(0, most + 1)).map { it.id },
                )
        }
        return specs
    }

    /** The same by its definition, over all jobs that ever were submitted. */
    private class Model(
        val specs: Map<JobId, JobSpec>,
    ) {
        val done = HashSet<JobId>()
        val cancelled = HashSet<JobId>()

        private val known = HashMap<Pair<String, JobId>, Any?>()

        /** A job was submitted or has ended: what follows from it is computed anew. */
        fun changed() = known.clear()

        @Suppress("UNCHECKED_CAST")
        private fun <T> once(
            what: String,
            id: JobId,
            find: () -> T,
        ): T {
            val key = what to id
            if (key !in known) known[key] = find()
            return known[key] as T
        }

        fun dependencyCancelled(id: JobId): Boolean =
            once("cancelled", id) {
                specs.getValue(id).dependencies.any { it in cancelled || dependencyCancelled(it) }
            }

        fun isBlocked(id: JobId): Boolean = specs.getValue(id).dependencies.any { it !in done }

        fun open(id: JobId): Boolean = id !in done && id !in cancelled && !dependencyCancelled(id)

        private fun dependents(
            id: JobId,
            among: Set<JobId>,
        ): List<JobId> = among.filter { open(it) && id in specs.getValue(it).dependencies }

        fun priority(
            id: JobId,
            among: Set<JobId>,
        ): Priority =
            once("priority", id) {
                val inherited = dependents(id, among).map { priority(it, among) }
                (inherited + specs.getValue(id).priority).min()
            }

        /** The earliest of the deadlines that it inherits. */
        fun inherited(
            id: JobId,
            among: Set<JobId>,
        ): Duration? =
            once("deadline", id) {
                dependents(id, among)
                    .mapNotNull { dependent ->
                        val spec = specs.getValue(dependent)
                        listOfNotNull(
                            spec.deadlineSeconds?.seconds,
                            inherited(dependent, among),
                        ).minOrNull()?.minus(spec.expectedSeconds.seconds)
                    }.minOrNull()
            }
    }

    @Test
    fun `blocked and cancelled jobs, priorities and deadlines are as defined, through generated graphs`() =
        runBlocking<Unit> {
            checkAll(PropTestConfig(seed = 21, iterations = 300), Arb.long()) { seed ->
                val random = Random(seed)
                val specs = graph(random)
                val model = Model(specs.associateBy { it.id })
                val jobs = LinkedHashMap<JobId, RunningJob>()
                val dependencyGraph = DependencyGraph(jobs)
                // A new leader loads them in any order; else they are submitted one after the other while others end.
                val afterFailover = random.nextBoolean()
                val notSubmitted = ArrayDeque(if (afterFailover) specs.shuffled(random) else specs)
                while (notSubmitted.isNotEmpty() || jobs.keys.any(model::open)) {
                    val ready = jobs.keys.filter { model.open(it) && !model.isBlocked(it) }
                    when {
                        notSubmitted.isNotEmpty() && (afterFailover || ready.isEmpty() || random.nextInt(3) > 0) -> {
                            val spec = notSubmitted.removeFirst()
                            val due = listOfNotNull(spec.deadlineSeconds?.seconds)
                            val job =
                                RunningJob(
                                    spec,
                                    Versioned(JobRecord(spec, Instant.EPOCH, false), Version(1)),
                                    16,
                                    Duration.ZERO,
                                    due.ifEmpty { listOf(3600.seconds) },
                                    due,
                                )
                            jobs[spec.id] = job
                            model.changed()
                            dependencyGraph.added(job)
                        }
                        random.nextInt(8) == 0 -> {
                            val id = jobs.keys.filter(model::open).random(random)
                            model.cancelled += id
                            model.changed()
                            val job = jobs.getValue(id)
                            job.record = Versioned(job.record.value.copy(cancelled = true), Version(2))
                            dependencyGraph.cancelDependents(job)
                        }
                        else -> {
                            val id = ready.random(random)
                            model.done += id
                            model.changed()
                            dependencyGraph.removed(jobs.remove(id) ?: error("not there"))
                            dependencyGraph.ended(id, JobOutcome.DONE)
                        }
                    }
                    // The records of cancelled jobs are removed, too, sooner or later.
                    for (id in jobs.keys.filter { it in model.cancelled || model.dependencyCancelled(it) }) {
                        if (random.nextInt(4) == 0) {
                            dependencyGraph.removed(jobs.remove(id) ?: error("not there"))
                            model.changed()
                            if (random.nextBoolean()) dependencyGraph.ended(id, JobOutcome.CANCELLED)
                        }
                    }
                    // The outcome of a job that ended before its dependents were submitted is read.
                    for (id in dependencyGraph.unread.toList()) {
                        if (id in model.done) {
                            dependencyGraph.ended(id, JobOutcome.DONE)
                        } else if (id in model.cancelled || (id !in jobs && notSubmitted.none { it.id == id })) {
                            dependencyGraph.ended(id, JobOutcome.CANCELLED)
                        }
                    }
                    for ((job, inherited) in dependencyGraph.inheritPriorities()) {
                        job.inherit(inherited.priority, inherited.deadlines, Duration.ZERO)
                    }
                    for ((id, job) in jobs) check(id, job, model, jobs, notSubmitted.isEmpty() || !afterFailover)
                }
            }
        }

    private fun check(
        id: JobId,
        job: RunningJob,
        model: Model,
        jobs: Map<JobId, RunningJob>,
        complete: Boolean,
    ) {
        if (id in model.cancelled) return
        if (model.isBlocked(id)) assertEquals(0, job.waiting, "$id must not be placed")
        if (!complete) return
        assertEquals(model.dependencyCancelled(id), job.dependencyCancelled, "$id cancelled")
        if (job.dependencyCancelled) return
        assertEquals(model.isBlocked(id), job.isBlocked, "$id blocked")
        assertEquals(model.priority(id, jobs.keys), job.priority, "$id priority")
        val own = job.spec.deadlineSeconds?.seconds ?: 3600.seconds
        assertEquals(listOfNotNull(own, model.inherited(id, jobs.keys)).min(), job.firstDeadline, "$id deadline")
        val state =
            DependencyState.of(job.record.value, { jobs[it]?.record?.value }) {
                if (it in model.done) {
                    JobOutcome.DONE
                } else if (it in jobs) {
                    null
                } else {
                    JobOutcome.CANCELLED
                }
            }
        assertEquals(DependencyState.Open, state)
    }

    @Test
    fun `a job is cancelled with a dependency however far away it is, and unknown outcomes are asked for`() {
        val specs =
            List(2000) { n ->
                Fixtures.job(Random(n), n).copy(
                    dependencies = if (n == 0) emptyList() else listOf(JobId("run-%06d".format(n - 1))),
                )
            }
        val records = specs.associate { it.id to JobRecord(it, Instant.EPOCH, false) }

        fun of(first: JobOutcome?) =
            DependencyState.of(
                records.getValue(specs.last().id),
                { id -> records[id].takeIf { id != specs[0].id } },
            ) {
                first.takeIf { _ -> it == specs[0].id }
            }
        assertEquals(DependencyState.Cancelled, of(JobOutcome.CANCELLED))
        assertEquals(DependencyState.Open, of(JobOutcome.DONE))
        assertEquals(DependencyState.Unread(setOf(specs[0].id)), of(null))
        val cancelled =
            DependencyState.of(
                records.getValue(specs.last().id),
                { id -> records[id]?.let { if (id == specs[7].id) it.copy(cancelled = true) else it } },
            ) { null }
        assertEquals(DependencyState.Cancelled, cancelled)
    }

    @Test
    fun `nothing of a job is placed before the outcomes of its dependencies are recorded`() {
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
        assertTrue(first.finished, "done, and not recorded yet")
        assertTrue(leader.machine("m").assignments.isEmpty())
        assertEquals(
            listOf(0, 0.0),
            listOf(
                second.waiting,
                leader.scheduler.teams
                    .getValue("green")
                    .quota.usedCpus,
            ),
            "it has nothing allocated",
        )
        leader.write()
        leader.dispatch("m")
        assertEquals(
            listOf(second.spec.id),
            leader.tasksOn("m").map { it.job.spec.id },
        )
        assertEquals(leader.now, second.runnableSince, "its objectives count from now on")
    }

    @Test
    fun `dependents of a cancelled job end without a start, as the records show a successor, too`() {
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
    fun `a new leader asks for the outcomes that its jobs depend on`() {
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
}
