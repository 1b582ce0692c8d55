package umberslip.toolbox

import picocli.CommandLine.Command
import picocli.CommandLine.Model.CommandSpec
import picocli.CommandLine.Option
import picocli.CommandLine.Parameters
import picocli.CommandLine.Spec
import umberslip.cli.KeyValueStoreReader
import umberslip.cli.SettingsOptions
import umberslip.http.NoResponseException
import umberslip.http.ServiceUnavailableException
import umberslip.records.RecordPages
import umberslip.recovery.RecordedWork
import umberslip.recovery.archive.ArchiveFile
import umberslip.recovery.archive.ArchiveHeader
import umberslip.recovery.archive.RecordArchive
import umberslip.recovery.archive.RecordComparison
import umberslip.settings.Settings
import java.io.IOException
import java.nio.file.Path
import java.time.Instant
import java.util.concurrent.Callable

/**
 * Archives the records of the key-value store at one moment, and compares two such archives. Writes nothing to the
 * key-value store.
 */
@Command(
    name = "records",
    mixinStandardHelpOptions = true,
    description = ["Save, show and compare the records in the key-value store."],
    subcommands = [SaveRecords::class, ShowRecords::class, CompareRecords::class],
)
class RecordsCommand : Callable<Int> {
    @Spec
    lateinit var spec: CommandSpec

    override fun call(): Int {
        spec.commandLine().usage(spec.commandLine().err)
        return picocli.CommandLine.ExitCode.USAGE
    }
}

@Command(name = "save", mixinStandardHelpOptions = true, description = ["Write all records into an archive."])
class SaveRecords :
    SettingsOptions(),
    Callable<Int> {
    @Parameters(paramLabel = "FILE", description = ["the archive to write"])
    lateinit var file: Path

    @Spec
    lateinit var spec: CommandSpec

    override fun call(): Int {
        val (settings, _) = load()
        val pages =
            try {
                KeyValueStoreReader.read(settings) { RecordPages.read(it) }
            } catch (e: ServiceUnavailableException) {
                throw IOException("the records cannot be read: ${e.message}", e)
            } catch (e: NoResponseException) {
                throw IOException("the records cannot be read: ${e.message}", e)
            }
        ArchiveFile.write(RecordArchive(ArchiveHeader(Instant.now(), pages.revision), pages.entries), file)
        spec.commandLine().out.run {
            println("$file: ${pages.entries.size} records at revision ${pages.revision}")
            flush()
        }
        return 0
    }
}

@Command(name = "show", mixinStandardHelpOptions = true, description = ["Say what a new leader would take over."])
class ShowRecords :
    SettingsOptions(),
    Callable<Int> {
    @Parameters(paramLabel = "FILE", description = ["an archive"])
    lateinit var file: Path

    @Spec
    lateinit var spec: CommandSpec

    override fun call(): Int {
        val (settings, _) = load()
        val archive = ArchiveFile.read(file)
        val work = RecordedWork.of(archive.toReplica(), settings)
        spec.commandLine().out.run {
            println("$file: taken ${archive.header.taken} at revision ${archive.header.revision}")
            work.toText().forEach(::println)
            flush()
        }
        return 0
    }
}

@Command(
    name = "compare",
    mixinStandardHelpOptions = true,
    description = ["Say what became of the work between two archives."],
)
class CompareRecords :
    SettingsOptions(),
    Callable<Int> {
    @Parameters(index = "0", paramLabel = "BEFORE", description = ["the earlier archive"])
    lateinit var before: Path

    @Parameters(index = "1", paramLabel = "AFTER", description = ["the later archive"])
    lateinit var after: Path

    @Option(names = ["--json"], description = ["print JSON"])
    var json: Boolean = false

    @Spec
    lateinit var spec: CommandSpec

    override fun call(): Int {
        val (settings, _) = load()
        val comparison = RecordComparison(readWork(before, settings), readWork(after, settings))
        spec.commandLine().out.run {
            println(if (json) comparison.toJson() else comparison.toText())
            flush()
        }
        return if (comparison.lostProgress.isEmpty()) 0 else LOST_PROGRESS_EXIT_CODE
    }

    private fun readWork(
        file: Path,
        settings: Settings,
    ) = RecordedWork.of(ArchiveFile.read(file).toReplica(), settings)

    private companion object {
        /** The exit code if a job has fewer tasks recorded as done in the later archive. */
        const val LOST_PROGRESS_EXIT_CODE = 3
    }
}
