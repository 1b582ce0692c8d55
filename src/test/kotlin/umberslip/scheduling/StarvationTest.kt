package umberslip.scheduling

import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import umberslip.core.Priority
import kotlin.random.Random
import kotlin.time.Duration.Companion.seconds

/** The jobs that wait longest get their share in spite of jobs that have a higher priority, or smaller tasks. */
class StarvationTest {
    /**
     * From incidents inc-0eb9 and inc-2363: idle jobs whose tasks take half a machine waited for up to eleven minutes,
     * since small tasks filled every gap before it was large enough.
     */
    @Test
    fun `large tasks of idle jobs begin within four minutes beside endless small ones`() {
        for (seed in 1..6) play(seed)
    }

    private fun play(seed: Int) {
        val random = Random(seed)
        val leader = TestScheduler()
        val cluster = BusyCluster(leader, machines = 12)
        var missingCpuSeconds = 0.0
        val large = ArrayList<RunningJob>()
        for (second in 1..(LARGE_AT + WITHIN)) {
            leader.now += 1.seconds
            missingCpuSeconds += cluster.cpus * OVERLOAD
            while (missingCpuSeconds > 0) {
                val tasks = random.nextInt(10, 60)
                val seconds = random.nextInt(10, 40)
                missingCpuSeconds -= tasks * seconds
                val priority = if (random.nextInt(3) == 0) Priority.IDLE else Priority.NORMAL
                leader.job { it.copy(priority = priority, tasks = tasks, expectedSeconds = seconds.toDouble()) }
            }
            if (second == LARGE_AT) {
                repeat(2) {
                    large +=
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
        for (job in large) {
            val begun = job.assigned.size + job.doneCount
            assertTrue(begun == job.spec.tasks, "seed $seed: $begun of ${job.spec.tasks} of ${job.spec.id}")
        }
    }

    private companion object {
        const val OVERLOAD = 1.05
        const val LARGE_AT = 60
        const val WITHIN = 240
    }
}
