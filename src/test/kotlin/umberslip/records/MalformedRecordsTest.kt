package umberslip.records

import org.junit.jupiter.api.Assertions.assertDoesNotThrow
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import umberslip.core.JobId
import umberslip.core.MachineName
import umberslip.core.Term
import umberslip.http.MalformedMessageException
import umberslip.sim.Fixtures
import umberslip.store.Change
import umberslip.store.StoreLease
import umberslip.store.Version
import java.time.Instant
import java.util.BitSet
import kotlin.random.Random

/**
 * Stored records with missing, surplus or odd values.
 *
 * A log row with too few values, such as a start of two values, failed with `IndexOutOfBoundsException` instead of
 * [MalformedMessageException]. The record watcher's read then ended without [RecordWatcherMessage.ReadCompleted], so no
 * further read began and the replica became stale without a log line. A negative task index was accepted, and the next
 * query for that job failed with the same exception.
 */
class MalformedRecordsTest {
    private val jobId = JobId("run-000004")

    private class RecordKind(
        val name: String,
        val record: Map<String, Any?>,
        val parse: (Any?) -> Unit,
    )

    private val kinds =
        listOf(
            RecordKind("job", JobRecord(job(), Instant.ofEpochMilli(7), false).toMap()) { JobRecord.parse(it) },
            RecordKind("progress", progress().toMap()) { ProgressRecord.parse(it) },
            RecordKind("log entry", logEntry().toMap()) { LogRecord.parse(it) },
            RecordKind("leader", LeaderRecord("c-1", Term(4), StoreLease(9)).toMap()) { LeaderRecord.parse(it) },
            RecordKind("outcome", OutcomeRecord(JobOutcome.DONE, 3).toMap()) { OutcomeRecord.parse(it) },
            RecordKind("machines", MachineSetRecord(setOf(MachineName("h-1"))).toMap()) { MachineSetRecord.parse(it) },
            RecordKind("booting machines", bootingMachines().toMap()) { BootingMachinesRecord.parse(it).toList() },
            RecordKind("term", mapOf("term" to 4L)) { TermRecord.parse(it) },
        )

    private fun progress(): ProgressRecord {
        val done = BitSet().apply { set(3) }
        return ProgressRecord(done, listOf(Placement(1, 2, MachineName("h-1"))), lastAttempt = 2, seq = 7)
    }

    private fun logEntry(): LogRecord {
        val starts = listOf(Placement(4, 3, MachineName("h-2")), Placement(5, 3, MachineName("h-3")))
        val exits = listOf(LoggedExit(3, 2, true), LoggedExit(6, 1, false))
        return LogRecord(78, mapOf(jobId to LogRow(starts, exits)))
    }

    private fun bootingMachines() =
        BootingMachinesRecord(
            listOf(RecordedBootingMachine(MachineName("h-9"), "small", "east", true, Instant.ofEpochMilli(5))),
        )

    @Test
    fun `a malformed record of any kind is reported as malformed, and by no other exception`() {
        for (kind in kinds) {
            val record = readBack(kind.record)
            assertDoesNotThrow({ kind.parse(record) }, kind.name)
            for (seed in 1..500) {
                val mutant = Mutator(Random(seed)).mutate(record)
                val failure = runCatching { kind.parse(mutant) }.exceptionOrNull()
                val isReported = failure == null || failure is MalformedMessageException
                assertTrue(isReported, "${kind.name}, seed $seed: $mutant, $failure")
            }
        }
    }

    @Test
    fun `a log row with too few values is malformed`() {
        for (row in listOf(
            listOf(jobId.value, listOf(4L, 3L), listOf<Any>(), listOf<Any>()),
            listOf(jobId.value, listOf<Any>(), listOf(3L), listOf<Any>()),
            listOf(jobId.value, listOf<Any>(), listOf<Any>(), listOf(5L, 1L, 6L)),
            listOf(jobId.value, listOf(-1L, 3L, "h-2"), listOf<Any>(), listOf<Any>()),
            listOf(jobId.value, listOf(1L shl 32, 3L, "h-2"), listOf<Any>(), listOf<Any>()),
        )) {
            assertMalformed(row.toString()) { LogRecord.parse(mapOf("seq" to 78L, "rows" to listOf(row))) }
        }
    }

    @Test
    fun `the replica applies changes and answers queries, whatever records are stored`() {
        for (seed in 1..500) {
            val random = Random(seed)
            val replica = RecordReplica()
            var version = 0L
            repeat(20) {
                val (key, record) =
                    listOf(
                        Keys.log(random.nextInt(3)) to logEntry().toMap(),
                        Keys.progress(jobId, 0) to progress().toMap(),
                        Keys.job(jobId) to JobRecord(job(), Instant.ofEpochMilli(7), false).toMap(),
                    ).random(random)
                val data = if (random.nextBoolean()) Mutator(random).mutate(readBack(record)) else readBack(record)
                replica.apply(Change.Put(key, data, Version(++version)))
                assertDoesNotThrow({ replica.progress(jobId) }, "seed $seed, $key: $data")
            }
        }
    }

    private fun job() = Fixtures.job(Random(4), 4).copy(id = jobId, tasks = 8)

    @Test
    fun `the key of a malformed record is reported, and the other records are applied`() {
        val replica = RecordReplica()
        replica.apply(Change.Put(Keys.log(1), mapOf("seq" to 1L, "rows" to listOf(listOf("x"))), Version(1)))
        replica.apply(Change.Put(Keys.log(2), readBack(logEntry().toMap()), Version(2)))
        assertEquals(setOf(Keys.log(1)), replica.unreadable)
        assertEquals(setOf(2), replica.log().keys)
    }

    private fun assertMalformed(
        message: String,
        parse: () -> Unit,
    ) {
        val failure = runCatching(parse).exceptionOrNull()
        assertTrue(failure is MalformedMessageException, "$message: $failure")
    }
}

/** Mutates documents: removes, repeats or replaces one value at a random place. */
private class Mutator(
    private val random: Random,
) {
    fun mutate(document: Any?): Any? =
        when {
            document is Map<*, *> && document.isNotEmpty() && random.nextInt(8) > 0 -> mutateMap(document)
            document is List<*> && document.isNotEmpty() && random.nextInt(4) > 0 -> mutateList(document)
            else -> ODD_VALUES.random(random)
        }

    private fun mutateMap(map: Map<*, *>): Map<*, *> {
        val key = map.keys.random(random)
        if (random.nextInt(4) == 0) return map - key
        return map + (key to mutate(map[key]))
    }

    private fun mutateList(list: List<*>): List<*> {
        val index = list.indices.random(random)
        return when (random.nextInt(4)) {
            0 -> list.filterIndexed { i, _ -> i != index }
            1 -> list + list[index]
            else -> list.mapIndexed { i, item -> if (i == index) mutate(item) else item }
        }
    }

    private companion object {
        val ODD_VALUES =
            listOf(null, "", "x", "-1", -1L, 0L, Long.MAX_VALUE, Long.MIN_VALUE, 1.5, true) +
                listOf(emptyList<Any>(), emptyMap<Any, Any>())
    }
}
