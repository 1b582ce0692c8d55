package umberslip.scheduling

import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import umberslip.core.Priority
import kotlin.random.Random
import kotlin.time.Duration.Companion.seconds

/** Jobs that have waited long get their share in spite of jobs with higher priority or smaller tasks. */
class StarvationTest {
    /**
     * Guards against incidents inc-0eb9 and inc-2363: idle jobs whose tasks take half a machine waited for up to eleven
     * minutes, because small tasks filled every gap before it was large enough.
     */
    @Test
    fun `large tasks of idle jobs start within four minutes under a constant load of small tasks`() {
        for (seed in 1..6) simulate(seed)
    }

    private fun simulate(seed: Int) {
        val random = Random(seed)
        val leader = TestScheduler()
        val cluster = BusyCluster(leader, machines = 12)
        var cpuSecondsToSubmit = 0.0
        val largeJobs = ArrayList<RunningJob>()
        for (second in 1..(SUBMIT_LARGE_AT + START_WITHIN)) {
            leader.now += 1.seconds
            cpuSecondsToSubmit += cluster.cpus * OVERLOAD
            while (cpuSecondsToSubmit > 0) {
                val tasks = random.nextInt(10, 60)
                val seconds = random.nextInt(10, 40)
                cpuSecondsToSubmit -= tasks * seconds
                val priority = if (random.nextInt(3) == 0) Priority.IDLE else Priority.NORMAL
                leader.job { it.copy(priority = priority, tasks = tasks, expectedSeconds = seconds.toDouble()) }
            }
            if (second == SUBMIT_LARGE_AT) {
                repeat(2) {
                    largeJobs +=
                        leader.job {
                            it.copy(
                                priority = Priority.IDLE,
                                tasks = 6,
                                cpus = 8.0,
                                memoryGb = 12.0,
                                expectedSeconds = 200.0,
                                deadlineSeconds = null,
                            )
                        }
                }
            }
            cluster.step()
        }
        for (job in largeJobs) {
            val started = job.assigned.size + job.doneCount
            assertTrue(
                started == job.spec.tasks,
                "seed $seed: only $started of ${job.spec.tasks} tasks of ${job.spec.id} started",
            )
        }
    }

    private companion object {
        const val OVERLOAD = 1.05
        const val SUBMIT_LARGE_AT = 60
        const val START_WITHIN = 240
    }
}
