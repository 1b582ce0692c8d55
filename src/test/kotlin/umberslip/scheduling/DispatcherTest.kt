package umberslip.scheduling

import io.kotest.property.Arb
import io.kotest.property.PropTestConfig
import io.kotest.property.arbitrary.int
import io.kotest.property.checkAll
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import umberslip.core.Priority
import umberslip.core.Resources
import umberslip.settings.TeamSettings
import umberslip.sim.Fixtures
import kotlin.math.abs
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

class DispatcherTest {
    private fun team(
        name: String,
        cpus: Double,
        max: Double? = null,
    ) = Dispatcher(TeamSettings(name, cpus, 0.0, max, null))

    @Test
    fun `teams beyond their guarantees take turns by weight, whatever the size of their tasks`() =
        runBlocking<Unit> {
            checkAll(
                PropTestConfig(seed = 21, iterations = 40),
                Arb.int(1..9),
                Arb.int(1..9),
                Arb.int(1..4),
            ) { oneWeight, otherWeight, size ->
                val leader = TestScheduler()
                val one = leader.job { it.copy(cpus = size.toDouble()) }
                val other = leader.job { it.copy(cpus = 1.0, priority = one.spec.priority) }
                val oneTeam = team("x", oneWeight * 10.0).also { it.quota.allocate(Resources(1e6, 0.0, 0.0)) }
                val otherTeam = team("y", otherWeight * 10.0).also { it.quota.allocate(Resources(1e6, 0.0, 0.0)) }
                val dispatched = HashMap<Dispatcher, Double>()
                repeat(2000) {
                    val candidates = mapOf(oneTeam to one, otherTeam to other)
                    val next = WeightedRoundRobin.next(candidates) ?: error("no team was selected")
                    dispatched.merge(next, if (next === oneTeam) size.toDouble() else 1.0, Double::plus)
                }
                val share = (dispatched[oneTeam] ?: 0.0) / dispatched.values.sum()
                val weights = oneWeight + otherWeight
                assertTrue(abs(share - oneWeight.toDouble() / weights) < 0.02, "$share for $oneWeight of $weights")
            }
        }

    @Test
    fun `teams within their guarantee go first, then the team with the highest priority`() {
        val leader = TestScheduler()
        val urgent = leader.job { it.copy(priority = Priority.HIGH) }
        val idle = leader.job { it.copy(priority = Priority.IDLE) }
        val guaranteed = team("guaranteed", 10.0)
        val withUrgentJob = team("none", 0.0)
        val withIdleJob = team("also", 0.0)
        assertEquals(guaranteed, WeightedRoundRobin.next(mapOf(withUrgentJob to urgent, guaranteed to idle)))
        assertEquals(withUrgentJob, WeightedRoundRobin.next(mapOf(withUrgentJob to urgent, withIdleJob to idle)))
    }

    @Test
    fun `quota limits and placement constraints hold for generated jobs and machines`() {
        for (seed in 1..60) {
            val random = Random(seed)
            val leader = TestScheduler()
            repeat(8) {
                val spec = Fixtures.job(random, it)
                leader.job { spec }
            }
            for (i in 0..7) {
                val type = listOf("small", "large").random(random)
                val zone = listOf("east", "west").random(random)
                leader.heartbeat("m$i", type = type, zone = zone, spot = random.nextBoolean())
                leader.dispatch("m$i")
            }
            for (dispatcher in leader.scheduler.teams.values) {
                val used =
                    leader.scheduler.machines.values
                        .flatMap { it.assignments.values }
                        .filter { it.job.spec.team == dispatcher.team.name }
                        .sumOf { it.resources.cpus }
                assertEquals(used, dispatcher.quota.usedCpus, 1e-6)
                dispatcher.team.cpusMax?.let { assertTrue(used <= it + 1e-6) }
            }
            for (machine in leader.scheduler.machines.values) {
                val isCovered = machine.capacity?.covers(machine.used) == true
                assertTrue(isCovered, "seed $seed: ${machine.name} has more assigned than it has resources")
                for (assignment in machine.assignments.values) {
                    assertTrue(
                        assignment.job.spec.instanceTypes
                            ?.contains(machine.type) != false &&
                            assignment.job.spec.zone
                                .let { it == null || it == machine.zone },
                    )
                    assertTrue(assignment.job.spec.spot || !machine.spot)
                }
            }
            for (job in leader.scheduler.jobs.values) {
                if (job.spec.oneZone) assertTrue(job.zones.size <= 1)
                assertTrue(job.zones.values.all { it <= job.spec.maxPerZone })
            }
        }
    }

