package umberslip.api

import com.github.benmanes.caffeine.cache.Cache
import com.github.benmanes.caffeine.cache.Caffeine
import umberslip.core.JobId
import umberslip.records.Keys
import umberslip.records.OutcomeRecord
import umberslip.records.parseRecord
import umberslip.store.KeyValueStore

/** Outcomes of jobs, which never change, so that repeated requests need no read. Confined to the actors' thread. */
internal class OutcomeCache(
    private val store: KeyValueStore,
) {
    private val outcomes: Cache<JobId, OutcomeRecord> =
        Caffeine
            .newBuilder()
            .maximumSize(MAX_OUTCOMES)
            .executor(Runnable::run)
            .build()

    /** The job's outcome if it was read or written here lately; needs no request. */
    fun cached(id: JobId): OutcomeRecord? = outcomes.getIfPresent(id)

    /** Adds an outcome that is final. */
    fun add(
        id: JobId,
        outcome: OutcomeRecord,
    ) = outcomes.put(id, outcome)

    /**
     * Reads an outcome from the key-value store, where the cache may not have it yet; null where none is written.
     *
     * @throws umberslip.records.MalformedRecordException where it is malformed
     * @throws umberslip.http.ServiceException where it could not be read
     */
    suspend fun read(id: JobId): OutcomeRecord? {
        val entry = store.getLowPriority(Keys.outcome(id)) ?: return null
        return entry.parseRecord(OutcomeRecord::parse).also { add(id, it) }
    }

    private companion object {
        /** Bounds the memory that the cache takes; what is not in it is read again. */
        const val MAX_OUTCOMES = 20_000L
    }
}
