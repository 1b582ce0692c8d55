package umberslip.cli

import picocli.CommandLine.Command
import picocli.CommandLine.Model.CommandSpec
import picocli.CommandLine.Option
import picocli.CommandLine.Spec
import umberslip.http.NoResponseException
import umberslip.http.ServiceUnavailableException
import umberslip.recovery.ControllerMetrics
import umberslip.recovery.RecordedWork
import umberslip.recovery.RecordsAnswer
import umberslip.recovery.RecoveryReport
import umberslip.recovery.RecoveryReportJson
import umberslip.recovery.RecoveryReportText
import umberslip.settings.Settings
import java.util.concurrent.Callable

/**
 * Shows the progress of the leader's recovery after a failover. Reads the key-value store and the controllers' metrics,
 * and changes nothing.
 */
@Command(
    name = "recovery",
    mixinStandardHelpOptions = true,
    description = ["Show what became of the work that the present leader took over."],
    exitCodeListHeading = "Exit codes:%n",
    exitCodeList = [
        "0:settled",
        "1:the settings cannot be read",
        "2:wrong usage",
        "3:recovering",
        "4:nobody leads",
        "5:the leader was not heard from",
        "6:neither the records nor a leader could be read",
    ],
)
class Recovery :
    SettingsOptions(),
    Callable<Int> {
    @Option(
        names = ["--controller"],
        paramLabel = "HOST:PORT",
        description = ["a controller's address for users; may be repeated (default: that of the settings file)"],
    )
    var controllers: List<String> = emptyList()

    @Option(names = ["--json"], description = ["print JSON; recovery-schema prints its schema"])
    var json: Boolean = false

    @Spec
    lateinit var spec: CommandSpec

    override fun call(): Int {
        val out = spec.commandLine().out
        val (settings, _) = load()
        val addresses = if (controllers.isEmpty()) listOf(settings.bind) else controllers.map(Settings::parseAddress)
        val report = RecoveryReport(readRecords(settings), ControllerMetrics().let { addresses.map(it::query) })
        out.println(if (json) RecoveryReportJson.render(report) else RecoveryReportText.render(report))
        out.flush()
        return report.status.exitCode
    }

    private fun readRecords(settings: Settings): RecordsAnswer =
        try {
            RecordsAnswer.Read(KeyValueStoreReader.read(settings) { RecordedWork.read(it, settings) })
        } catch (e: ServiceUnavailableException) {
            RecordsAnswer.Unreadable(e.message ?: "unavailable")
        } catch (e: NoResponseException) {
            RecordsAnswer.Unreadable(e.message ?: "no answer")
        }
}

/** Prints the schema of the JSON report, for programs that read it. */
@Command(
    name = "recovery-schema",
    mixinStandardHelpOptions = true,
    description = ["Print the JSON Schema of recovery --json."],
)
class RecoverySchema : Callable<Int> {
    @Spec
    lateinit var spec: CommandSpec

    override fun call(): Int {
        spec.commandLine().out.run {
            println(RecoveryReportJson.schema())
            flush()
        }
        return 0
    }
}
