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
    fun `beyond their guarantees teams take turns by weight, whatever their tasks' size`() =
        runBlocking<Unit> {
            checkAll(
                PropTestConfig(seed = 21, iterations = 40),
                Arb.int(1..9),
                Arb.int(1..9),
                Arb.int(1..4),
            ) { a, b, size ->
                val t = TestScheduler()
                val one = t.job { it.copy(cpus = size.toDouble()) }
                val other = t.job { it.copy(cpus = 1.0, priority = one.spec.priority) }
                val x = team("x", a * 10.0).also { it.quota.allocate(Resources(1e6, 0.0, 0.0)) }
                val y = team("y", b * 10.0).also { it.quota.allocate(Resources(1e6, 0.0, 0.0)) }
                val dispatched = HashMap<Dispatcher, Double>()
                repeat(2000) {
                    val next = WeightedRoundRobin.next(mapOf(x to one, y to other)) ?: error("nobody's turn")
                    dispatched.merge(next, if (next === x) size.toDouble() else 1.0, Double::plus)
                }
                val share = (dispatched[x] ?: 0.0) / dispatched.values.sum()
                assertTrue(abs(share - a.toDouble() / (a + b)) < 0.02, "$share for $a of ${a + b}")
            }
        }

    @Test
    fun `teams below their guarantee go first, then the highest priority`() {
        val t = TestScheduler()
        val urgent = t.job { it.copy(priority = Priority.HIGH) }
        val idle = t.job { it.copy(priority = Priority.IDLE) }
        val owed = team("owed", 10.0)
        val none = team("none", 0.0)
        val also = team("also", 0.0)
        assertEquals(owed, WeightedRoundRobin.next(mapOf(none to urgent, owed to idle)))
        assertEquals(none, WeightedRoundRobin.next(mapOf(none to urgent, also to idle)))
    }

    @Test
    fun `limits and places hold for generated jobs and machines`() {
        for (seed in 1..60) {
            val random = Random(seed)
            val t = TestScheduler()
            repeat(8) {
                Fixtures
                    .job(random, it)
                    .let { s -> t.job { _ -> s } }
            }
            for (i in 0..7) {
                val (type, zone) = listOf("small", "large").random(random) to listOf("east", "west").random(random)
                t.heartbeat("m$i", type = type, zone = zone, spot = random.nextBoolean())
                t.dispatch("m$i")
            }
            for (dispatcher in t.scheduler.teams.values) {
                val used =
                    t.scheduler.machines.values
                        .flatMap { it.assignments.values }
                        .filter { it.job.spec.team == dispatcher.team.name }
                        .sumOf { it.resources.cpus }
                assertEquals(used, dispatcher.quota.usedCpus, 1e-6)
                dispatcher.team.cpusMax?.let { assertTrue(used <= it + 1e-6) }
            }
            for (m in t.scheduler.machines.values) {
                assertTrue(m.capacity?.covers(m.used) == true, "seed $seed: ${m.name} is overfull")
                for (a in m.assignments.values) {
                    assertTrue(
                        a.job.spec.instanceTypes
                            ?.contains(m.type) != false &&
                            a.job.spec.zone
                                .let { it == null || it == m.zone },
                    )
                    assertTrue(a.job.spec.spot || !m.spot)
                }
            }
            for (job in t.scheduler.jobs.values) {
                if (job.spec.oneZone) assertTrue(job.zones.size <= 1)
                assertTrue(job.zones.values.all { it <= job.spec.maxPerZone })
            }
        }
    }

    /**
     * Work keeps coming faster than the machines can do it, the more urgent the more of it. Whatever
     * its priority, team and size, and however late it comes, a job begins within four minutes, and of
     * each class at least half is done.
     */
    @Test
    fun `nobody starves under a lasting overload`() {
        for (seed in 1..12) {
            val random = Random(seed)
            val t = TestScheduler()
            val fleet = BusyCluster(t, machines = 6)
            val cpus = fleet.cpus
            val urgent = listOf(Priority.CRITICAL, Priority.HIGH, Priority.NORMAL).random(random)
            val load = mapOf(urgent to 0.6 + random.nextDouble() * 0.3, Priority.IDLE to 0.4)
            val owed = HashMap<Priority, Double>()
            val came = HashMap<RunningJob, Duration>()
            val began = HashMap<RunningJob, Duration>()
            val start = t.now
            for (second in 1..700) {
                t.now += 1.seconds
                for ((priority, share) in load) {
                    val more = (owed[priority] ?: 0.0) + share * cpus
                    // The largest comes last and is of the least urgent kind.
                    val largest = second == 450 && priority == Priority.IDLE
                    val tasks = if (largest) 120 else random.nextInt(4, 40)
                    val seconds = random.nextInt(5, 15)
                    if (second <= 450 && (largest || more > tasks * seconds)) {
                        val job =
                            t.job {
                                it.copy(
                                    priority = priority,
                                    tasks = tasks,
                                    team = if (random.nextInt(8) == 0) "blue" else "green",
                                    expectedSeconds = seconds.toDouble(),
                                    deadlineSeconds = 60.0,
                                )
                            }
                        came[job] = t.now
                        owed[priority] = more - tasks * seconds
                    } else {
                        owed[priority] = more
                    }
                }
                fleet.step()
                for (job in came.keys) if (job !in began && job.assigned.size + job.doneCount > 0) began[job] = t.now
            }
            for ((job, at) in came) {
                val wait = (began[job] ?: (t.now + 1.seconds)) - at
                assertTrue(
                    wait < 240.seconds,
                    "seed $seed: ${job.spec.priority} job of team ${job.spec.team} of ${job.spec.tasks} tasks " +
                        "that came after ${at - start} waited $wait to begin",
                )
            }
            for ((priority, jobs) in came.keys.groupBy { it.spec.priority }) {
                assertTrue(
                    jobs.sumOf { it.doneCount } * 2 >= jobs.sumOf { it.spec.tasks },
                    "seed $seed: of $priority only ${jobs.sumOf { it.doneCount }} " +
                        "of ${jobs.sumOf { it.spec.tasks }} tasks were done",
                )
            }
        }
    }
}
