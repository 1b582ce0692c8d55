package umberslip.cli

import picocli.CommandLine
import picocli.CommandLine.Command
import picocli.CommandLine.Option
import umberslip.daemon.Daemon
import umberslip.settings.InvalidSettingsException
import umberslip.settings.Settings
import umberslip.settings.Timings
import umberslip.settings.Tuning
import java.io.IOException
import java.nio.file.Files
import java.nio.file.Path
import java.util.concurrent.Callable
import kotlin.system.exitProcess

private const val VERSION = "umberslip 0.1.0"

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
        /** slf4j-simple reads its settings once, before the first logger is made. */
        fun configureLogging(defaultLevel: String) {
            System.setProperty("org.slf4j.simpleLogger.defaultLogLevel", System.getenv("LOG_LEVEL") ?: defaultLevel)
            System.setProperty("org.slf4j.simpleLogger.log.io.netty", "error")
            System.setProperty("org.slf4j.simpleLogger.showThreadName", "false")
            System.setProperty("org.slf4j.simpleLogger.showShortLogName", "true")
        }
    }
}

/** The two files that a controller reads. */
abstract class WithSettings {
    @Option(names = ["--config"], required = true, paramLabel = "F", description = ["the platform's settings (JSON)"])
    lateinit var config: Path

    @Option(names = ["--tuning"], paramLabel = "F", description = ["the operators' own settings (TOML)"])
    var tuningFile: Path? = null

    protected fun load(): Pair<Settings, Tuning> {
        val settings = Settings.parse(read(config))
        val tuning = tuningFile?.let { Tuning.parse(read(it)) } ?: Tuning()
        Timings(settings.workers, tuning)
        return settings to tuning
    }

    private fun read(file: Path): String =
        try {
            Files.readString(file)
        } catch (e: IOException) {
            throw InvalidSettingsException("$file cannot be read: ${e.message}")
        }
}

@Command(name = "serve", mixinStandardHelpOptions = true, description = ["Run a controller until it is killed."])
class Serve :
    WithSettings(),
    Callable<Int> {
    override fun call(): Int {
        val (settings, tuning) = load()
        Daemon(settings, tuning).run()
        return 0
    }
}

@Command(name = "check", mixinStandardHelpOptions = true, description = ["Check the settings files and exit."])
class Check :
    WithSettings(),
    Callable<Int> {
    override fun call(): Int {
        val (settings, _) = load()
        println("${settings.member}: settings are valid (${settings.teams.size} teams, ${settings.zones.size} zones)")
        return 0
    }
}

/** Used by the build: runs the code that a start needs, so that its classes go into the archive. */
@Command(name = "warm-up", hidden = true)
class WarmUp : Callable<Int> {
    override fun call(): Int {
        ClassWarmUp.run()
        return 0
    }
}

fun main(args: Array<String>) {
    Umberslip.configureLogging("info")
    val line = CommandLine(Umberslip())
    line.setExecutionExceptionHandler { e, _, _ ->
        if (e !is InvalidSettingsException) throw e
        System.err.println("umberslip: ${e.message}")
        CommandLine.ExitCode.SOFTWARE
    }
    exitProcess(line.execute(*args))
}
