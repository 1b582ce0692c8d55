package umberslip.agents

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Assertions.assertThrows
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import umberslip.cloud.HostName
import umberslip.http.Documents
import umberslip.http.Malformed
import umberslip.records.HostsRecord
import umberslip.records.JobRecord
import umberslip.records.Keys
import umberslip.records.OwnerRecord
import umberslip.records.Replica
import umberslip.records.TaskId
import umberslip.records.Term
import umberslip.sim.Samples
import umberslip.state.Change
import umberslip.state.Lease
import umberslip.state.Version
import java.time.Instant
import kotlin.random.Random

class RelayTest {
    private val replica = Replica()
    private val spec = Samples.job(Random(1), 1)
    private val running = ReportedTask(TaskId(spec.id, 0), 7, TaskState.RUNNING, null, false)

    private fun put(
        key: String,
        data: Map<String, Any?>,
        version: Long,
    ) {
        replica.apply(Change.Put(key, Documents.readCbor(Documents.writeCbor(data)), Version(version)))
    }

    private fun answer(token: Long = 4) =
        Relay.answer(
            Report(HostName("m"), "small", "east", false, Mark(1, 1), Term(token), null, listOf(running)),
            replica,
        )

    @Test
    fun `a report is answered with the owner's term while the records allow it`() {
        assertNull(answer(), "nobody owns")
        put(Keys.OWNER, OwnerRecord("c-1", Term(4), Lease(1)).toMap(), 1)
        put(Keys.job(spec.id), JobRecord(spec, Instant.EPOCH, false).toMap(), 2)
        assertEquals(4L to emptyList<Order>(), answer())
        assertEquals(4L to emptyList<Order>(), answer(token = 3))
        assertNull(answer(token = 5), "the worker has seen a higher term")
        put(Keys.job(spec.id), JobRecord(spec, Instant.EPOCH, true).toMap(), 3)
        assertEquals(4L to listOf(Order.Stop(running.task, 7, 0.0)), answer(), "a cancellation bites here too")
        put(Keys.CONDEMNED, HostsRecord(setOf(HostName("m"))).toMap(), 4)
        assertNull(answer())
        put(Keys.CONDEMNED, HostsRecord(emptySet()).toMap(), 5)
        assertEquals(4L, answer()?.first)
    }

    @Test
    fun `late copies count for nothing, and only two reports in a row are a sign of life`() {
        val relay = Relay(connections = 100)

        fun report(
            session: Long,
            counter: Long,
        ) = Report(HostName("m"), "small", "east", false, Mark(session, counter), Term(4), null, emptyList())
        assertTrue(relay.isNew(report(1, 7)))
        assertFalse(relay.isNew(report(1, 7)))
        assertFalse(relay.isNew(report(1, 3)))
        assertTrue(relay.isNew(report(1, 9)))
        assertEquals(emptySet<HostName>(), relay.takeHeard(100), "no answer arrived")
        assertTrue(relay.isNew(report(1, 10)))
        assertEquals(setOf(HostName("m")), relay.takeHeard(100))
        assertEquals(emptySet<HostName>(), relay.takeHeard(100))
        assertTrue(relay.isNew(report(2, 1)))
        assertFalse(relay.isNew(report(1, 11)))
    }

    @Test
    fun `malformed reports are refused`() {
        val good =
            mapOf(
                "host" to "m",
                "hosttype" to "t",
                "hall" to "z",
                "shift" to 1L,
                "counter" to 1L,
                "warrant" to 0L,
                "pieces" to emptyList<Any>(),
            )
        assertEquals(HostName("m"), Report.parse(Documents.writeCbor(good)).host)
        for (
        bad in listOf(
            "host" to "",
            "host" to null,
            "shift" to "1",
            "pieces" to listOf(mapOf("piece" to "x")),
            "pieces" to 3L,
            "warrant" to 1.5,
        )
        ) {
            assertThrows(Malformed::class.java, { Report.parse(Documents.writeCbor(good + bad)) }, "$bad")
        }
    }
}
