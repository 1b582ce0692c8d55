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
 * Checks compatibility with the stored records and peer frames of released versions. The files in
 * `src/test/resources/compatibility` hold the bytes that checkouts of those commits wrote. This version must decode
 * them and must encode the same values to the same bytes, because those versions read what it writes during an upgrade.
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

    private val progress =
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

    /** The value of a record that all these versions have, with its decoder and encoder. */
    private class Sample<T>(
        val value: T,
        val decode: (Any?) -> T,
        val encode: (T) -> Map<String, Any?>,
    )

    private val records: Map<String, Sample<out Any>> =
        mapOf(
            "job" to Sample(JobRecord(gang, submitted, false), JobRecord::parse, JobRecord::toMap),
            "job-cancelled" to Sample(JobRecord(gang, submitted, true), JobRecord::parse, JobRecord::toMap),
            "chunk" to Sample(progress, ProgressRecord::parse, ProgressRecord::toMap),
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

    private fun <T> checkSample(
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
        val hexByName = fixtures(commit)
        for ((name, sample) in records) checkSample(name, sample, hexByName.getValue(name))
    }

    @ParameterizedTest
    @ValueSource(strings = ["823f3f9", "6fbfec1"])
    fun `peer frames of released versions are decoded, and are encoded to the same bytes`(commit: String) {
        val hexByName = fixtures(commit)
        for ((name, frame) in frames) {
            val bytes = hexByName.getValue(name).decodeHex()
            val received = Buffer().write(bytes)
            assertEquals(received.readInt().toLong(), received.size, "$name starts with its length")
            assertEquals(frame, PeerFrame.decode(received), "$name is decoded")
            assertEquals(bytes, frame.encode().readByteString(), "$name is encoded to the same bytes")
        }
    }

    @Test
    fun `a job with dependencies is stored as the first version with dependencies stored it`() {
        val sample = Sample(JobRecord(dependentArray, submitted, false), JobRecord::parse, JobRecord::toMap)
        checkSample("job-awaiting", sample, fixtures("6fbfec1").getValue("job-awaiting"))
    }

    @Test
    fun `the version in production ignores the dependencies of a job`() {
        val hexByName = fixtures("823f3f9")
        val plain = Sample(JobRecord(plainArray, submitted, false), JobRecord::parse, JobRecord::toMap)
        checkSample("job-awaiting", plain, hexByName.getValue("job-awaiting"))
        // What a checkout of that commit wrote after reading the record of the test above, which has dependencies.
        checkSample("job-awaiting-reread", plain, hexByName.getValue("job-awaiting-reread"))
    }
}
