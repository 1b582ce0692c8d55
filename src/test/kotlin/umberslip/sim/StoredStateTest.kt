package umberslip.sim

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import umberslip.state.Change
import umberslip.state.Guard
import umberslip.state.Lease
import umberslip.state.TxnResult
import umberslip.state.Version
import umberslip.state.Write
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** The stand-in for the state service keeps to the protocol's words: one that is too kind would prove nothing. */
class StoredStateTest {
    private var now = Duration.ZERO
    private val state = StoredState(WorldSize(1, pageItems = 2, changesKept = 3)) { now }

    private fun put(
        key: String,
        lease: Lease? = null,
        guards: List<Guard> = emptyList(),
    ) = state.txn(guards, listOf(Write.Put(key, mapOf("a" to 1L), lease)))

    @Test
    fun `all conditions of a transaction hold, or nothing of it is carried out`() {
        put("a")
        val result =
            state.txn(
                listOf(Guard("a", Version.NONE), Guard("b", Version.NONE)),
                listOf(Write.Put("b", mapOf("x" to 1L)), Write.Drop("a")),
            )
        assertEquals(TxnResult.Refused(listOf("a")), result)
        assertNull(state.get("b"))
        assertEquals(Version(1), state.get("a")?.version)
    }

    @Test
    fun `every change in a transaction has the same revision`() {
        state.txn(emptyList(), listOf(Write.Put("a", mapOf("x" to 1L)), Write.Put("b", mapOf("x" to 1L))))
        assertEquals(state.get("a")?.version, state.get("b")?.version)
    }

    @Test
    fun `a lease that is not renewed takes its keys along, and nothing can be put under it`() {
        val lease = state.open(5.seconds)
        put("a", lease)
        now = 4.seconds
        assertTrue(state.renew(lease))
        now = 8.seconds
        state.expire()
        assertEquals(Version(1), state.get("a")?.version, "renewed in time")
        now = 10.seconds
        state.expire()
        assertNull(state.get("a"))
        assertEquals(TxnResult.NoLease, put("b", lease))
        assertEquals(false, state.renew(lease))
    }

    @Test
    fun `a put without a lease detaches the key`() {
        val lease = state.open(5.seconds)
        put("a", lease)
        put("a")
        state.end(lease.id)
        assertEquals(Version(2), state.get("a")?.version)
    }

    @Test
    fun `after an outage every lease has its full time again`() {
        val lease = state.open(5.seconds)
        put("a", lease)
        now = 4.seconds
        state.out = true
        now = 60.seconds
        state.expire()
        state.out = false
        now = 64.seconds
        state.expire()
        assertEquals(Version(1), state.get("a")?.version)
        now = 66.seconds
        state.expire()
        assertNull(state.get("a"))
    }

    @Test
    fun `changes come in order, and those that are too old are not to be had`() {
        put("a/1")
        put("b/1")
        put("a/2")
        state.txn(emptyList(), listOf(Write.Drop("a/1")))
        val changes = requireNotNull(state.changes("a/", 2))
        assertEquals(listOf("a/2", "a/1"), changes.changes.map { it.key })
        assertTrue(changes.changes.last() is Change.Drop)
        put("a/3")
        put("a/4")
        assertNull(state.changes("a/", 1))
    }

    @Test
    fun `keys are listed in order, page by page`() {
        listOf("a/3", "a/1", "b", "a/2").forEach { put(it) }
        val first = state.list("a/", null)
        assertEquals(listOf("a/1", "a/2") to true, first.entries.map { it.key } to first.more)
        val second = state.list("a/", first.entries.last().key)
        assertEquals(listOf("a/3") to false, second.entries.map { it.key } to second.more)
    }
}
