package umberslip.cli

import picocli.CommandLine
import picocli.CommandLine.Command
import umberslip.daemon.ListenException
import umberslip.settings.InvalidSettingsException
import java.util.concurrent.Callable
import kotlin.system.exitProcess

private const val VERSION = "umberslip 0.1.0"

/** The program `umberslip`; its commands do the work. */
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
        /** To be called before the first logger is made, since slf4j-simple reads its settings only then. */
        fun configureLogging(defaultLevel: String) {
            System.setProperty("org.slf4j.simpleLogger.defaultLogLevel", System.getenv("LOG_LEVEL") ?: defaultLevel)
            System.setProperty("org.slf4j.simpleLogger.log.io.netty", "error")
            System.setProperty("org.slf4j.simpleLogger.showThreadName", "false")
            System.setProperty("org.slf4j.simpleLogger.showShortLogName", "true")
        }

        /** What the operator can mend is said in one line and ends with code 1; anything else is a defect. */
        fun commandLine(): CommandLine =
            CommandLine(Umberslip()).setExecutionExceptionHandler { e, line, _ ->
                if (e !is InvalidSettingsException && e !is ListenException) throw e
                line.err.println("umberslip: ${e.message}")
                line.err.flush()
                CommandLine.ExitCode.SOFTWARE
            }
    }
}

fun main(args: Array<String>) {
    Umberslip.configureLogging("info")
    exitProcess(Umberslip.commandLine().execute(*args))
}
