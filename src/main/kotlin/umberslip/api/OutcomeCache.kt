package umberslip.api

import com.github.benmanes.caffeine.cache.Cache
import com.github.benmanes.caffeine.cache.Caffeine
import umberslip.core.JobId
import umberslip.records.Keys
import umberslip.records.OutcomeRecord
import umberslip.records.parseRecord
import umberslip.store.KeyValueStore

/** Caches job outcomes, which never change, to save reads for repeated requests. Confined to the actors' thread. */
internal class OutcomeCache(
    private val store: KeyValueStore,
) {
    private val outcomes: Cache<JobId, OutcomeRecord> =
        Caffeine
            .newBuilder()
            .maximumSize(MAX_OUTCOMES)
            .executor(Runnable::run)
            .build()

    /** Returns the job's outcome if it is cached. Sends no request to the key-value store. */
    fun getIfPresent(id: JobId): OutcomeRecord? = outcomes.getIfPresent(id)

    /** Adds a final outcome. */
    fun add(
        id: JobId,
        outcome: OutcomeRecord,
    ) = outcomes.put(id, outcome)

    /**
     * Reads an outcome from the key-value store and caches it. Returns null if none is written.
     *
     * @throws umberslip.records.MalformedRecordException if it is malformed
     * @throws umberslip.http.ServiceException if it could not be read
     */
    suspend fun read(id: JobId): OutcomeRecord? {
        val entry = store.getLowPriority(Keys.outcome(id)) ?: return null
        return entry.parseRecord(OutcomeRecord::parse).also { add(id, it) }
    }

    private companion object {
        /** Bounds the memory of the cache. Evicted outcomes are read again. */
        const val MAX_OUTCOMES = 20_000L
    }
}
