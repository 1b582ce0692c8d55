package umberslip.recovery.archive

import com.github.luben.zstd.Zstd
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.assertThrows
import org.junit.jupiter.api.io.TempDir
import umberslip.agents.ExitCause
import umberslip.agents.WorkerCommand
import umberslip.core.MachineName
import umberslip.scheduling.TestScheduler
import umberslip.sim.Fixtures
import umberslip.store.Entry
import umberslip.store.Version
import umberslip.toolbox.Toolbox
import java.io.PrintWriter
import java.io.StringWriter
import java.nio.file.Files
import java.nio.file.Path
import java.time.Instant
import kotlin.random.Random
import kotlin.time.Duration.Companion.seconds

/** An archive is either read completely and as it was written, or rejected with the reason. */
class RecordArchiveTest {
    @TempDir
    lateinit var directory: Path

    private fun value(
        random: Random,
        depth: Int,
    ): Any? =
        when (random.nextInt(if (depth > 0) 7 else 5)) {
            0 -> null
            1 -> random.nextBoolean()
            2 -> random.nextLong()
            3 -> random.nextInt(1000) / 8.0 + 0.125
            4 -> List(random.nextInt(12)) { "aé\"\\\n\u0001žś€ "[random.nextInt(10)] }.joinToString("")
            5 -> List(random.nextInt(4)) { value(random, depth - 1) }
            else -> List(random.nextInt(4)) { "f$it" to value(random, depth - 1) }.toMap()
        }

    private fun anyArchive(random: Random) =
        RecordArchive(
            ArchiveHeader(Instant.ofEpochMilli(random.nextLong(0, 2_000_000_000_000)), random.nextLong(0, 1 shl 30)),
            List(random.nextInt(30)) { Entry("u/x/$it", value(random, 3), Version(random.nextLong(1, 1 shl 30))) },
        )

    @Test
    fun `an archive is read as it was written`() {
        for (seed in 1..150) {
            val archive = anyArchive(Random(seed))
            val file = directory.resolve("records.zst")
            ArchiveFile.write(archive, file)
            assertEquals(archive, ArchiveFile.read(file), "seed $seed")
        }
        assertEquals(listOf("records.zst"), Files.list(directory).use { all -> all.map { "${it.fileName}" }.toList() })
    }

    @Test
    fun `a file that is truncated at any byte is rejected`() {
        val file = directory.resolve("records.zst")
        ArchiveFile.write(anyArchive(Random(7)), file)
        val bytes = Files.readAllBytes(file)
        for (length in bytes.indices) {
            Files.write(file, bytes.copyOf(length))
            assertThrows<ArchiveException>("truncated to $length of ${bytes.size} bytes") { ArchiveFile.read(file) }
        }
    }

    @Test
    fun `a file with a changed bit in any byte is rejected`() {
        val file = directory.resolve("records.zst")
        ArchiveFile.write(anyArchive(Random(8)), file)
        val bytes = Files.readAllBytes(file)
        val random = Random(8)
        for (position in bytes.indices) {
            val changed = bytes.clone()
            changed[position] = (changed[position].toInt() xor (1 shl random.nextInt(8))).toByte()
            Files.write(file, changed)
            // A few bits of the frame header affect only how the data is stored, not the data itself.
            val read =
                try {
                    ArchiveFile.read(file)
                } catch (_: ArchiveException) {
                    null
                }
            assertTrue(read == null || read == anyArchive(Random(8)), "byte $position")
        }
    }

    /** The changed lines are compressed again, so that only the archive's own checks can detect the change. */
    @Test
    fun `changed, missing and repeated lines and other versions are rejected`() {
        val file = directory.resolve("records.zst")
        val archive = anyArchive(Random(9)).copy(entries = List(5) { Entry("u/x/$it", mapOf("a" to 1L), Version(1)) })
        ArchiveFile.write(archive, file)
        val lines =
            Zstd
                .decompress(Files.readAllBytes(file), 1 shl 20)
                .decodeToString()
                .trim()
                .lines()

        fun readFailure(changed: List<String>): ArchiveException {
            Files.write(file, Zstd.compress(changed.joinToString("\n", postfix = "\n").toByteArray()))
            return assertThrows<ArchiveException> { ArchiveFile.read(file) }
        }
        assertTrue(readFailure(lines.map { it.replace("\"a\":1", "\"a\":2") }) is ArchiveException.Corrupt)
        assertTrue(readFailure(lines.filterIndexed { i, _ -> i != 3 }) is ArchiveException.Corrupt)
        assertTrue(readFailure(lines.take(3) + lines[2] + lines.drop(3)) is ArchiveException.Corrupt)
        assertTrue(readFailure(lines.dropLast(1)) is ArchiveException.Incomplete)
        val laterVersion = lines[0].replace("\"version\":1", "\"version\":2")
        assertTrue(readFailure(listOf(laterVersion) + lines.drop(1)) is ArchiveException.UnsupportedVersion)
        assertTrue(readFailure(lines.drop(1)) is ArchiveException.NotAnArchive)
        Files.writeString(file, "{}")
        assertTrue(assertThrows<ArchiveException> { ArchiveFile.read(file) } is ArchiveException.NotAnArchive)
    }

