package umberslip.store

import io.netty.handler.codec.http.HttpMethod
import kotlinx.coroutines.delay
import umberslip.core.Clock
import umberslip.http.HttpClient
import umberslip.http.MalformedMessageException
import umberslip.http.NoResponseException
import umberslip.http.RateLimitedException
import umberslip.http.Reply
import umberslip.http.ServiceUnavailableException
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

/** A lease of the key-value store. */
@JvmInline
value class StoreLease(
    val id: Long,
)

/** The revision at which a key last changed; 0 where there is no such key. */
@JvmInline
value class Version(
    val value: Long,
) {
    companion object {
        val NONE = Version(0)
    }
}

data class Precondition(
    val key: String,
    val version: Version,
)

sealed interface Write {
    val key: String

    data class Put(
        override val key: String,
        val data: Map<String, Any?>,
        val lease: StoreLease? = null,
    ) : Write

    data class Drop(
        override val key: String,
    ) : Write
}

data class Entry(
    val key: String,
    val data: Any?,
    val version: Version,
)

sealed interface Change {
    val key: String
    val version: Version

    data class Put(
        override val key: String,
        val data: Any?,
        override val version: Version,
    ) : Change

    data class Drop(
        override val key: String,
        override val version: Version,
    ) : Change
}

class Page(
    val entries: List<Entry>,
    val more: Boolean,
    val revision: Long,
)

class Changes(
    val revision: Long,
    val changes: List<Change>,
)

sealed interface TransactionResult {
    data class Applied(
        val version: Version,
    ) : TransactionResult

    data class PreconditionFailed(
        val failed: List<String>,
    ) : TransactionResult

    /** A put named a hold that has ended. */
    data object LeaseExpired : TransactionResult

    /** Over a limit of size, or malformed: the same again would meet the same answer. */
    data class Rejected(
        val why: String,
    ) : TransactionResult
}

/**
 * The key-value store by its published protocol. Every call may throw [ServiceUnavailableException] (certainly not
 * carried out) or [NoResponseException] (carried out or not, or later).
 */
interface KeyValueStore {
    suspend fun get(key: String): Entry?

    /**
     * As [get], for the questions of users. It gives way to all other requests: where these use up the rate, it is
     * refused at once with [ServiceUnavailableException], so that questions never delay reads of the records, leases
     * or writes.
     */
    suspend fun lookUp(key: String): Entry?

    suspend fun list(
        prefix: String,
        after: String?,
    ): Page

    /** Null where [after] is too old and the keys must be read again. */
    suspend fun changes(
        prefix: String,
        after: Long,
    ): Changes?

    suspend fun compareAndSwap(
        preconditions: List<Precondition>,
        writes: List<Write>,
    ): TransactionResult

    suspend fun openLease(ttl: Duration): StoreLease

    /** False once the hold has ended. */
    suspend fun renew(lease: StoreLease): Boolean

    suspend fun endLease(lease: StoreLease)
}

/** Keeps to a rate per second with bursts of one second's worth; urgent takers may go into debt. */
class RateLimiter(
    private var rate: Double,
    private val clock: Clock,
    private val lowered: Double = rate,
) {
    private var tokens = rate
    private var last = clock.now()

    /** What those who wait in [takeSpare] will take. */
    private var promised = 0

    /** Tokens that [takeSpare] may take though none is spare. */
    private var setAside = MOST_SET_ASIDE

    suspend fun take(
        amount: Int,
        urgent: Boolean,
    ) {
        refill()
        tokens -= amount
        if (tokens < 0 && !urgent) delay((-tokens / rate).seconds)
    }

    /**
     * Takes what leaves a reserve for other takers, who then do not wait for this one, or else of a small share that is
     * set aside, so that it is served under a lasting load of others too. False, at once, where either would take
     * longer than [patience].
     */
    suspend fun takeSpare(
        amount: Int,
        patience: Duration,
    ): Boolean {
        refill()
        val untilSpare = (promised + amount + rate * RESERVE - tokens) / rate
        val untilSetAside = (promised + amount - setAside) / (rate * SET_ASIDE)
        val time = minOf(untilSpare, untilSetAside).seconds
        if (time > patience) return false
        if (time > Duration.ZERO) {
            promised += amount
            delay(time)
            promised -= amount
            refill()
        }
        if (tokens - amount < rate * RESERVE) setAside -= amount
        tokens -= amount
        return true
    }

    /** The service allows no more than its later limit: it does not go back to the former. */
    fun lower() {
        if (lowered >= rate) return
        refill()
        rate = lowered
        tokens = minOf(tokens, rate)
    }

    /** How long until [amount] could be taken without waiting. */
    fun wait(amount: Int): Duration {
        refill()
        return if (tokens >= amount) Duration.ZERO else ((amount - tokens) / rate).seconds
    }

    fun available(): Int {
        refill()
        return tokens.toInt()
    }

    private fun refill() {
        val now = clock.now()
        val added = (now - last).toDouble(DurationUnit.SECONDS) * rate
        tokens = minOf(rate, tokens + added)
        setAside = minOf(MOST_SET_ASIDE, setAside + added * SET_ASIDE)
        last = now
    }

    private companion object {
        /** The part of a second's worth that is left to others by those who take only what is spare. */
        const val RESERVE = 0.3

        /** The part of the rate that they have even where nothing is spare, with hardly any burst. */
        const val SET_ASIDE = 0.25
        const val MOST_SET_ASIDE = 2.0
    }
}

