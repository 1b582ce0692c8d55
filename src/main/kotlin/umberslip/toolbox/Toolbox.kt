package umberslip.toolbox

import picocli.CommandLine
import picocli.CommandLine.Command
import umberslip.cli.Umberslip
import umberslip.recovery.archive.ArchiveException
import umberslip.settings.InvalidSettingsException
import java.io.IOException
import java.util.concurrent.Callable
import kotlin.system.exitProcess

/** Operators' tools that need libraries which the daemon does not carry; run from a class path of their own. */
@Command(
    name = "umberslip-toolbox",
    mixinStandardHelpOptions = true,
    description = ["Operators' tools round umberslip."],
    subcommands = [RecordsCommand::class],
)
class Toolbox : Callable<Int> {
    override fun call(): Int {
        CommandLine.usage(this, System.err)
        return CommandLine.ExitCode.USAGE
    }

    companion object {
        /** What the operator can mend is said in one line and ends with code 1; anything else is a defect. */
        fun commandLine(): CommandLine =
            CommandLine(Toolbox()).setExecutionExceptionHandler { e, line, _ ->
                if (e !is InvalidSettingsException && e !is ArchiveException && e !is IOException) throw e
                line.err.println("umberslip-toolbox: ${e.message}")
                line.err.flush()
                CommandLine.ExitCode.SOFTWARE
            }
    }
}

fun main(args: Array<String>) {
    Umberslip.configureLogging("warn")
    exitProcess(Toolbox.commandLine().execute(*args))
}
