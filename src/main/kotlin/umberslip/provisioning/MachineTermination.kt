package umberslip.provisioning

import kotlinx.coroutines.CompletableDeferred
import org.slf4j.Logger
import umberslip.cloud.Cloud
import umberslip.cloud.CloudLimits
import umberslip.core.MachineName
import umberslip.http.RequestRejectedException
import umberslip.scheduling.Leader
import umberslip.scheduling.LeaderMessage
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Terminates machines at the cloud. The leader first agrees to the termination of a machine and then assigns no more
 * work to it. The leader is told that the machine is terminated only after the cloud has confirmed it, and then starts
 * the machine's tasks elsewhere.
 */
internal class MachineTermination(
    private val cloud: Cloud,
    private val leader: Leader,
    private val log: Logger,
) {
    /** Replaced in each term, so that a late agreement from a former term does not enqueue machines in the new term. */
    private var pending = LinkedHashSet<MachineName>()
    private val terminated = HashSet<MachineName>()
    private val retryRejectedAt = HashMap<MachineName, Duration>()
    private var maxBatch = CloudLimits.MACHINES_PER_TERMINATION

    /**
     * Resets the state for a new leader's term. Machines that are still to be terminated appear in the cloud's list
     * again.
     */
    fun clear() {
        pending = LinkedHashSet()
        terminated.clear()
        retryRejectedAt.clear()
        maxBatch = CloudLimits.MACHINES_PER_TERMINATION
    }

    fun isPendingOrTerminated(name: MachineName): Boolean = name in pending || name in terminated

    /** Enqueues a machine to which the leader has assigned no work. */
    fun enqueue(name: MachineName) {
        pending += name
    }

    /**
     * Asks the leader which of the machines may be terminated, and enqueues these. Without [evenIfBusy], the leader
     * agrees only to machines without tasks.
     */
    suspend fun request(
        names: List<MachineName>,
        evenIfBusy: Boolean,
    ) {
        if (names.isEmpty()) return
        val agreed = CompletableDeferred<List<MachineName>>()
        val request = LeaderMessage.PrepareTermination(names.toSet(), evenIfBusy) { agreed.complete(it) }
        val pendingOfTerm = pending
        if (leader.enqueue(request)) pendingOfTerm += agreed.await()
    }

    /** Terminates one batch. The next call continues with the remaining machines, or repeats a batch that failed. */
    suspend fun terminatePending(now: Duration) {
        val names = pending.filter { (retryRejectedAt[it] ?: Duration.ZERO) <= now }.take(maxBatch)
        if (names.isEmpty()) return
        try {
            cloud.terminate(names)
        } catch (e: RequestRejectedException) {
            handleRejection(names, e.message, now)
            return
        }
        log.info("machines terminated: machines={}", names.joinToString { it.value })
        maxBatch = minOf(maxBatch * 2, CloudLimits.MACHINES_PER_TERMINATION)
        pending.removeAll(names.toSet())
        terminated += names
        leader.enqueue(LeaderMessage.Terminated(names))
    }

    /**
     * Halves the size of the next batch, so that repeated rejections isolate the one machine that the cloud rejects.
     * That machine is then not retried for [REJECTED_RETRY_DELAY].
     */
    private fun handleRejection(
        names: List<MachineName>,
        reason: String?,
        now: Duration,
    ) {
        log.error("termination rejected: reason={} machines={}", reason, names.joinToString { it.value })
        maxBatch = maxOf(1, names.size / 2)
        if (names.size == 1) retryRejectedAt[names.single()] = now + REJECTED_RETRY_DELAY
    }

    private companion object {
        /** How long to wait before the termination of a machine is retried after the cloud rejected it. */
        val REJECTED_RETRY_DELAY = 60.seconds
    }
}