    @Test
    fun `a comparison shows which tasks continued, were restarted, finished or wait`() {
        val scheduler = TestScheduler()
        val jobs = List(3) { scheduler.job { it.copy(tasks = 2, cpus = 2.0) } }
        for (machineName in listOf("m1", "m2", "m3")) {
            scheduler.heartbeat(machineName)
            scheduler.dispatch(machineName)
            // Within this time, new tasks wait for a machine that already has their image.
            scheduler.now += 2.seconds
        }
        scheduler.write()
        val before = scheduler.recorded()
        assertEquals(jobs.mapTo(HashSet()) { it.spec.id }, before.jobs)
        assertEquals(6, before.starts.size)
        // m2 is lost and its tasks start on another machine. One task on m3 exits.
        val tasksOnM2 =
            scheduler
                .machine("m2")
                .assignments.keys
                .toSet()
        val exited = scheduler.commands("m3").filterIsInstance<WorkerCommand.Start>().first()
        val stillRunning =
            scheduler
                .machine("m3")
                .assignments.values
                .filter { it.id != exited.task }
        scheduler.scheduler.releaseTasks(scheduler.machine("m2"), scheduler.now)
        scheduler.heartbeat(
            "m3",
            TestScheduler.ended(exited.task, exited.attempt, ExitCause.DONE),
            *stillRunning.map { TestScheduler.running(it.id, it.attempt) }.toTypedArray(),
        )
        scheduler.now += 5.seconds
        scheduler.heartbeat("m4", type = "large")
        scheduler.dispatch("m4")
        scheduler.write()
        val comparison = RecordComparison(before, scheduler.recorded())
        for (task in tasksOnM2) assertEquals(TaskChange.RESTARTED, comparison.taskChanges[task], "$task")
        assertEquals(TaskChange.NOT_PLACED, comparison.taskChanges[exited.task])
        assertEquals(6 - tasksOnM2.size - 1, comparison.count(TaskChange.CONTINUED))
        assertEquals(emptySet<Any>(), comparison.lostProgress)
        assertTrue(MachineName("m2") in comparison.emptiedMachines)
        assertEquals(
            listOf("ran_on", "started_again", "not_placed", "job_ended"),
            TaskChange.entries.map { it.jsonName },
            "published names must not change when a constant is renamed",
        )
        val reversed = RecordComparison(scheduler.recorded(), before)
        assertEquals(setOf(exited.task.job), reversed.lostProgress)
        assertTrue("LOST PROGRESS: ${exited.task.job.value}" in reversed.toText())
    }

    @Test
    fun `the command reports a damaged file in one line`() {
        val settings = directory.resolve("settings.json")
        Files.writeString(settings, Fixtures.settingsJson("c-0"))
        val file = directory.resolve("records.zst")
        ArchiveFile.write(anyArchive(Random(3)), file)
        assertEquals(0, run("records", "show", "--config", "$settings", "$file").first)
        Files.write(file, Files.readAllBytes(file).copyOf(40))
        val (exitCode, error) = run("records", "show", "--config", "$settings", "$file")
        assertEquals(1, exitCode)
        assertEquals(1, error.trim().lines().size, error)
        assertTrue(error.startsWith("umberslip-toolbox: the archive is"), error)
    }

    private fun run(vararg arguments: String): Pair<Int, String> {
        val error = StringWriter()
        val line = Toolbox.commandLine().setOut(PrintWriter(StringWriter())).setErr(PrintWriter(error))
        return line.execute(*arguments) to error.toString()
    }
}
