package umberslip.compatibility

import okio.Buffer
import okio.ByteString.Companion.decodeHex
import okio.ByteString.Companion.toByteString
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import umberslip.core.JobId
import umberslip.core.JobSpec
import umberslip.core.MachineName
import umberslip.core.Priority
import umberslip.core.Shape
import umberslip.core.Term
import umberslip.http.Documents
import umberslip.peers.PeerFrame
import umberslip.records.JobOutcome
import umberslip.records.JobRecord
import umberslip.records.LeaderRecord
import umberslip.records.LogRecord
import umberslip.records.LogRow
import umberslip.records.LoggedExit
import umberslip.records.MachineSetRecord
import umberslip.records.OutcomeRecord
import umberslip.records.Placement
import umberslip.records.ProgressRecord
import umberslip.store.StoreLease
import java.time.Instant
import java.util.BitSet

/**
 * The stored records and peer frames of released versions, kept as the bytes that checkouts of those commits wrote
 * (`src/test/resources/compatibility`). This version must decode them, and must encode the same values to the same
 * bytes, since those versions read what it writes during an upgrade.
 */
class FormatCompatibilityTest {
    private val submitted = Instant.ofEpochMilli(1_790_000_000_123)

    private val gang =
        JobSpec(
            id = JobId("run-000412"),
            jobClass = "train",
            team = "vision",
            shape = Shape.GANG,
            priority = Priority.HIGH,
            tasks = 16,
            cpus = 8.0,
            gpus = 1.0,
            memoryGb = 64.5,
            image = "img-07",
            imageGb = 6.2,
            instanceTypes = listOf("g8"),
            zone = null,
            oneZone = true,
            spread = false,
            spot = true,
            expectedSeconds = 240.0,
            checkpointIntervalSeconds = 30.0,
            checkpointSaveSeconds = 4.0,
            deadlineSeconds = 900.0,
        )
    private val plainArray = gang.copy(id = JobId("run-000413"), shape = Shape.ARRAY)
    private val dependentArray = plainArray.copy(dependencies = listOf(JobId("run-000398"), JobId("run-000405")))

    private val block =
        ProgressRecord(
            done = BitSet().apply { listOf(0, 9, 17).forEach(::set) },
            placed =
                listOf(
                    Placement(3, 2, MachineName("host-000231")),
                    Placement(15, 1L shl 33, MachineName("host-000232")),
                ),
            lastAttempt = 1L shl 33,
            seq = (4L shl 32) + 7,
        )
    private val logEntry =
        LogRecord(
            seq = (4L shl 32) + 8,
            rows =
                mapOf(
                    gang.id to
                        LogRow(
                            starts = listOf(Placement(4, 3, MachineName("host-000233"))),
                            exits = listOf(LoggedExit(3, 2, true), LoggedExit(5, 1, false)),
                        ),
                ),
        )

    private val frames =
        mapOf(
            "frame-news" to PeerFrame.RecordsChanged("solm-1"),
            "frame-ping" to PeerFrame.Ping("solm-1"),
            "frame-pong-served" to PeerFrame.Pong("solm-1", true),
            "frame-pong-refused" to PeerFrame.Pong("solm-1", false),
        )

    /** A record that both versions have: its value, how it is decoded and how it is encoded. */
    private class Sample<T>(
        val value: T,
        val decode: (Any?) -> T,
        val encode: (T) -> Map<String, Any?>,
    )

    private val records: Map<String, Sample<out Any>> =
        mapOf(
            "job" to Sample(JobRecord(gang, submitted, false), JobRecord::parse, JobRecord::toMap),
            "job-cancelled" to Sample(JobRecord(gang, submitted, true), JobRecord::parse, JobRecord::toMap),
            "chunk" to Sample(block, ProgressRecord::parse, ProgressRecord::toMap),
            "log" to Sample(logEntry, LogRecord::parse, LogRecord::toMap),
            "owner" to Sample(LeaderRecord("solm-1", Term(4), StoreLease(9)), LeaderRecord::parse, LeaderRecord::toMap),
            "end-done" to Sample(OutcomeRecord(JobOutcome.DONE, 16), OutcomeRecord::parse, OutcomeRecord::toMap),
            "end-cancelled" to
                Sample(OutcomeRecord(JobOutcome.CANCELLED, 16), OutcomeRecord::parse, OutcomeRecord::toMap),
            "hosts" to
                Sample(
                    MachineSetRecord(linkedSetOf(MachineName("host-000231"), MachineName("host-000232"))),
                    MachineSetRecord::parse,
                    MachineSetRecord::toMap,
                ),
        )

    private fun fixtures(commit: String): Map<String, String> {
        val file =
            checkNotNull(javaClass.getResourceAsStream("/compatibility/$commit.txt")) { "no fixtures of $commit" }
        return file
            .bufferedReader()
            .readLines()
            .filterNot { it.startsWith("#") }
            .associate { line -> line.substringBefore(' ') to line.substringAfter(' ') }
    }

    private fun readCbor(hex: String): Any? = Documents.readCbor(hex.decodeHex().toByteArray())

    private fun writeCbor(record: Map<String, Any?>): String = Documents.writeCbor(record).toByteString().hex()

    private fun <T> check(
        name: String,
        sample: Sample<T>,
        hex: String,
    ) {
        assertEquals(sample.value, sample.decode(readCbor(hex)), "$name is decoded")
        assertEquals(hex, writeCbor(sample.encode(sample.value)), "$name is encoded to the same bytes")
    }

    @ParameterizedTest
    @ValueSource(strings = ["823f3f9", "6fbfec1"])
    fun `records of released versions are decoded, and are encoded to the same bytes`(commit: String) {
        val written = fixtures(commit)
        for ((name, sample) in records) check(name, sample, written.getValue(name))
    }

    @ParameterizedTest
    @ValueSource(strings = ["823f3f9", "6fbfec1"])
    fun `peer frames of released versions are decoded, and are encoded to the same bytes`(commit: String) {
        val written = fixtures(commit)
        for ((name, frame) in frames) {
            val bytes = written.getValue(name).decodeHex()
            val received = Buffer().write(bytes)
            assertEquals(received.readInt().toLong(), received.size, "$name has its length first")
            assertEquals(frame, PeerFrame.decode(received), "$name is decoded")
            assertEquals(bytes, frame.encode().readByteString(), "$name is encoded to the same bytes")
        }
    }

    @Test
    fun `a job with dependencies is stored as the first version with dependencies stored it`() {
        val sample = Sample(JobRecord(dependentArray, submitted, false), JobRecord::parse, JobRecord::toMap)
        check("job-awaiting", sample, fixtures("6fbfec1").getValue("job-awaiting"))
    }

    @Test
    fun `the version in production ignores the dependencies of a job`() {
        val written = fixtures("823f3f9")
        val plain = Sample(JobRecord(plainArray, submitted, false), JobRecord::parse, JobRecord::toMap)
        check("job-awaiting", plain, written.getValue("job-awaiting"))
        // What a checkout of that commit made of the bytes above that carry the field.
        check("job-awaiting-reread", plain, written.getValue("job-awaiting-reread"))
    }
}
