package umberslip.settings

import com.electronwill.nightconfig.core.Config
import com.electronwill.nightconfig.core.UnmodifiableConfig
import com.electronwill.nightconfig.core.io.ParsingException
import com.electronwill.nightconfig.toml.TomlParser
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** A key of the operators' settings file, with its section and its name in that section. */
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

    /** The full path of the key, for messages and for lookups by the TOML library. */
    val path: String get() = "$section.$key"
}

/**
 * Reads and validates the operators' settings file (TOML). Rejects unknown settings, since they are more likely
 * misspelt than meant for another version.
 */
internal object TuningParser {
    fun parse(toml: String): Tuning {
        val config = read(toml)
        config.entrySet().forEach(::checkSection)
        val default = Tuning()
        return Tuning(
            leaderLeaseDuration =
                positiveNumber(config, TuningKey.LEADER_LEASE_SECONDS)?.seconds ?: default.leaderLeaseDuration,
            margin = positiveNumber(config, TuningKey.MARGIN_SECONDS)?.seconds ?: default.margin,
            roundBudget = positiveNumber(config, TuningKey.ROUND_BUDGET_MILLIS)?.milliseconds ?: default.roundBudget,
            drain = positiveNumber(config, TuningKey.DRAIN_SECONDS)?.seconds ?: default.drain,
            boot = positiveNumber(config, TuningKey.BOOT_SECONDS)?.seconds ?: default.boot,
            idle = positiveNumber(config, TuningKey.IDLE_SECONDS)?.seconds ?: default.idle,
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
        val knownKeys = TuningKey.entries.filter { it.section == section.key }.map { it.key }
        if (knownKeys.isEmpty()) throw invalid("unknown section ${section.key}")
        val table = section.getRawValue<Any?>()
        if (table !is UnmodifiableConfig) throw invalid("${section.key} is not a section")
        for (entry in table.entrySet()) {
            if (entry.key !in knownKeys) throw invalid("unknown setting ${section.key}.${entry.key}")
        }
    }

    private fun positiveNumber(
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

    private fun invalid(reason: String?) = InvalidSettingsException("operators' settings: $reason")
}
