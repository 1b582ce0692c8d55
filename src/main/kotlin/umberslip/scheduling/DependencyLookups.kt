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
 * Reads the outcomes of jobs that others depend on and that are not among the unfinished ones, each by a request of its
 * own. An outcome never changes. Confined to the leader actor, which receives each outcome through [send].
 */
internal class DependencyLookups(
    private val scope: CoroutineScope,
    private val store: KeyValueStore,
    private val send: (LeaderMessage) -> Unit,
) {
    private val lastLookupTimes = HashMap<JobId, Duration>()

    /** Forgets which outcomes were requested. */
    fun clear() = lastLookupTimes.clear()

    /** Starts to read the outcomes that [scheduler] needs and that were not requested recently. */
    fun startLookups(
        scheduler: SchedulerState,
        now: Duration,
    ) {
        val unread = scheduler.dependencyGraph.unread
        if (unread.isEmpty()) {
            lastLookupTimes.clear()
            return
        }
        for (id in unread.filter { isDue(it, now) }.take(MAX_LOOKUPS_AT_ONCE)) {
            lastLookupTimes[id] = now
            scope.launch { send(LeaderMessage.OutcomeRead(scheduler, id, readOutcome(id))) }
        }
    }

    private fun isDue(
        id: JobId,
        now: Duration,
    ): Boolean {
        val last = lastLookupTimes[id] ?: return true
        return now - last >= RETRY_INTERVAL
    }

    private suspend fun readOutcome(id: JobId): JobOutcome? =
        try {
            store.get(Keys.outcome(id))?.parseRecord(OutcomeRecord::parse)?.outcome
        } catch (_: ServiceException) {
            // The outcome is requested again later, like one that does not exist yet.
            null
        }

    private companion object {
        /** An outcome that could not be read, or did not exist yet, is requested again after this time. */
        val RETRY_INTERVAL = 2.seconds

        /** Limits the lookups that start at once, to leave the request rate to reads of the records. */
        const val MAX_LOOKUPS_AT_ONCE = 10
    }
}
