package umberslip.sim

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import umberslip.store.Change
import umberslip.store.Precondition
import umberslip.store.StoreLease
import umberslip.store.TransactionResult
import umberslip.store.Version
import umberslip.store.Write
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Checks that the in-memory key-value store follows the published protocol. If it were more lenient, the tests that use
 * it would prove nothing.
 */
class InMemoryKeyValueStoreTest {
    private var now = Duration.ZERO
    private val store = InMemoryKeyValueStore(ClusterSize(1, pageItems = 2, changesKept = 3)) { now }

    private fun put(
        key: String,
        lease: StoreLease? = null,
        preconditions: List<Precondition> = emptyList(),
    ) = store.compareAndSwap(preconditions, listOf(Write.Put(key, mapOf("a" to 1L), lease)))

    @Test
    fun `a transaction is applied as a whole if all its preconditions hold, and not at all otherwise`() {
        put("a")
        val result =
            store.compareAndSwap(
                listOf(Precondition("a", Version.NONE), Precondition("b", Version.NONE)),
                listOf(Write.Put("b", mapOf("x" to 1L)), Write.Delete("a")),
            )
        assertEquals(TransactionResult.PreconditionFailed(listOf("a")), result)
        assertNull(store.get("b"))
        assertEquals(Version(1), store.get("a")?.version)
    }

    @Test
    fun `every change in a transaction has the same revision`() {
        store.compareAndSwap(emptyList(), listOf(Write.Put("a", mapOf("x" to 1L)), Write.Put("b", mapOf("x" to 1L))))
        assertEquals(store.get("a")?.version, store.get("b")?.version)
    }

    @Test
    fun `keys are deleted when their lease expires, and no key can be bound to an expired lease`() {
        val lease = store.open(5.seconds)
        put("a", lease)
        now = 4.seconds
        assertTrue(store.renew(lease))
        now = 8.seconds
        store.expire()
        assertEquals(Version(1), store.get("a")?.version, "the lease was renewed in time")
        now = 10.seconds
        store.expire()
        assertNull(store.get("a"))
        assertEquals(TransactionResult.LeaseExpired, put("b", lease))
        assertEquals(false, store.renew(lease))
    }

    @Test
    fun `a put without a lease unbinds the key from its lease`() {
        val lease = store.open(5.seconds)
        put("a", lease)
        put("a")
        store.end(lease.id)
        assertEquals(Version(2), store.get("a")?.version)
    }

    @Test
    fun `every lease lasts for its full time again after an outage`() {
        val lease = store.open(5.seconds)
        put("a", lease)
        now = 4.seconds
        store.out = true
        now = 60.seconds
        store.expire()
        store.out = false
        now = 64.seconds
        store.expire()
        assertEquals(Version(1), store.get("a")?.version)
        now = 66.seconds
        store.expire()
        assertNull(store.get("a"))
    }

    @Test
    fun `changes are listed in order, and none are listed after a revision that is too old`() {
        put("a/1")
        put("b/1")
        put("a/2")
        store.compareAndSwap(emptyList(), listOf(Write.Delete("a/1")))
        val changes = requireNotNull(store.changes("a/", 2))
        assertEquals(listOf("a/2", "a/1"), changes.changes.map { it.key })
        assertTrue(changes.changes.last() is Change.Delete)
        put("a/3")
        put("a/4")
        assertNull(store.changes("a/", 1))
    }

    @Test
    fun `keys are listed in order, page by page`() {
        listOf("a/3", "a/1", "b", "a/2").forEach { put(it) }
        val first = store.list("a/", null)
        assertEquals(listOf("a/1", "a/2") to true, first.entries.map { it.key } to first.hasMore)
        val second = store.list("a/", first.entries.last().key)
        assertEquals(listOf("a/3") to false, second.entries.map { it.key } to second.hasMore)
    }
}