    /** Submits more work than the machines can run, most of it with the higher of two priorities. */
    private class Overload(
        private val seed: Int,
    ) {
        private val random = Random(seed)
        private val leader = TestScheduler()
        private val cluster = BusyCluster(leader, machines = 6)
        private val highPriority = listOf(Priority.CRITICAL, Priority.HIGH, Priority.NORMAL).random(random)
        private val load = mapOf(highPriority to 0.6 + random.nextDouble() * 0.3, Priority.IDLE to 0.4)
        private val cpuSecondsToSubmit = HashMap<Priority, Double>()
        private val submittedAt = HashMap<RunningJob, Duration>()
        private val startedAt = HashMap<RunningJob, Duration>()
        private val start = leader.now

        fun run() {
            for (second in 1..SECONDS) {
                leader.now += 1.seconds
                for ((priority, share) in load) submit(priority, share, second)
                cluster.step()
                for (job in submittedAt.keys) {
                    if (job.assigned.size + job.doneCount > 0) startedAt.putIfAbsent(job, leader.now)
                }
            }
        }

        private fun submit(
            priority: Priority,
            share: Double,
            second: Int,
        ) {
            val missing = (cpuSecondsToSubmit[priority] ?: 0.0) + share * cluster.cpus
            // The largest job is submitted last, with the lowest priority.
            val isLargest = second == LAST_SUBMISSION && priority == Priority.IDLE
            val tasks = if (isLargest) 120 else random.nextInt(4, 40)
            val seconds = random.nextInt(5, 15)
            if (second > LAST_SUBMISSION || (!isLargest && missing <= tasks * seconds)) {
                cpuSecondsToSubmit[priority] = missing
                return
            }
            cpuSecondsToSubmit[priority] = missing - tasks * seconds
            val job =
                leader.job {
                    it.copy(
                        priority = priority,
                        tasks = tasks,
                        team = if (random.nextInt(8) == 0) "blue" else "green",
                        expectedSeconds = seconds.toDouble(),
                        deadlineSeconds = 60.0,
                    )
                }
            submittedAt[job] = leader.now
        }

        fun checkStarts() {
            for ((job, at) in submittedAt) {
                val wait = (startedAt[job] ?: (leader.now + 1.seconds)) - at
                assertTrue(
                    wait < 240.seconds,
                    "seed $seed: ${job.spec.priority} job of team ${job.spec.team} of ${job.spec.tasks} tasks " +
                        "submitted after ${at - start} waited $wait to start",
                )
            }
        }

        fun checkDone() {
            for ((priority, jobs) in submittedAt.keys.groupBy { it.spec.priority }) {
                val done = jobs.sumOf { it.doneCount }
                val tasks = jobs.sumOf { it.spec.tasks }
                assertTrue(done * 2 >= tasks, "seed $seed: of $priority only $done of $tasks tasks were done")
            }
        }
    }

    /**
     * A job starts within four minutes, whatever its priority, team and size and however late it is submitted. At least
     * half of the tasks of each priority are done at the end.
     */
    @Test
    fun `no job starves under a lasting overload`() {
        for (seed in 1..12) {
            val overload = Overload(seed)
            overload.run()
            overload.checkStarts()
            overload.checkDone()
        }
    }

    private companion object {
        const val SECONDS = 700
        const val LAST_SUBMISSION = 450
    }
}
