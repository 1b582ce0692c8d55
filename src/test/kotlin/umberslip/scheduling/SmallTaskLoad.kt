package umberslip.scheduling

import umberslip.core.JobSpec
import umberslip.core.Priority
import kotlin.random.Random
import kotlin.time.Duration.Companion.seconds

/** Submits jobs of one-processor tasks faster, by the factor [overload], than the cluster can complete them. */
class SmallTaskLoad(
    private val leader: TestScheduler,
    private val cluster: BusyCluster,
    seed: Int,
    private val overload: Double = 1.05,
    private val change: (JobSpec) -> JobSpec = { it },
) {
    private val random = Random(seed)
    private var cpuSecondsToSubmit = 0.0

    /** Advances the simulation by one second: submits the jobs that are due, and steps the cluster. */
    fun step() {
        leader.now += 1.seconds
        cpuSecondsToSubmit += cluster.cpus * overload
        while (cpuSecondsToSubmit > 0) cpuSecondsToSubmit -= submit()
        cluster.step()
    }

    /** Submits a job and returns the processor seconds that it takes. */
    private fun submit(): Int {
        val tasks = random.nextInt(10, 60)
        val seconds = random.nextInt(10, 40)
        val priority = if (random.nextInt(3) == 0) Priority.IDLE else Priority.NORMAL
        leader.job { change(it.copy(priority = priority, tasks = tasks, expectedSeconds = seconds.toDouble())) }
        return tasks * seconds
    }
}
