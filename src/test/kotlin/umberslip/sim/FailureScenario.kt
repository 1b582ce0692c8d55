package umberslip.sim

import umberslip.core.JobSpec
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** One run of a combined failure: submits jobs to the cluster and offers the faults that the failure injects. */
class FailureScenario(
    private val failure: CombinedFailure,
    val cluster: SimulatedCluster,
    val random: Random,
) {
    /** Whether the jobs submitted from now on depend on earlier ones. */
    var withDependencies = failure.withDependencies

    /** The number of cancellations that were answered while the leader could not know of them. */
    var cancelledInGap = 0
        private set
    private val submitted = ArrayList<JobSpec>()
    private var nextNumber = 0

    /** Lets time pass, and submits jobs at random meanwhile. */
    fun pause(seconds: Int) =
        repeat(seconds) {
            submitJobs()
            cluster.run(1.seconds)
        }

    private fun submitJobs() {
        repeat(if (withDependencies) 2 else 1) {
            if (random.nextInt(3) == 0) submitJob()
        }
    }

    private fun submitJob() {
        val job = Fixtures.job(random, nextNumber++)
        val dependencies = if (withDependencies) chooseDependencies() else emptyList()
        val adapted =
            job.copy(
                expectedSeconds = job.expectedSeconds * failure.runTimeFactor,
                tasks = minOf(job.tasks, MAX_TASKS),
                dependencies = dependencies.map { it.id },
            )
        val spec = failure.adaptJob(adapted, random)
        submitted += spec
        cluster.submit(spec, null)
    }

    private fun chooseDependencies(): List<JobSpec> =
        submitted
            .takeLast(LATEST_JOBS)
            .shuffled(random)
            .take(random.nextInt(0, 3))

    /** Stops a controller and starts it with other settings. */
    fun replace(
        controller: Int,
        settingsJson: (String) -> String,
    ) {
        cluster.stopController(controller)
        cluster.configure(controller, settingsJson)
        cluster.run(random.nextInt(100, 900).milliseconds)
        cluster.startController(controller)
    }

    fun restartLeader() {
        val leader = cluster.leader() ?: return
        cluster.stopController(leader)
        cluster.run(random.nextInt(50, 1500).milliseconds)
        cluster.startController(leader)
    }

    fun cancelSome(count: Int) =
        cluster
            .runningJobs()
            .shuffled(random)
            .take(count)
            .forEach(cluster::cancel)

    fun cancelOpen(count: Int) =
        cluster
            .openJobs()
            .shuffled(random)
            .take(count)
            .forEach(cluster::cancel)

    /**
     * Cuts only the leader off from the key-value store, cancels jobs through other controllers within [cancelWithin]
     * milliseconds, runs [afterCancellations], and then makes the store unavailable to all controllers.
     */
    fun cancellationGap(
        cancelWithin: IntRange,
        afterCancellations: () -> Unit = {},
    ) {
        cluster.leader()?.let { cluster.cutFromStore(it, 14.seconds) }
        val cancelledBefore = cluster.cancelledJobs
        val gapEnd = cluster.now() + 1900.milliseconds
        for (id in cluster.runningJobs().shuffled(random).take(8)) {
            cluster.run((random.nextInt(cancelWithin.first, cancelWithin.last + 1) / 8).milliseconds)
            cluster.cancel(id)
        }
        afterCancellations()
        cluster.run((gapEnd - cluster.now()).coerceAtLeast(1.milliseconds))
        cancelledInGap += cluster.cancelledJobs - cancelledBefore
        cluster.store.out = true
        pause(45)
        cluster.store.out = false
        pause(15)
    }

    private companion object {
        const val MAX_TASKS = 6

        /** The dependencies of a job are chosen from this many of the latest jobs. */
        const val LATEST_JOBS = 7
    }
}
