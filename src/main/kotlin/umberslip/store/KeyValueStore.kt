package umberslip.store

import kotlin.time.Duration

/**
 * The consensus-backed key-value store. Every call may throw [umberslip.http.ServiceUnavailableException] (certainly
 * not carried out) or [umberslip.http.NoResponseException] (carried out or not, or later).
 */
interface KeyValueStore {
    /** The entry at [key]; null where there is none. */
    suspend fun get(key: String): Entry?

    /**
     * As [get], for requests of users. It gives way to all other requests: where these use up the rate limit, it is
     * refused at once with [umberslip.http.ServiceUnavailableException], so that users' requests never delay reads of
     * the records, leases or writes.
     */
    suspend fun getLowPriority(key: String): Entry?

    /** The first page of the keys that start with [prefix] and come after the key [after], where given. */
    suspend fun list(
        prefix: String,
        after: String?,
    ): Page

    /** The changes after the revision [after]; null where that is too old and the keys must be read again. */
    suspend fun changes(
        prefix: String,
        after: Long,
    ): Changes?

    /** Carries out all [writes] if all [preconditions] hold, and none otherwise. */
    suspend fun compareAndSwap(
        preconditions: List<Precondition>,
        writes: List<Write>,
    ): TransactionResult

    /** A new lease that expires [ttl] after its last renewal. */
    suspend fun openLease(ttl: Duration): StoreLease

    /** False once the lease has expired or ended. */
    suspend fun renew(lease: StoreLease): Boolean

    /** Ends the lease at once, if it has not expired. */
    suspend fun endLease(lease: StoreLease)
}
