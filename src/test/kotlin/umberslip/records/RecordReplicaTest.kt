package umberslip.records

import io.kotest.property.Arb
import io.kotest.property.arbitrary.long
import io.kotest.property.checkAll
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test
import umberslip.core.MachineName
import umberslip.core.Term
import umberslip.sim.Fixtures
import umberslip.store.Change
import umberslip.store.Entry
import umberslip.store.StoreLease
import umberslip.store.Version
import java.time.Instant
import kotlin.random.Random

class RecordReplicaTest {
    private fun put(
        replica: RecordReplica,
        key: String,
        record: Map<String, Any?>,
        version: Long,
    ) = replica.apply(Change.Put(key, readBack(record), Version(version)))

    @Test
    fun `the replica holds the newest versions, whichever changes are repeated`() =
        runBlocking<Unit> {
            val specs = List(4) { Fixtures.job(Random(it), it) }
            checkAll(propertyTestConfig, Arb.long()) { seed ->
                val random = Random(seed)
                val latest = HashMap<String, Change>()
                val allChanges = ArrayList<Change>()
                for (version in 1L..40L) {
                    val spec = specs[random.nextInt(specs.size)]
                    val key = Keys.job(spec.id)
                    val change =
                        if (latest[key] is Change.Put && random.nextInt(3) == 0) {
                            Change.Delete(key, Version(version))
                        } else {
                            Change.Put(
                                key,
                                readBack(JobRecord(spec, Instant.EPOCH, random.nextBoolean()).toMap()),
                                Version(version),
                            )
                        }
                    latest[key] = change
                    allChanges += change
                }
                val replica = RecordReplica()
                // Each change is applied once in order; earlier deletions are repeated in between.
                allChanges.forEachIndexed { i, change ->
                    replica.apply(change)
                    val old = allChanges[random.nextInt(i + 1)]
                    if (old is Change.Delete) replica.apply(old)
                }
                val newest =
                    latest.values
                        .filterIsInstance<Change.Put>()
                        .map { it.version }
                        .toSet()
                assertEquals(
                    newest,
                    replica
                        .jobs()
                        .values
                        .map { it.version }
                        .toSet(),
                )
                // A complete read gives the same result.
                val reread = RecordReplica()
                reread.apply(allChanges.first())
                reread.replace(latest.values.filterIsInstance<Change.Put>().map { Entry(it.key, it.data, it.version) })
                assertEquals(
                    newest,
                    reread
                        .jobs()
                        .values
                        .map { it.version }
                        .toSet(),
                )
            }
        }

    @Test
    fun `progress counts a task once however many log entries repeat its start`() {
        val spec = Fixtures.job(Random(3), 3).copy(tasks = 5)
        val replica = RecordReplica()
        put(replica, Keys.job(spec.id), JobRecord(spec, Instant.EPOCH, false).toMap(), 1)

        fun log(
            slot: Int,
            seq: Long,
            row: LogRow,
        ) = put(replica, Keys.log(slot), LogRecord(seq, mapOf(spec.id to row)).toMap(), seq)
        val first = Placement(0, 1, MachineName("a"))
        val second = Placement(1, 2, MachineName("a"))
        log(7, 10, LogRow(listOf(first, second), emptyList()))
        assertEquals(Progress(0, 2), replica.progress(spec.id))
        log(3, 11, LogRow(listOf(first), listOf(LoggedExit(1, 2, true))))
        assertEquals(Progress(1, 1), replica.progress(spec.id))
        val third = Placement(2, 3, MachineName("b"))
        log(4, 12, LogRow(listOf(third), listOf(LoggedExit(1, 0, true), LoggedExit(0, 1, false))))
        assertEquals(Progress(1, 1), replica.progress(spec.id))
    }

    @Test
    fun `a malformed record is not used and the other records are read`() {
        val spec = Fixtures.job(Random(3), 3)
        val replica = RecordReplica()
        put(replica, "u/job/run-000001", mapOf("spec" to 5L), 1)
        put(replica, Keys.job(spec.id), JobRecord(spec, Instant.EPOCH, false).toMap(), 2)
        put(replica, Keys.LEADER, LeaderRecord("c-1", Term(4), StoreLease(9)).toMap(), 3)
        assertEquals(setOf(spec.id), replica.jobs().keys)
        assertEquals(LeaderRecord("c-1", Term(4), StoreLease(9)), replica.leader?.value)
    }
}
