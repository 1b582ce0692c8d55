package umberslip.records

import io.kotest.property.Arb
import io.kotest.property.arbitrary.int
import io.kotest.property.arbitrary.long
import io.kotest.property.checkAll
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertThrows
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import umberslip.core.JobId
import umberslip.core.MachineName
import umberslip.core.Term
import umberslip.http.Documents
import umberslip.http.Fields
import umberslip.http.MalformedMessageException
import umberslip.sim.Fixtures
import umberslip.store.StoreLease
import java.time.Instant
import java.util.BitSet
import kotlin.random.Random

/** Records are read back as they were written, also by earlier versions, and fit into the store's values. */
class RecordFormatTest {
    /** The fields of records that the version in production writes, listed by hand according to its format. */
    private val productionFields =
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
            "progress" to setOf("seq", "done", "placed", "last"),
            "log" to setOf("seq", "rows"),
            "leader" to setOf("member", "term", "hold"),
            "outcome" to setOf("status", "pieces"),
            "machines" to setOf("hosts"),
        )

    @Test
    fun `jobs and their specifications are read back as written`() =
        runBlocking<Unit> {
            checkAll(propertyTestConfig, Arb.long()) { seed ->
                val spec = Fixtures.job(Random(seed), 7)
                assertEquals(spec, JobSpecCodec.parse(Fields.of(readBack(spec.toMap()))))
                val job = JobRecord(spec, Instant.ofEpochMilli(seed and 0xffffff), seed % 2 == 0L)
                assertEquals(job, JobRecord.parse(readBack(job.toMap())))
            }
        }

    @Test
    fun `records of the version in production are read, and records without dependencies are written in its format`() {
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
                "progress" to block.toMap(),
                "log" to log.toMap(),
                "leader" to LeaderRecord("c-1", Term(4), StoreLease(9)).toMap(),
                "outcome" to OutcomeRecord(JobOutcome.DONE, 3).toMap(),
                "machines" to MachineSetRecord(setOf(MachineName("h-1"))).toMap(),
            )
        for ((kind, fields) in productionFields) assertEquals(fields, written.getValue(kind).keys, kind)
        val oldBlock = mapOf("seq" to 77L, "done" to "0102", "placed" to listOf(listOf(3L, 2L, "h-1")), "last" to 2L)
        assertEquals(block, ProgressRecord.parse(readBack(oldBlock)))
        assertEquals(readBack(oldBlock), readBack(block.toMap()))
        val oldLog =
            mapOf(
                "seq" to 78L,
                "rows" to listOf(listOf(spec.id.value, listOf(4L, 3L, "h-2"), listOf(3L, 2L), listOf(5L, 1L))),
            )
        assertEquals(log, LogRecord.parse(readBack(oldLog)))
        assertEquals(readBack(oldLog), readBack(log.toMap()))
        val oldOutcome = mapOf("status" to "aborted", "pieces" to 3L)
        assertEquals(OutcomeRecord(JobOutcome.CANCELLED, 3), OutcomeRecord.parse(oldOutcome))
        assertEquals(emptyList<JobId>(), JobSpecCodec.parse(Fields.of(readBack(spec.toMap()))).dependencies)
        // A job with dependencies has one field more, which the version in production ignores.
        val dependent = spec.copy(dependencies = listOf(JobId("run-1"), JobId("run-2")))
        assertEquals(setOf("awaits"), dependent.toMap().keys - productionFields.getValue("spec"))
        assertEquals(dependent, JobSpecCodec.parse(Fields.of(readBack(dependent.toMap()))))
        assertEquals(spec, JobSpecCodec.parse(Fields.of(readBack(dependent.toMap() - "awaits"))))
    }

    @Test
    fun `a progress record is read back and fits into a value, whatever the progress`() =
        runBlocking<Unit> {
            for (bytes in listOf(2048, 8192, 32768)) {
                val tasks = ProgressRecord.tasksPerBlock(bytes)
                checkAll(propertyTestConfig.copy(iterations = 30), Arb.long()) { seed ->
                    val random = Random(seed)
                    val done = BitSet().apply { repeat(tasks) { if (random.nextBoolean()) set(it) } }
                    val firstIndex = 90_000
                    val record =
                        ProgressRecord(
                            done,
                            placements(random, firstIndex, tasks).filter { !done.get(it.index - firstIndex) },
                            1L shl 40,
                            5L shl 32,
                        )
                    assertEquals(record, ProgressRecord.parse(readBack(record.toMap())))
                    assertTrue(Documents.jsonSize(record.toMap()) <= bytes)
                    assertTrue(Documents.jsonSize(record.toMap()) <= record.bytes, "its size is never underestimated")
                }
            }
        }

    @Test
    fun `log entries are read back, and their size is never underestimated`() =
        runBlocking<Unit> {
            checkAll(propertyTestConfig, Arb.long(), Arb.int(1..6)) { seed, jobs ->
                val random = Random(seed)

                // Exits of done tasks come first, as in the stored form.
                fun exits() =
                    List(random.nextInt(0, 9)) {
                        LoggedExit(random.nextInt(1000), random.nextLong(1, 40), random.nextBoolean())
                    }.sortedBy { !it.done }
                val record =
                    LogRecord(
                        seed,
                        (1..jobs).associate {
                            JobId("run-%06d".format(it)) to
                                LogRow(placements(random, 0, random.nextInt(1, 20)), exits())
                        },
                    )
                assertEquals(record, LogRecord.parse(readBack(record.toMap())))
                val estimate =
                    LogRecord.FIXED_BYTES +
                        record.rows.entries.sumOf { (job, row) ->
                            LogRecord.bytes(job) +
                                row.starts.sumOf(LogRecord::bytes) +
                                row.exits.sumOf(LogRecord::bytes)
                        }
                assertTrue(Documents.jsonSize(record.toMap()) <= estimate)
            }
        }

    @Test
    fun `a machine set has as many of a cluster's machines as fit into a value`() {
        for (bytes in listOf(2048, 8192, 32768)) {
            val all = List(3000) { MachineName("host-%06d".format(it)) }
            val fitting = MachineSetRecord.fitting(all, bytes)
            assertEquals(all.take(fitting.size), fitting.toList())
            assertTrue(Documents.jsonSize(MachineSetRecord(fitting).toMap()) in bytes - 50..bytes)
        }
    }

    private val booting =
        RecordedBootingMachine(MachineName("host-000231"), "c8", "east", true, Instant.ofEpochMilli(1_790_000_000_123))

    @Test
    fun `booting machines are stored with the field names of earlier versions, and read back`() {
        val stored =
            mapOf(
                "booting" to
                    listOf(
                        mapOf(
                            "host" to "host-000231",
                            "type" to "c8",
                            "zone" to "east",
                            "spot" to true,
                            "since_ms" to 1_790_000_000_123L,
                        ),
                    ),
            )
        val record = BootingMachinesRecord(listOf(booting))
        assertEquals(Documents.writeCbor(stored).toList(), Documents.writeCbor(record.toMap()).toList())
        assertEquals(record.machines, BootingMachinesRecord.parse(readBack(stored)).toList())
    }

    @Test
    fun `booting machines before a malformed one are read, and the exception names the malformed field`() {
        val machines = BootingMachinesRecord(listOf(booting)).toMap().getValue("booting") as List<*>
        val malformed = readBack(mapOf("booting" to machines + mapOf("host" to "h")))
        val read = ArrayList<RecordedBootingMachine>()
        val failure =
            assertThrows(MalformedMessageException::class.java) {
                BootingMachinesRecord.parse(malformed).forEach(read::add)
            }
        assertEquals(listOf(booting), read)
        assertEquals("u/fleet.booting[1].since_ms is missing", failure.message)
        assertThrows(MalformedMessageException::class.java) { BootingMachinesRecord.parse(null) }
    }

    @Test
    fun `as many booting machines are stored as fit into a value`() {
        val all = List(500) { booting.copy(machineName = MachineName("host-%06d".format(it))) }
        for (bytes in listOf(2048, 8192)) {
            val record = BootingMachinesRecord.fitting(all, bytes)
            assertEquals(all.take(record.machines.size), record.machines)
            assertTrue(record.machines.size in 1 until all.size)
            assertTrue(Documents.jsonSize(record.toMap()) <= bytes)
        }
        assertEquals(all.take(5), BootingMachinesRecord.fitting(all.take(5), 2048).machines)
    }
}
