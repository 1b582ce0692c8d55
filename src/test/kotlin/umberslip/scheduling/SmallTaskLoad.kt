package umberslip.scheduling

import umberslip.core.JobSpec
import umberslip.core.Priority
import kotlin.random.Random
import kotlin.time.Duration.Companion.seconds

/** Jobs of one-processor tasks that come faster, by the factor [overload], than the cluster completes them. */
class SmallTaskLoad(
    private val leader: TestScheduler,
    private val cluster: BusyCluster,
    seed: Int,
    private val overload: Double = 1.05,
    private val change: (JobSpec) -> JobSpec = { it },
) {
    private val random = Random(seed)
    private var missingCpuSeconds = 0.0

    /** A second passes: jobs come, and the cluster works. */
    fun step() {
        leader.now += 1.seconds
        missingCpuSeconds += cluster.cpus * overload
        while (missingCpuSeconds > 0) missingCpuSeconds -= submit()
        cluster.step()
    }

    /** Returns the processor seconds that the job takes. */
    private fun submit(): Int {
        val tasks = random.nextInt(10, 60)
        val seconds = random.nextInt(10, 40)
        val priority = if (random.nextInt(3) == 0) Priority.IDLE else Priority.NORMAL
        leader.job { change(it.copy(priority = priority, tasks = tasks, expectedSeconds = seconds.toDouble())) }
        return tasks * seconds
    }
}
