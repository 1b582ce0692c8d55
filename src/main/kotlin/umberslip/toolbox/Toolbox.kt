package umberslip.toolbox

import picocli.CommandLine
import picocli.CommandLine.Command
import umberslip.cli.Umberslip
import umberslip.recovery.archive.ArchiveException
import umberslip.settings.InvalidSettingsException
import java.io.IOException
import java.util.concurrent.Callable
import kotlin.system.exitProcess

/** Operators' tools that need libraries which the daemon does not include. They run from a class path of their own. */
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
        /**
         * Returns the command line. It reports errors that the operator can fix in one line and exits with code 1. It
         * rethrows any other exception, which is a defect.
         */
        fun commandLine(): CommandLine =
            CommandLine(Toolbox()).setExecutionExceptionHandler { e, commandLine, _ ->
                if (e !is InvalidSettingsException && e !is ArchiveException && e !is IOException) throw e
                commandLine.err.println("umberslip-toolbox: ${e.message}")
                commandLine.err.flush()
                CommandLine.ExitCode.SOFTWARE
            }
    }
}

fun main(args: Array<String>) {
    Umberslip.configureLogging("warn")
    exitProcess(Toolbox.commandLine().execute(*args))
}
