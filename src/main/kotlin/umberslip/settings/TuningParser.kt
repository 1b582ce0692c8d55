package umberslip.settings

import com.electronwill.nightconfig.core.Config
import com.electronwill.nightconfig.core.UnmodifiableConfig
import com.electronwill.nightconfig.core.io.ParsingException
import com.electronwill.nightconfig.toml.TomlParser
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** A key of the operators' settings file, by its section and its name there. */
internal enum class TuningKey(
    val section: String,
    val key: String,
) {
    LEADER_LEASE_SECONDS("ownership", "hold_s"),
    MARGIN_SECONDS("ownership", "margin_s"),
    ROUND_BUDGET_MILLIS("dispatch", "round_budget_ms"),
    DRAIN_SECONDS("fleet", "drain_s"),
    BOOT_SECONDS("fleet", "boot_s"),
    IDLE_SECONDS("fleet", "idle_s"),
    TRACK("recovery", "track"),
    RETURN_MISSING("recovery", "return_missing"),
    ;

    /** As it is written in messages, and as the TOML library looks it up. */
    val path: String get() = "$section.$key"
}

/**
 * Reads and validates the operators' settings file (TOML). Unknown settings are errors: they are more likely misspelt
 * than meant for another version.
 */
internal object TuningParser {
    fun parse(toml: String): Tuning {
        val config = read(toml)
        config.entrySet().forEach(::checkSection)
        val default = Tuning()
        return Tuning(
            leaderLeaseDuration =
                number(config, TuningKey.LEADER_LEASE_SECONDS)?.seconds ?: default.leaderLeaseDuration,
            margin = number(config, TuningKey.MARGIN_SECONDS)?.seconds ?: default.margin,
            roundBudget = number(config, TuningKey.ROUND_BUDGET_MILLIS)?.milliseconds ?: default.roundBudget,
            drain = number(config, TuningKey.DRAIN_SECONDS)?.seconds ?: default.drain,
            boot = number(config, TuningKey.BOOT_SECONDS)?.seconds ?: default.boot,
            idle = number(config, TuningKey.IDLE_SECONDS)?.seconds ?: default.idle,
            recovery =
                RecoveryTuning(
                    track = flag(config, TuningKey.TRACK) ?: default.recovery.track,
                    returnMissing = flag(config, TuningKey.RETURN_MISSING) ?: default.recovery.returnMissing,
                ),
        )
    }

    private fun read(toml: String): Config =
        try {
            TomlParser().parse(toml)
        } catch (e: ParsingException) {
            throw invalid(e.message)
        }

    private fun checkSection(section: UnmodifiableConfig.Entry) {
        val known = TuningKey.entries.filter { it.section == section.key }.map { it.key }
        if (known.isEmpty()) throw invalid("unknown section ${section.key}")
        val table = section.getRawValue<Any?>()
        if (table !is UnmodifiableConfig) throw invalid("${section.key} is not a section")
        for (entry in table.entrySet()) {
            if (entry.key !in known) throw invalid("unknown ${section.key}.${entry.key}")
        }
    }

    private fun number(
        config: Config,
        key: TuningKey,
    ): Double? {
        val value = config.get<Any?>(key.path) ?: return null
        if (value !is Number) throw invalid("${key.path} is not a number")
        val number = value.toDouble()
        if (number <= 0) throw invalid("${key.path} must be above 0")
        return number
    }

    private fun flag(
        config: Config,
        key: TuningKey,
    ): Boolean? {
        val value = config.get<Any?>(key.path) ?: return null
        return value as? Boolean ?: throw invalid("${key.path} is not true or false")
    }

    private fun invalid(what: String?) = InvalidSettingsException("operators' settings: $what")
}
