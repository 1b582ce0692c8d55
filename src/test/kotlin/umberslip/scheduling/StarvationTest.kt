package umberslip.scheduling

import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import umberslip.core.Priority
import kotlin.random.Random
import kotlin.time.Duration.Companion.seconds

/** What waits longest gets its share in spite of what is more urgent, or smaller. */
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
        val t = TestScheduler()
        val fleet = BusyCluster(t, machines = 12)
        var owed = 0.0
        val large = ArrayList<RunningJob>()
        for (second in 1..(LARGE_AT + WITHIN)) {
            t.now += 1.seconds
            owed += fleet.cpus * OVERLOAD
            while (owed > 0) {
                val tasks = random.nextInt(10, 60)
                val seconds = random.nextInt(10, 40)
                owed -= tasks * seconds
                val priority = if (random.nextInt(3) == 0) Priority.IDLE else Priority.NORMAL
                t.job { it.copy(priority = priority, tasks = tasks, expectedSeconds = seconds.toDouble()) }
            }
            if (second == LARGE_AT) {
                repeat(2) {
                    large +=
                        t.job {
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
            fleet.step()
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
