package umberslip.store

import io.netty.handler.codec.http.HttpMethod
import umberslip.http.Fields
import umberslip.http.HttpClient
import umberslip.http.MalformedMessageException
import umberslip.http.NoResponseException
import umberslip.http.RateLimitedException
import umberslip.http.Reply
import umberslip.http.ServiceUnavailableException
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * A client of the key-value store over HTTP. All requests count against the rate limit of [requests], but lease
 * requests never wait for it.
 */
class HttpKeyValueStore(
    private val http: HttpClient,
    private val requests: RateLimiter,
) : KeyValueStore {
    override suspend fun get(key: String): Entry? {
        requests.take(1, urgent = false)
        return fetch(key)
    }

    override suspend fun getLowPriority(key: String): Entry? {
        if (!requests.tryTakeLowPriority(1, MAX_RATE_LIMIT_WAIT)) {
            throw ServiceUnavailableException("rate limit of the key-value store is exhausted for low-priority reads")
        }
        return fetch(key)
    }

    private suspend fun fetch(key: String): Entry? {
        val reply = send(HttpMethod.GET, "${KeyValueStoreProtocol.KEYS_PATH}/$key", null)
        return when (reply.status) {
            200 -> decode { KeyValueStoreProtocol.parseEntry(reply.fields()) }
            404 -> null
            else -> throwRefused(reply)
        }
    }

    override suspend fun list(
        prefix: String,
        after: String?,
    ): Page {
        val cursor = if (after == null) "" else "&${KeyValueStoreProtocol.AFTER}=$after"
        val query = "${KeyValueStoreProtocol.PREFIX}=$prefix$cursor&${KeyValueStoreProtocol.PAGE_SIZE}=$PAGE_ENTRIES"
        val reply = call(HttpMethod.GET, "${KeyValueStoreProtocol.KEYS_PATH}?$query", null)
        if (reply.status != 200) throwRefused(reply)
        return decode { parsePage(reply.fields()) }
    }

    private fun parsePage(fields: Fields) =
        Page(
            entries = fields.maps(KeyValueStoreProtocol.ENTRIES).map(KeyValueStoreProtocol::parseEntry),
            hasMore = fields.flag(KeyValueStoreProtocol.HAS_MORE),
            revision = fields.long(KeyValueStoreProtocol.REVISION),
        )

    override suspend fun changes(
        prefix: String,
        after: Long,
    ): Changes? {
        // The store responds at once even if nothing changed, because the caller decides when to poll again.
        val query =
            "${KeyValueStoreProtocol.PREFIX}=$prefix&${KeyValueStoreProtocol.AFTER}=$after&" +
                "${KeyValueStoreProtocol.WAIT_MILLIS}=0"
        val reply = call(HttpMethod.GET, "${KeyValueStoreProtocol.CHANGES_PATH}?$query", null)
        if (reply.status == 410) return null
        if (reply.status != 200) throwRefused(reply)
        return decode { parseChanges(reply.fields()) }
    }

    private fun parseChanges(fields: Fields): Changes {
        val changes = fields.maps(KeyValueStoreProtocol.EVENTS).map(KeyValueStoreProtocol::parseChange)
        return Changes(fields.long(KeyValueStoreProtocol.REVISION), changes)
    }

    override suspend fun compareAndSwap(
        preconditions: List<Precondition>,
        writes: List<Write>,
    ): TransactionResult {
        val body =
            mapOf(
                KeyValueStoreProtocol.PRECONDITIONS to preconditions.map(KeyValueStoreProtocol::encodePrecondition),
                KeyValueStoreProtocol.WRITES to writes.map(KeyValueStoreProtocol::encodeWrite),
            )
        val reply = call(HttpMethod.POST, KeyValueStoreProtocol.TRANSACTION_PATH, body)
        return decode { parseTransactionResult(reply) }
    }

    private fun parseTransactionResult(reply: Reply): TransactionResult =
        when (reply.status) {
            200 -> TransactionResult.Applied(Version(reply.fields().long(KeyValueStoreProtocol.REVISION)))
            409 -> {
                val failed = reply.fields().textsOrNull(KeyValueStoreProtocol.FAILED_KEYS)
                TransactionResult.PreconditionFailed(failed.orEmpty())
            }
            400 -> parseRejection(reply)
            else -> throwRefused(reply)
        }

    private fun parseRejection(reply: Reply): TransactionResult {
        val error = reply.fields().textOrNull(KeyValueStoreProtocol.ERROR)
        if (error == KeyValueStoreProtocol.NO_SUCH_LEASE) return TransactionResult.LeaseExpired
        return TransactionResult.Rejected("${reply.body}")
    }

    override suspend fun openLease(ttl: Duration): StoreLease {
        val body = mapOf(KeyValueStoreProtocol.TTL_MILLIS to ttl.inWholeMilliseconds)
        val reply = call(HttpMethod.POST, KeyValueStoreProtocol.LEASES_PATH, body, urgent = true)
        if (reply.status != 200) throwRefused(reply)
        return decode { StoreLease(reply.fields().long(KeyValueStoreProtocol.LEASE)) }
    }

    override suspend fun renew(lease: StoreLease): Boolean {
        val path = "${leasePath(lease)}/${KeyValueStoreProtocol.RENEW}"
        val reply = call(HttpMethod.POST, path, emptyMap<String, Any?>(), urgent = true)
        return when (reply.status) {
            200 -> true
            404 -> false
            else -> throwRefused(reply)
        }
    }

    override suspend fun endLease(lease: StoreLease) {
        val reply = call(HttpMethod.DELETE, leasePath(lease), null, urgent = true)
        if (reply.status != 200 && reply.status != 404) throwRefused(reply)
    }

    private fun leasePath(lease: StoreLease) = "${KeyValueStoreProtocol.LEASES_PATH}/${lease.id}"

    private suspend fun call(
        method: HttpMethod,
        path: String,
        body: Any?,
        urgent: Boolean = false,
    ): Reply {
        requests.take(1, urgent)
        return send(method, path, body)
    }

    private suspend fun send(
        method: HttpMethod,
        path: String,
        body: Any?,
    ): Reply = decode { http.call(method, path, body, TIMEOUT) }

    /** Reports an unreadable response as [NoResponseException], because the request may have been carried out. */
    private inline fun <T> decode(read: () -> T): T =
        try {
            read()
        } catch (e: MalformedMessageException) {
            throw NoResponseException("key-value store: ${e.message}")
        }

    private fun throwRefused(reply: Reply): Nothing {
        val message = "key-value store responded ${reply.status} ${reply.body}"
        if (reply.status != 429) throw ServiceUnavailableException(message)
        requests.lowerRate()
        throw RateLimitedException(message)
    }

    private companion object {
        /** Half of the maximum number of entries that the protocol allows in a response. */
        const val PAGE_ENTRIES = 500
        val TIMEOUT = 1000.milliseconds

        /** A fraction of the 2 s that users wait for the response to a request. */
        val MAX_RATE_LIMIT_WAIT = 500.milliseconds
    }
}
