package umberslip.cli

import picocli.CommandLine.Option
import umberslip.settings.InvalidSettingsException
import umberslip.settings.Settings
import umberslip.settings.Timings
import umberslip.settings.Tuning
import java.io.IOException
import java.nio.file.Files
import java.nio.file.NoSuchFileException
import java.nio.file.Path

/** Both settings files after they were read, validated and checked against each other. */
data class LoadedSettings(
    val settings: Settings,
    val tuning: Tuning,
)

/** The options of all commands that read a controller's two settings files. */
abstract class SettingsOptions {
    @Option(names = ["--config"], required = true, paramLabel = "F", description = ["the platform's settings (JSON)"])
    lateinit var config: Path

    @Option(names = ["--tuning"], paramLabel = "F", description = ["the operators' own settings (TOML)"])
    var tuningFile: Path? = null

    /** @throws InvalidSettingsException with a message that names the file, the key if there is one, and the problem */
    protected fun load(): LoadedSettings {
        val settings = parse(config, Settings::parse)
        val tuning = tuningFile?.let { parse(it, Tuning::parse) } ?: Tuning()
        checkCombination(settings, tuning)
        return LoadedSettings(settings, tuning)
    }

    private fun <T> parse(
        file: Path,
        parse: (String) -> T,
    ): T {
        val text = read(file)
        return try {
            parse(text)
        } catch (e: InvalidSettingsException) {
            throw InvalidSettingsException("$file: ${e.message}")
        }
    }

    private fun read(file: Path): String =
        try {
            Files.readString(file)
        } catch (_: NoSuchFileException) {
            throw InvalidSettingsException("$file cannot be read: no such file")
        } catch (e: IOException) {
            throw InvalidSettingsException("$file cannot be read: ${e.message}")
        }

    /**
     * Checks bounds that depend on both files. The error names the tuning file if there is one, since the platform's
     * settings are given and only the tuning can be changed.
     */
    private fun checkCombination(
        settings: Settings,
        tuning: Tuning,
    ) {
        try {
            Timings(settings.workers, tuning)
        } catch (e: InvalidSettingsException) {
            throw InvalidSettingsException("${tuningFile ?: config}: ${e.message}")
        }
    }
}
