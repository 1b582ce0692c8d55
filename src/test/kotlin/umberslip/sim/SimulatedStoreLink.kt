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

/** The faults of the way to the key-value store that tests switch on for all controllers. */
class StoreFaults {
    /** That share of transactions gets no response and is carried out 2 to 12 s later, after newer ones. */
    var lateWrites = 0.0

    /** From then on the store keeps to its lower limits, without notice. */
    var lowered = false
}

/** A controller's way to the key-value store: requests and responses are lost, or carried out late. */
class SimulatedStoreLink(
    private val member: Int,
    private val simulation: Simulation,
    private val store: InMemoryKeyValueStore,
    private val faults: StoreFaults,
    private val writeBudget: WriteBudget,
    private val leader: () -> Int?,
) : KeyValueStore {
    /** Until when this controller does not get through. */
    var cutUntil = Duration.ZERO

    /** Until when reads of this controller are refused, while its renewals and writes come through. */
    var readsCutUntil = Duration.ZERO

    /** How many of its writes as the leader were answered. */
    private var leaderWrites = 0
    private val random = simulation.random

    private suspend fun <T> call(
        mayBeLate: Boolean,
        execute: () -> T,
    ): T {
        delay(random.nextLong(1, 12))
        if (isAway()) throw ServiceUnavailableException("out")
        val luck = random.nextDouble()
        if (luck < simulation.faultRates.lossy) {
            delay(RESPONSE_TIMEOUT_MILLIS)
            throw NoResponseException("lost")
        }
        if (mayBeLate && luck < simulation.faultRates.lossy + simulation.faultRates.late) {
            executeLate({ random.nextLong(500, 40_000) }) { execute() }
        }
        store.expire()
        val answer = execute()
        if (luck > 1 - simulation.faultRates.lossy) {
            delay(RESPONSE_TIMEOUT_MILLIS)
            throw NoResponseException("answer lost")
        }
        delay(random.nextLong(1, 6))
        return answer
    }

    private fun isAway(): Boolean = store.out || cutUntil > simulation.now()

    /** The caller gets no response, and the request is carried out long after. */
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
        throw NoResponseException("late")
    }

    private suspend fun <T> read(execute: () -> T): T {
        if (readsCutUntil > simulation.now()) throw ServiceUnavailableException("reads are refused")
        return call(false, execute)
    }

    override suspend fun get(key: String): Entry? {
        ProtocolLimits.key(key)?.let { simulation.violated("the key-value store refused $it") }
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
        // Sizes keep within the smaller of the limits now and later, from the start.
        ProtocolLimits.transaction(preconditions, writes, simulation.settings[member].storeLimits)?.let {
            simulation.violated("the key-value store refused $it: ${writes.map { write -> write.key }}")
            return TransactionResult.Rejected(it)
        }
        if (faults.lowered && !writeBudget.take(member, writes.size)) throw RateLimitedException("429")
        if (faults.lateWrites > 0 && !isAway() && random.nextDouble() < faults.lateWrites) {
            val before = leaderWrites
            executeLate({ random.nextLong(2000, 12_000) }) { applyLate(preconditions, writes, before) }
        }
        return call(true) { apply(preconditions, writes) }.also {
            if (it is TransactionResult.Applied && isLeaderWrite(preconditions, writes)) leaderWrites++
        }
    }

    /** Whatever was decided since then did not know of it. The record of booting machines is a hint. */
    private fun applyLate(
        preconditions: List<Precondition>,
        writes: List<Write>,
        leaderWritesBefore: Int,
    ) {
        val result = apply(preconditions, writes)
        val isLeaders = result is TransactionResult.Applied && isLeaderWrite(preconditions, writes)
        if (isLeaders && leaderWrites > leaderWritesBefore) {
            simulation.violated("a late write of c-$member came through after newer ones: ${writes.map { it.key }}")
        }
    }

    /** What only a leader writes comes through only while the record names it. */
    private fun apply(
        preconditions: List<Precondition>,
        writes: List<Write>,
    ): TransactionResult {
        val leader = leader()
        val result = store.compareAndSwap(preconditions, writes)
        val leadersOnly = writes.filter { write -> LEADERS_KEYS.any { write.key.startsWith(it) } }
        if (result is TransactionResult.Applied && leadersOnly.isNotEmpty() && leader != member) {
            val named = leader?.let { "c-$it" } ?: "nobody"
            simulation.violated("c-$member writes ${leadersOnly.map { it.key }} while $named leads")
        }
        return result
    }

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
        val LEADERS_KEYS = listOf("u/log/", "u/run/", "u/condemned", BOOTING_MACHINES_KEY)
    }
}

/** The writes that the store's lowered rate limit allows all controllers together, with one second's worth of burst. */
class WriteBudget(
    private val simulation: Simulation,
) {
    private var available = 0.0
    private var refilledAt = Duration.ZERO

    /** False where the limit is exceeded. */
    fun take(
        member: Int,
        writes: Int,
    ): Boolean {
        val rate = simulation.settings[member].storeLimits.nextWriteRps
        val passedSeconds = (simulation.now() - refilledAt).inWholeMilliseconds / MILLIS_PER_SECOND
        available = minOf(rate, available + passedSeconds * rate)
        refilledAt = simulation.now()
        if (writes > available) return false
        available -= writes
        return true
    }

    private companion object {
        const val MILLIS_PER_SECOND = 1000.0
    }
}
