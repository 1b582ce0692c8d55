package umberslip.store

import kotlin.time.Duration

/**
 * The consensus-backed key-value store. Every call may throw one of two exceptions. After a
 * [umberslip.http.ServiceUnavailableException], the call was certainly not carried out. After a
 * [umberslip.http.NoResponseException], it may have been carried out, or may still be carried out later.
 */
interface KeyValueStore {
    /** Returns the entry at [key]; null if there is none. */
    suspend fun get(key: String): Entry?

    /**
     * Like [get], but with a lower priority than all other requests; for requests of users. If other requests use up
     * the rate limit, the call fails at once with [umberslip.http.ServiceUnavailableException]. Thus requests of users
     * never delay reads of the records, leases or writes.
     */
    suspend fun getLowPriority(key: String): Entry?

    /** Returns the first page of the entries whose keys start with [prefix] and, if [after] is given, sort after it. */
    suspend fun list(
        prefix: String,
        after: String?,
    ): Page

    /** Returns the changes after revision [after]; null if that is too old and all keys must be read again. */
    suspend fun changes(
        prefix: String,
        after: Long,
    ): Changes?

    /** Applies all [writes] if all [preconditions] hold, and none otherwise. */
    suspend fun compareAndSwap(
        preconditions: List<Precondition>,
        writes: List<Write>,
    ): TransactionResult

    /** Opens a lease that expires [ttl] after its last renewal. */
    suspend fun openLease(ttl: Duration): StoreLease

    /** Renews the lease. Returns false if it has expired or ended. */
    suspend fun renew(lease: StoreLease): Boolean

    /** Ends the lease immediately if it has not expired. */
    suspend fun endLease(lease: StoreLease)
}
