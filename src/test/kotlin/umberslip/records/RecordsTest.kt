package umberslip.records

import io.kotest.property.Arb
import io.kotest.property.PropTestConfig
import io.kotest.property.arbitrary.int
import io.kotest.property.arbitrary.long
import io.kotest.property.arbitrary.string
import io.kotest.property.checkAll
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertNotNull
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Assertions.assertThrows
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import umberslip.core.JobId
import umberslip.core.MachineName
import umberslip.core.TaskId
import umberslip.core.Term
import umberslip.http.Documents
import umberslip.http.Fields
import umberslip.http.MalformedMessageException
import umberslip.sim.Fixtures
import umberslip.store.Change
import umberslip.store.Entry
import umberslip.store.StoreLease
import umberslip.store.Version
import java.math.BigInteger
import java.time.Instant
import java.util.BitSet
import kotlin.random.Random

class RecordsTest {
    private val fixed = PropTestConfig(seed = 99, iterations = 200)

    private fun wire(map: Map<String, Any?>): Any? = Documents.readCbor(Documents.writeCbor(map))

    private fun placements(
        random: Random,
        from: Int,
        count: Int,
    ) = List(count) {
        Placement(
            from + it,
            random.nextLong(1, 1L shl 40),
            MachineName("host-%06d".format(random.nextInt(1_000_000))),
        )
    }

    @Test
    fun `jobs and their specs are read back as written`() =
        runBlocking<Unit> {
            checkAll(fixed, Arb.long()) { seed ->
                val spec = Fixtures.job(Random(seed), 7)
                assertEquals(spec, JobSpecCodec.parse(Fields.of(wire(spec.toMap()))))
                val job = JobRecord(spec, Instant.ofEpochMilli(seed and 0xffffff), seed % 2 == 0L)
                assertEquals(job, JobRecord.parse(wire(job.toMap())))
            }
        }

    /** The fields of records as the version in production writes them, made by hand from its format. */
    private val production =
        mapOf(
            "spec" to
                setOf(
                    "uid",
                    "jobclass",
                    "owner",
                    "shape",
                    "urgency",
                    "pieces",
                    "vcpus",
                    "accelerators",
                    "memory_gb",
                    "bundle",
                    "image_gb",
                    "hosttypes",
                    "hall",
                    "one_zone",
                    "spread",
                    "reclaimable",
                    "expected_s",
                    "savepoint_s",
                    "saving_s",
                    "due_s",
                ),
            "job" to setOf("spec", "submitted_ms", "cancelled"),
            "chunk" to setOf("seq", "done", "placed", "last"),
            "log" to setOf("seq", "rows"),
            "owner" to setOf("member", "term", "hold"),
            "end" to setOf("status", "pieces"),
            "hosts" to setOf("hosts"),
        )

    @Test
    fun `records of the version in production are read, and those without awaits are written as it reads them`() {
        val spec = Fixtures.job(Random(4), 4)
        val job = JobRecord(spec, Instant.ofEpochMilli(7), false)
        val block =
            ProgressRecord(
                BitSet().apply {
                    set(0)
                    set(9)
                },
                listOf(Placement(3, 2, MachineName("h-1"))),
                2,
                77,
            )
        val log =
            LogRecord(
                78,
                mapOf(
                    spec.id to
                        LogRow(
                            listOf(Placement(4, 3, MachineName("h-2"))),
                            listOf(LoggedExit(3, 2, true), LoggedExit(5, 1, false)),
                        ),
                ),
            )
        val written =
            mapOf(
                "spec" to spec.toMap(),
                "job" to job.toMap(),
                "chunk" to block.toMap(),
                "log" to log.toMap(),
                "owner" to LeaderRecord("c-1", Term(4), StoreLease(9)).toMap(),
                "end" to OutcomeRecord(JobOutcome.DONE, 3).toMap(),
                "hosts" to MachineSetRecord(setOf(MachineName("h-1"))).toMap(),
            )
        for ((kind, fields) in production) assertEquals(fields, written.getValue(kind).keys, kind)
        val old = mapOf("seq" to 77L, "done" to "0102", "placed" to listOf(listOf(3L, 2L, "h-1")), "last" to 2L)
        assertEquals(block, ProgressRecord.parse(wire(old)))
        assertEquals(wire(old), wire(block.toMap()))
        val oldLog =
            mapOf(
                "seq" to 78L,
                "rows" to listOf(listOf(spec.id.value, listOf(4L, 3L, "h-2"), listOf(3L, 2L), listOf(5L, 1L))),
            )
        assertEquals(log, LogRecord.parse(wire(oldLog)))
        assertEquals(wire(oldLog), wire(log.toMap()))
        assertEquals(OutcomeRecord(JobOutcome.CANCELLED, 3), OutcomeRecord.parse(mapOf("status" to "aborted", "pieces" to 3L)))
        assertEquals(emptyList<JobId>(), JobSpecCodec.parse(Fields.of(wire(spec.toMap()))).dependencies)
        // A job that awaits others has one field more, which the version in production leaves alone.
        val awaiting = spec.copy(dependencies = listOf(JobId("run-1"), JobId("run-2")))
        assertEquals(setOf("awaits"), awaiting.toMap().keys - production.getValue("spec"))
        assertEquals(awaiting, JobSpecCodec.parse(Fields.of(wire(awaiting.toMap()))))
        assertEquals(spec, JobSpecCodec.parse(Fields.of(wire(awaiting.toMap() - "awaits"))))
    }

