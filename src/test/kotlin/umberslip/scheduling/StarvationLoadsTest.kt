package umberslip.scheduling

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test
import umberslip.core.Priority

/**
 * [StarvationTest]'s scenario with other seeds, loads and sizes.
 *
 * Small tasks filled every gap before it was wide enough for a task of half a machine. The jobs' share of dispatching
 * did not help, since it places only what fits, and at most one machine a team was reserved at a time. Without
 * reservations for large tasks, 5 of 6 tasks of such a job had begun after four minutes with seed 2 of StarvationTest.
 */
class StarvationLoadsTest {
    @Test
    fun `large tasks begin within four minutes with other seeds`() {
        val late = (7..56).mapNotNull { LargeJobScenario(seed = it).lateJobs() }
        assertEquals(emptyList<String>(), late)
    }

    @Test
    fun `large tasks begin within four minutes under other loads and sizes`() {
        val late =
            (101..120).flatMap { seed ->
                listOf(
                    LargeJobScenario(seed, overload = 1.2),
                    LargeJobScenario(seed, overload = 1.4),
                    LargeJobScenario(seed, machines = 24, largeJobs = 4),
                    LargeJobScenario(seed, largeCpus = 16.0, largeTasks = 3),
                    LargeJobScenario(seed, largeCpus = 4.0, largeTasks = 12),
                ).mapNotNull { it.lateJobs() }
            }
        assertEquals(emptyList<String>(), late)
    }
}

/** Small tasks come faster than the machines complete them; large jobs come after a minute. */
private class LargeJobScenario(
    seed: Int,
    machines: Int = 12,
    overload: Double = 1.05,
    private val largeJobs: Int = 2,
    private val largeTasks: Int = 6,
    private val largeCpus: Double = 8.0,
) {
    private val leader = TestScheduler()
    private val cluster = BusyCluster(leader, machines)
    private val smallTasks = SmallTaskLoad(leader, cluster, seed, overload)
    private val description = "seed=$seed machines=$machines overload=$overload tasks=$largeTasks cpus=$largeCpus"

    /** The large jobs that have not begun with all tasks after four minutes; null if there are none. */
    fun lateJobs(): String? {
        val large = ArrayList<RunningJob>()
        for (second in 1..(LARGE_AT + WITHIN)) {
            if (second == LARGE_AT) repeat(largeJobs) { large += submitLargeJob() }
            smallTasks.step()
        }
        val late = large.filter { it.assigned.size + it.doneCount < it.spec.tasks }
        return if (late.isEmpty()) null else "$description: ${late.map { "${it.waiting} of ${it.spec.id.value} wait" }}"
    }

    private fun submitLargeJob(): RunningJob =
        leader.job {
            it.copy(
                priority = Priority.IDLE,
                tasks = largeTasks,
                cpus = largeCpus,
                memoryGb = largeCpus,
                expectedSeconds = 200.0,
                deadlineSeconds = null,
            )
        }

    private companion object {
        const val LARGE_AT = 60
        const val WITHIN = 240
    }
}
