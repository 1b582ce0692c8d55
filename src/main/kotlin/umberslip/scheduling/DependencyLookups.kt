package umberslip.scheduling

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.launch
import umberslip.core.JobId
import umberslip.http.ServiceException
import umberslip.records.JobOutcome
import umberslip.records.Keys
import umberslip.records.OutcomeRecord
import umberslip.records.parseRecord
import umberslip.store.KeyValueStore
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Reads the outcomes of jobs that others depend on and that are not among the unfinished ones, one by one. An outcome
 * never changes. Confined to the leader actor, to which [send] sends what was read.
 */
internal class DependencyLookups(
    private val scope: CoroutineScope,
    private val store: KeyValueStore,
    private val send: (LeaderMessage) -> Unit,
) {
    private val lastLookups = HashMap<JobId, Duration>()

    /** Forgets which outcomes were asked for. */
    fun clear() = lastLookups.clear()

    /** Begins to read the outcomes that [scheduler] needs and that were not asked for lately. */
    fun begin(
        scheduler: SchedulerState,
        now: Duration,
    ) {
        val unread = scheduler.dependencyGraph.unread
        if (unread.isEmpty()) {
            lastLookups.clear()
            return
        }
        for (id in unread.filter { isDue(it, now) }.take(MAX_AT_ONCE)) {
            lastLookups[id] = now
            scope.launch { send(LeaderMessage.OutcomeRead(scheduler, id, read(id))) }
        }
    }

    private fun isDue(
        id: JobId,
        now: Duration,
    ): Boolean {
        val last = lastLookups[id] ?: return true
        return now - last >= RETRY
    }

    private suspend fun read(id: JobId): JobOutcome? =
        try {
            store.get(Keys.outcome(id))?.parseRecord(OutcomeRecord::parse)?.outcome
        } catch (_: ServiceException) {
            // Asked for again after a while, as one that does not exist yet.
            null
        }

    private companion object {
        /** After this long an outcome that could not be read, or did not exist yet, is asked for again. */
        val RETRY = 2.seconds

        /** Leaves the key-value store's rate to reads of the records. */
        const val MAX_AT_ONCE = 10
    }
}