    @Test
    fun `of a fleet's machines as many are named as fit into a value`() {
        for (bytes in listOf(2048, 8192, 32768)) {
            val all = List(3000) { MachineName("host-%06d".format(it)) }
            val named = MachineSetRecord.fitting(all, bytes)
            assertEquals(all.take(named.size), named.toList())
            assertTrue(Documents.jsonSize(MachineSetRecord(named).toMap()) in bytes - 50..bytes)
        }
    }

    @Test
    fun `a progress block of any progress is read back and fits into a value`() =
        runBlocking<Unit> {
            for (bytes in listOf(2048, 8192, 32768)) {
                val size = ProgressRecord.tasksPerBlock(bytes)
                checkAll(fixed.copy(iterations = 30), Arb.long()) { seed ->
                    val random = Random(seed)
                    val done = BitSet().apply { repeat(size) { if (random.nextBoolean()) set(it) } }
                    val base = 90_000
                    val record =
                        ProgressRecord(
                            done,
                            placements(random, base, size).filter { !done.get(it.index - base) },
                            1L shl 40,
                            5L shl 32,
                        )
                    assertEquals(record, ProgressRecord.parse(wire(record.toMap())))
                    assertTrue(Documents.jsonSize(record.toMap()) <= bytes)
                    assertTrue(Documents.jsonSize(record.toMap()) <= record.bytes, "its size is never underestimated")
                }
            }
        }

    @Test
    fun `log entries are read back, and their size is never underestimated`() =
        runBlocking<Unit> {
            checkAll(fixed, Arb.long(), Arb.int(1..6)) { seed, jobs ->
                val random = Random(seed)

                // Those that are done stand first.
                fun ends() =
                    List(random.nextInt(0, 9)) {
                        LoggedExit(random.nextInt(1000), random.nextLong(1, 40), random.nextBoolean())
                    }.sortedBy { !it.done }
                val record =
                    LogRecord(
                        seed,
                        (1..jobs).associate {
                            JobId("run-%06d".format(it)) to LogRow(placements(random, 0, random.nextInt(1, 20)), ends())
                        },
                    )
                assertEquals(record, LogRecord.parse(wire(record.toMap())))
                val estimate =
                    LogRecord.FIXED_BYTES +
                        record.rows.entries.sumOf { (job, row) ->
                            LogRecord.bytes(job) + row.starts.sumOf(LogRecord::bytes) + row.ends.sumOf(LogRecord::bytes)
                        }
                assertTrue(Documents.jsonSize(record.toMap()) <= estimate)
            }
        }

    @Test
    fun `ids are what the keys can hold`() =
        runBlocking<Unit> {
            checkAll(fixed, Arb.string(0, 20)) { text ->
                val id = JobId.parse(text)
                if (id != null) {
                    assertEquals(id, Keys.asJob(Keys.job(id)))
                    assertEquals(ProgressKey(id, 3), Keys.asProgress(Keys.progress(id, 3)))
                    assertEquals(TaskId(id, 12), TaskId.parse(TaskId(id, 12).toString()))
                }
            }
            assertNotNull(JobId.parse("run-000412"))
            listOf("", "a b", "a/b", "-a", "a?", "ä").forEach { assertNull(JobId.parse(it), it) }
            listOf("run-1", "run-1/", "run-1/-1", "run-1/x", "/1").forEach { assertNull(TaskId.parse(it), it) }
        }

