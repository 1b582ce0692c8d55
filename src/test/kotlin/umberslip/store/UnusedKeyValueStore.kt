package umberslip.store

import umberslip.http.ServiceUnavailableException
import kotlin.time.Duration

/** A key-value store that refuses all requests, for tests that use none of them or override those that they use. */
object UnusedKeyValueStore : KeyValueStore {
    override suspend fun get(key: String): Entry? = refuse()

    override suspend fun getLowPriority(key: String): Entry? = refuse()

    override suspend fun list(
        prefix: String,
        after: String?,
    ): Page = refuse()

    override suspend fun changes(
        prefix: String,
        after: Long,
    ): Changes? = refuse()

    override suspend fun compareAndSwap(
        preconditions: List<Precondition>,
        writes: List<Write>,
    ): TransactionResult = refuse()

    override suspend fun openLease(ttl: Duration): StoreLease = refuse()

    override suspend fun renew(lease: StoreLease): Boolean = refuse()

    override suspend fun endLease(lease: StoreLease): Unit = refuse()

    private fun refuse(): Nothing = throw ServiceUnavailableException("this key-value store refuses all requests")
}
