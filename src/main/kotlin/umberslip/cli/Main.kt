package umberslip.cli

import picocli.CommandLine
import picocli.CommandLine.Command
import umberslip.daemon.ListenException
import umberslip.settings.InvalidSettingsException
import java.util.concurrent.Callable
import kotlin.system.exitProcess

private const val VERSION = "umberslip 0.1.0"

/** The root command of the program `umberslip`; its subcommands do the work. */
@Command(
    name = "umberslip",
    version = [VERSION],
    mixinStandardHelpOptions = true,
    description = ["A cluster scheduler for batch jobs on rented machines."],
    subcommands = [Serve::class, Check::class, Recovery::class, RecoverySchema::class, WarmUp::class],
)
class Umberslip : Callable<Int> {
    override fun call(): Int {
        CommandLine.usage(this, System.err)
        return CommandLine.ExitCode.USAGE
    }

    companion object {
        /** Must be called before the first logger is created, since slf4j-simple reads its settings only then. */
        fun configureLogging(defaultLevel: String) {
            System.setProperty("org.slf4j.simpleLogger.defaultLogLevel", System.getenv("LOG_LEVEL") ?: defaultLevel)
            System.setProperty("org.slf4j.simpleLogger.log.io.netty", "error")
            System.setProperty("org.slf4j.simpleLogger.showThreadName", "false")
            System.setProperty("org.slf4j.simpleLogger.showShortLogName", "true")
        }

        /**
         * Returns the command line. It reports errors that the operator can fix in one line and exits with code 1. It
         * rethrows any other exception, which is a defect.
         */
        fun commandLine(): CommandLine =
            CommandLine(Umberslip()).setExecutionExceptionHandler { e, commandLine, _ ->
                if (e !is InvalidSettingsException && e !is ListenException) throw e
                commandLine.err.println("umberslip: ${e.message}")
                commandLine.err.flush()
                CommandLine.ExitCode.SOFTWARE
            }
    }
}

fun main(args: Array<String>) {
    Umberslip.configureLogging("info")
    exitProcess(Umberslip.commandLine().execute(*args))
}