    @Test
    fun `a malformed job is refused`() {
        // As it comes over the wire: the map itself has numbers of kinds that are never read, and would be refused for
        // those alone.
        val good = Fixtures.job(Random(1), 1).toMap()

        fun parse(map: Map<String, Any?>) = JobSpecCodec.parse(Fields.of(wire(map)))
        parse(good)
        for (
        (field, bad) in listOf(
            "uid" to "a b",
            "uid" to 5L,
            "pieces" to 0L,
            "pieces" to 100_001L,
            "pieces" to 2.5,
            "vcpus" to -1.0,
            "shape" to "round",
            "urgency" to null,
            "hosttypes" to "g8",
            "due_s" to "soon",
            "due_s" to -1.0,
            "expected_s" to Double.NaN,
            "expected_s" to 1e300,
            "image_gb" to BigInteger.TEN.pow(400),
            "memory_gb" to Double.POSITIVE_INFINITY,
            "one_zone" to 1L,
            "awaits" to "run-1",
            "awaits" to listOf(5L),
            "awaits" to listOf("a b"),
        )
        ) {
            assertThrows(MalformedMessageException::class.java, { parse(good + (field to bad)) }, "$field $bad")
        }
        assertEquals(listOf(JobId("run-1")), parse(good + ("awaits" to listOf("run-1", "run-1"))).dependencies)
        assertEquals(emptyList<JobId>(), parse(good + ("awaits" to null)).dependencies)
        val mayLack = setOf("hosttypes", "hall", "due_s")
        for (field in good.keys) {
            if (field in mayLack) {
                parse(good - field)
            } else {
                assertThrows(MalformedMessageException::class.java, { parse(good - field) }, "without $field")
            }
        }
    }

    @Test
    fun `the replica comes to the same whatever order and repetition changes come in`() =
        runBlocking<Unit> {
            val specs = List(4) { Fixtures.job(Random(it), it) }
            checkAll(fixed, Arb.long()) { seed ->
                val random = Random(seed)
                val last = HashMap<String, Change>()
                val all = ArrayList<Change>()
                for (version in 1L..40L) {
                    val spec = specs[random.nextInt(specs.size)]
                    val key = Keys.job(spec.id)
                    val change =
                        if (last[key] is Change.Put && random.nextInt(3) == 0) {
                            Change.Drop(key, Version(version))
                        } else {
                            Change.Put(
                                key,
                                wire(JobRecord(spec, Instant.EPOCH, random.nextBoolean()).toMap()),
                                Version(version),
                            )
                        }
                    last[key] = change
                    all += change
                }
                val replica = RecordReplica()
                // Every change once in order, with older ones seen again in between.
                all.forEachIndexed { i, change ->
                    replica.apply(change)
                    val old = all[random.nextInt(i + 1)]
                    if (old is Change.Drop) replica.apply(old)
                }
                val want =
                    last.values
                        .filterIsInstance<Change.Put>()
                        .map { it.version }
                        .toSet()
                assertEquals(
                    want,
                    replica
                        .jobs()
                        .values
                        .map { it.version }
                        .toSet(),
                )
                // Reading everything anew gives the same.
                val anew = RecordReplica()
                anew.apply(all.first())
                anew.replace(last.values.filterIsInstance<Change.Put>().map { Entry(it.key, it.data, it.version) })
                assertEquals(
                    want,
                    anew
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
        replica.apply(Change.Put(Keys.job(spec.id), wire(JobRecord(spec, Instant.EPOCH, false).toMap()), Version(1)))

        fun log(
            slot: Int,
            seq: Long,
            row: LogRow,
        ) = replica.apply(Change.Put(Keys.log(slot), wire(LogRecord(seq, mapOf(spec.id to row)).toMap()), Version(seq)))
        val first = Placement(0, 1, MachineName("a"))
        val second = Placement(1, 2, MachineName("a"))
        log(7, 10, LogRow(listOf(first, second), emptyList()))
        assertEquals(Progress(0, 2), replica.progress(spec.id))
        log(3, 11, LogRow(listOf(first), listOf(LoggedExit(1, 2, true))))
        assertEquals(Progress(1, 1), replica.progress(spec.id))
        log(4, 12, LogRow(listOf(Placement(2, 3, MachineName("b"))), listOf(LoggedExit(1, 0, true), LoggedExit(0, 1, false))))
        assertEquals(Progress(1, 1), replica.progress(spec.id))
    }

    @Test
    fun `a corrupt record is left alone and its neighbours are read`() {
        val spec = Fixtures.job(Random(3), 3)
        val replica = RecordReplica()
        replica.apply(Change.Put("u/job/run-000001", mapOf("spec" to 5L), Version(1)))
        replica.apply(Change.Put(Keys.job(spec.id), wire(JobRecord(spec, Instant.EPOCH, false).toMap()), Version(2)))
        replica.apply(Change.Put(Keys.LEADER, wire(LeaderRecord("c-1", Term(4), StoreLease(9)).toMap()), Version(3)))
        assertEquals(setOf(spec.id), replica.jobs().keys)
        assertEquals(LeaderRecord("c-1", Term(4), StoreLease(9)), replica.leader?.value)
    }
}