class HttpKeyValueStore(
    private val http: HttpClient,
    private val requests: RateLimiter,
) : KeyValueStore {
    override suspend fun get(key: String): Entry? {
        requests.take(1, urgent = false)
        return fetch(key)
    }

    override suspend fun lookUp(key: String): Entry? {
        if (!requests.takeSpare(1, LOOK_UP_PATIENCE)) throw ServiceUnavailableException("too many questions for the state service")
        return fetch(key)
    }

    private suspend fun fetch(key: String): Entry? {
        val reply = send(HttpMethod.GET, "/keys/$key", null)
        return when (reply.status) {
            200 -> reply.fields().let { Entry(it.text("path"), it.raw()["data"], Version(it.long("stamp"))) }
            404 -> null
            else -> refused(reply)
        }
    }

    override suspend fun list(
        prefix: String,
        after: String?,
    ): Page {
        val from = if (after == null) "" else "&after=$after"
        val reply = call(HttpMethod.GET, "/keys?under=$prefix$from&page=$PAGE", null)
        if (reply.status != 200) refused(reply)
        val f = reply.fields()
        val entries = f.maps("entries").map { Entry(it.text("path"), it.raw()["data"], Version(it.long("stamp"))) }
        return Page(entries, f.flag("has_next"), f.long("epoch"))
    }

    override suspend fun changes(
        prefix: String,
        after: Long,
    ): Changes? {
        val reply = call(HttpMethod.GET, "/changes?under=$prefix&after=$after&hold_ms=0", null)
        if (reply.status == 410) return null
        if (reply.status != 200) refused(reply)
        val f = reply.fields()
        val changes =
            f.maps("events").map {
                val version = Version(it.long("stamp"))
                val put = it.textOrNull("set")
                if (put != null) Change.Put(put, it.raw()["data"], version) else Change.Drop(it.text("drop"), version)
            }
        return Changes(f.long("epoch"), changes)
    }

    override suspend fun compareAndSwap(
        preconditions: List<Precondition>,
        writes: List<Write>,
    ): TransactionResult {
        val body =
            mapOf(
                "guards" to preconditions.map { mapOf("path" to it.key, "stamp" to it.version.value) },
                "writes" to
                    writes.map {
                        when (it) {
                            is Write.Drop -> mapOf("drop" to it.key)
                            is Write.Put ->
                                buildMap<String, Any?> {
                                    put("set", it.key)
                                    put("data", it.data)
                                    it.lease?.let { lease -> put("hold", lease.id) }
                                }
                        }
                    },
            )
        val reply = call(HttpMethod.POST, "/txn", body)
        return when (reply.status) {
            200 -> TransactionResult.Applied(Version(reply.fields().long("epoch")))
            409 -> TransactionResult.PreconditionFailed(reply.fields().textsOrNull("failed") ?: emptyList())
            400 -> {
                if (reply.fields().textOrNull("error") == "no such lease") {
                    TransactionResult.LeaseExpired
                } else {
                    TransactionResult.Rejected("${reply.body}")
                }
            }
            else -> refused(reply)
        }
    }

    override suspend fun openLease(ttl: Duration): StoreLease {
        val reply = call(HttpMethod.POST, "/holds", mapOf("ttl_ms" to ttl.inWholeMilliseconds), urgent = true)
        if (reply.status != 200) refused(reply)
        return StoreLease(reply.fields().long("hold"))
    }

    override suspend fun renew(lease: StoreLease): Boolean {
        val reply = call(HttpMethod.POST, "/holds/${lease.id}/renew", emptyMap<String, Any?>(), urgent = true)
        return when (reply.status) {
            200 -> true
            404 -> false
            else -> refused(reply)
        }
    }

    override suspend fun endLease(lease: StoreLease) {
        val reply = call(HttpMethod.DELETE, "/holds/${lease.id}", null, urgent = true)
        if (reply.status != 200 && reply.status != 404) refused(reply)
    }

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
    ): Reply =
        try {
            http.call(method, path, body, TIMEOUT)
        } catch (e: MalformedMessageException) {
            throw NoResponseException("state service: ${e.message}")
        }

    private fun refused(reply: Reply): Nothing {
        val what = "state service answered ${reply.status} ${reply.body}"
        if (reply.status != 429) throw ServiceUnavailableException(what)
        requests.lower()
        throw RateLimitedException(what)
    }

    private companion object {
        const val PAGE = 500
        val TIMEOUT = 1000.milliseconds

        /** Users wait 2 s for an answer to a question. */
        val LOOK_UP_PATIENCE = 500.milliseconds
    }
}
