package umberslip.sim

import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import umberslip.http.NoResponseException
import umberslip.http.RateLimitedException
import umberslip.http.ServiceUnavailableException
import umberslip.store.Entry
import umberslip.store.KeyValueStore
import umberslip.store.Precondition
import umberslip.store.StoreLease
import umberslip.store.TransactionResult
import umberslip.store.Version
import umberslip.store.Write
import kotlin.time.Duration

/** The faults of the key-value store that tests switch on for all controllers. */
class StoreFaults {
    /** The share of transactions that get no response and are carried out 2 s to 12 s later, after newer ones. */
    var lateWrites = 0.0

    /** Once set, the key-value store enforces its announced lower write rate, without notice. */
    var limitsLowered = false
}

/**
 * A controller's connection to the key-value store. Requests and responses may be lost, and requests may be carried out
 * late.
 */
class SimulatedStoreLink(
    private val member: Int,
    private val simulation: Simulation,
    private val store: InMemoryKeyValueStore,
    private val faults: StoreFaults,
    private val writeBudget: WriteBudget,
    private val leader: () -> Int?,
) : KeyValueStore {
    /** The time until which this controller cannot reach the key-value store. */
    var cutUntil = Duration.ZERO

    /** The time until which this controller's reads are refused; its lease renewals and writes still get through. */
    var readsCutUntil = Duration.ZERO

    /** The number of transactions of this controller that count as [isLeaderWrite] and were answered as applied. */
    private var leaderWrites = 0
    private val random = simulation.random

    private suspend fun <T> call(
        mayBeLate: Boolean,
        execute: () -> T,
    ): T {
        delay(random.nextLong(1, 12))
        if (isUnreachable()) throw ServiceUnavailableException("key-value store unreachable")
        val draw = random.nextDouble()
        if (draw < simulation.faultRates.lossy) {
            delay(RESPONSE_TIMEOUT_MILLIS)
            throw NoResponseException("request to the key-value store lost")
        }
        if (mayBeLate && draw < simulation.faultRates.lossy + simulation.faultRates.late) {
            executeLate({ random.nextLong(500, 40_000) }) { execute() }
        }
        store.expire()
        val response = execute()
        if (draw > 1 - simulation.faultRates.lossy) {
            delay(RESPONSE_TIMEOUT_MILLIS)
            throw NoResponseException("response of the key-value store lost")
        }
        delay(random.nextLong(1, 6))
        return response
    }

    private fun isUnreachable(): Boolean = store.out || cutUntil > simulation.now()

    /**
     * Schedules the request to be carried out [afterMillis] from now, unless the store is unavailable then. The call
     * itself fails without a response.
     */
    private suspend fun executeLate(
        afterMillis: () -> Long,
        execute: () -> Unit,
    ): Nothing {
        simulation.scope.launch {
            delay(afterMillis())
            store.expire()
            if (!store.out) execute()
        }
        delay(RESPONSE_TIMEOUT_MILLIS)
        throw NoResponseException("no response from the key-value store; the request is carried out later")
    }

    private suspend fun <T> read(execute: () -> T): T {
        if (readsCutUntil > simulation.now()) throw ServiceUnavailableException("read refused by the key-value store")
        return call(false, execute)
    }

    override suspend fun get(key: String): Entry? {
        ProtocolLimits.keyViolation(key)?.let { simulation.violated("the key-value store refused $it") }
        return read { store.get(key) }
    }

    override suspend fun getLowPriority(key: String) = get(key)

    override suspend fun list(
        prefix: String,
        after: String?,
    ) = read { store.list(prefix, after) }

    override suspend fun changes(
        prefix: String,
        after: Long,
    ) = read { store.changes(prefix, after) }

    override suspend fun compareAndSwap(
        preconditions: List<Precondition>,
        writes: List<Write>,
    ): TransactionResult {
        // Controllers must keep to the lower of the present and the announced size limits from the start.
        ProtocolLimits.transactionViolation(preconditions, writes, simulation.settings[member].storeLimits)?.let {
            simulation.violated("the key-value store refused $it: ${writes.map { write -> write.key }}")
            return TransactionResult.Rejected(it)
        }
        if (faults.limitsLowered && !writeBudget.take(member, writes.size)) throw RateLimitedException("answered 429")
        if (faults.lateWrites > 0 && !isUnreachable() && random.nextDouble() < faults.lateWrites) {
            val leaderWritesBefore = leaderWrites
            executeLate({ random.nextLong(2000, 12_000) }) { applyLate(preconditions, writes, leaderWritesBefore) }
        }
        return call(true) { apply(preconditions, writes) }.also {
            if (it is TransactionResult.Applied && isLeaderWrite(preconditions, writes)) leaderWrites++
        }
    }

    /**
     * Applies a transaction late. If a newer leader write of this controller was applied in the meantime, the late one
     * must fail its preconditions: the decisions made since do not take it into account. Writes of the record of
     * booting machines are exempt, since that record is only a hint.
     */
    private fun applyLate(
        preconditions: List<Precondition>,
        writes: List<Write>,
        leaderWritesBefore: Int,
    ) {
        val result = apply(preconditions, writes)
        val isLateLeaderWrite = result is TransactionResult.Applied && isLeaderWrite(preconditions, writes)
        if (isLateLeaderWrite && leaderWrites > leaderWritesBefore) {
            simulation.violated("a late write of c-$member was applied after newer ones: ${writes.map { it.key }}")
        }
    }

    /**
     * Applies a transaction. One that writes to [LEADER_ONLY_KEYS] may only succeed while the leader's record names
     * this controller.
     */
    private fun apply(
        preconditions: List<Precondition>,
        writes: List<Write>,
    ): TransactionResult {
        val leader = leader()
        val result = store.compareAndSwap(preconditions, writes)
        val leaderOnlyWrites = writes.filter { write -> LEADER_ONLY_KEYS.any { write.key.startsWith(it) } }
        if (result is TransactionResult.Applied && leaderOnlyWrites.isNotEmpty() && leader != member) {
            val leaderName = leader?.let { "c-$it" } ?: "nobody"
            simulation.violated("c-$member writes ${leaderOnlyWrites.map { it.key }} while $leaderName leads")
        }
        return result
    }

    /**
     * Returns whether the transaction depends on the version of the leader's record and does not write the record of
     * booting machines.
     */
    private fun isLeaderWrite(
        preconditions: List<Precondition>,
        writes: List<Write>,
    ): Boolean =
        preconditions.any { it.key == LEADER_KEY && it.version != Version.NONE } &&
            writes.none { it.key == BOOTING_MACHINES_KEY }

    override suspend fun openLease(ttl: Duration) = call(false) { store.open(ttl) }

    override suspend fun renew(lease: StoreLease) = call(true) { store.renew(lease) }

    override suspend fun endLease(lease: StoreLease) = call(true) { store.end(lease.id) }

    private companion object {
        const val RESPONSE_TIMEOUT_MILLIS = 1000L
        const val LEADER_KEY = "u/owner"
        const val BOOTING_MACHINES_KEY = "u/fleet"

        /** The keys that only the leader writes. */
        val LEADER_ONLY_KEYS = listOf("u/log/", "u/run/", "u/condemned", BOOTING_MACHINES_KEY)
    }
}

/**
 * A token bucket for the writes that the key-value store's lowered rate limit allows to all controllers together, with
 * bursts of up to one second's worth.
 */
class WriteBudget(
    private val simulation: Simulation,
) {
    private var tokens = 0.0
    private var lastRefill = Duration.ZERO

    /** Takes tokens for the [writes]. Returns false, and takes none, if they exceed the limit. */
    fun take(
        member: Int,
        writes: Int,
    ): Boolean {
        val rate = simulation.settings[member].storeLimits.nextWriteRps
        val elapsedSeconds = (simulation.now() - lastRefill).inWholeMilliseconds / MILLIS_PER_SECOND
        tokens = minOf(rate, tokens + elapsedSeconds * rate)
        lastRefill = simulation.now()
        if (writes > tokens) return false
        tokens -= writes
        return true
    }

    private companion object {
        const val MILLIS_PER_SECOND = 1000.0
    }
}
