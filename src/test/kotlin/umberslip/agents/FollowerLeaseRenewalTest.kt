package umberslip.agents

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Assertions.assertThrows
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import umberslip.core.MachineName
import umberslip.core.TaskId
import umberslip.core.Term
import umberslip.http.Documents
import umberslip.http.MalformedMessageException
import umberslip.records.JobRecord
import umberslip.records.Keys
import umberslip.records.LeaderRecord
import umberslip.records.MachineSetRecord
import umberslip.records.RecordReplica
import umberslip.sim.Fixtures
import umberslip.store.Change
import umberslip.store.StoreLease
import umberslip.store.Version
import java.time.Instant
import kotlin.random.Random

class FollowerLeaseRenewalTest {
    private val replica = RecordReplica()
    private val spec = Fixtures.job(Random(1), 1)
    private val running = ReportedTask(TaskId(spec.id, 0), 7, TaskState.RUNNING, null, false)

    private fun put(
        key: String,
        data: Map<String, Any?>,
        version: Long,
    ) {
        replica.apply(Change.Put(key, Documents.readCbor(Documents.writeCbor(data)), Version(version)))
    }

    private fun answer(fencingToken: Long = 4) =
        FollowerLeaseRenewal.answer(
            heartbeat(HeartbeatVersion(1, 1), fencingToken, listOf(running)),
            replica,
        )

    private fun heartbeat(
        version: HeartbeatVersion,
        fencingToken: Long = 4,
        tasks: List<ReportedTask> = emptyList(),
    ) = Heartbeat(MachineName("m"), "small", "east", false, version, Term(fencingToken), null, tasks)

    @Test
    fun `a heartbeat is answered with the leader's term as long as the records permit it`() {
        assertNull(answer(), "there is no leader's record")
        put(Keys.LEADER, LeaderRecord("c-1", Term(4), StoreLease(1)).toMap(), 1)
        put(Keys.job(spec.id), JobRecord(spec, Instant.EPOCH, false).toMap(), 2)
        assertEquals(HeartbeatResponse(Term(4), emptyList()), answer())
        assertEquals(HeartbeatResponse(Term(4), emptyList()), answer(fencingToken = 3))
        assertNull(answer(fencingToken = 5), "the worker has seen a higher term")
        put(Keys.job(spec.id), JobRecord(spec, Instant.EPOCH, true).toMap(), 3)
        val stop = WorkerCommand.Stop(running.task, 7, 0.0)
        assertEquals(HeartbeatResponse(Term(4), listOf(stop)), answer(), "the task of a cancelled job is stopped")
        put(Keys.REVOKED_RENEWALS, MachineSetRecord(setOf(MachineName("m"))).toMap(), 4)
        assertNull(answer())
        put(Keys.REVOKED_RENEWALS, MachineSetRecord(emptySet()).toMap(), 5)
        assertEquals(Term(4), answer()?.term)
    }

    @Test
    fun `late copies are rejected, and only two consecutive heartbeats count as a renewed lease`() {
        val renewal = FollowerLeaseRenewal(maxConnections = 100)

        fun heartbeat(
            agentEpoch: Long,
            sequenceNumber: Long,
        ) = heartbeat(HeartbeatVersion(agentEpoch, sequenceNumber))
        assertTrue(renewal.acceptIfNew(heartbeat(1, 7)))
        assertFalse(renewal.acceptIfNew(heartbeat(1, 7)))
        assertFalse(renewal.acceptIfNew(heartbeat(1, 3)))
        assertTrue(renewal.acceptIfNew(heartbeat(1, 9)))
        assertEquals(emptySet<MachineName>(), renewal.takeRenewed(100), "the worker has not received a response")
        assertTrue(renewal.acceptIfNew(heartbeat(1, 10)))
        assertEquals(setOf(MachineName("m")), renewal.takeRenewed(100))
        assertEquals(emptySet<MachineName>(), renewal.takeRenewed(100))
        assertTrue(renewal.acceptIfNew(heartbeat(2, 1)))
        assertFalse(renewal.acceptIfNew(heartbeat(1, 11)))
    }

    @Test
    fun `malformed heartbeats are rejected`() {
        val validFields =
            mapOf(
                "host" to "m",
                "hosttype" to "t",
                "hall" to "z",
                "shift" to 1L,
                "counter" to 1L,
                "warrant" to 0L,
                "pieces" to emptyList<Any>(),
            )
        assertEquals(MachineName("m"), HeartbeatCodec.parse(Documents.writeCbor(validFields)).machineName)
        val invalidFields =
            listOf(
                "host" to "",
                "host" to null,
                "shift" to "1",
                "pieces" to listOf(mapOf("piece" to "x")),
                "pieces" to 3L,
                "warrant" to 1.5,
            )
        for (invalid in invalidFields) {
            val body = Documents.writeCbor(validFields + invalid)
            assertThrows(MalformedMessageException::class.java, { HeartbeatCodec.parse(body) }, "$invalid")
        }
    }
}
