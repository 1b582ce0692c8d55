package umberslip.settings

import com.electronwill.nightconfig.core.UnmodifiableConfig
import com.electronwill.nightconfig.core.io.ParsingException
import com.electronwill.nightconfig.toml.TomlParser
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** What is switched on of the recovery after a takeover; everything is off unless operators ask for it. */
data class RecoveryTuning(
    /** Compares records and heartbeats after a takeover, and publishes what it finds. */
    val track: Boolean = false,
    /** Returns silent machines that the cloud's list should show and does not. */
    val returnMissing: Boolean = false,
)

/** The operators' own settings (TOML); every one has a default. */
data class Tuning(
    /** How long the leader's record outlives its last renewal. */
    val leaderLeaseDuration: Duration = 4.seconds,
    /** Set aside for clock drift and late timers wherever two clocks must agree on an end. */
    val margin: Duration = 1.seconds,
    /** How long one round of placing may take before others get their turn. */
    val roundBudget: Duration = 8.milliseconds,
    /** Enough machines are kept to finish the known work in about this time. */
    val drain: Duration = 30.seconds,
    /** About as long as a rented machine takes until it works. */
    val boot: Duration = 25.seconds,
    /** A machine that is not needed is returned after this long. */
    val idle: Duration = 15.seconds,
    val recovery: RecoveryTuning = RecoveryTuning(),
) {
    companion object {
        fun parse(toml: String): Tuning {
            val config =
                try {
                    TomlParser().parse(toml)
                } catch (e: ParsingException) {
                    throw InvalidSettingsException("operators' settings: ${e.message}")
                }
            val known =
                mapOf(
                    "ownership" to setOf("hold_s", "margin_s"),
                    "dispatch" to setOf("round_budget_ms"),
                    "fleet" to setOf("drain_s", "boot_s", "idle_s"),
                    "recovery" to setOf("track", "return_missing"),
                )
            for (section in config.entrySet()) {
                val names =
                    known[section.key] ?: throw InvalidSettingsException("operators' settings: unknown section ${section.key}")
                val table =
                    section.getRawValue<Any?>() as? UnmodifiableConfig
                        ?: throw InvalidSettingsException("operators' settings: ${section.key} is not a section")
                for (entry in table.entrySet()) {
                    if (entry.key !in names) {
                        throw InvalidSettingsException("operators' settings: unknown ${section.key}.${entry.key}")
                    }
                }
            }

            fun number(path: String): Double? =
                when (val it = config.get<Any?>(path)) {
                    null -> null
                    is Number -> {
                        it.toDouble().also { n ->
                            if (n <= 0) throw InvalidSettingsException("operators' settings: $path must be above 0")
                        }
                    }
                    else -> throw InvalidSettingsException("operators' settings: $path is not a number")
                }

            fun flag(path: String): Boolean? =
                when (val it = config.get<Any?>(path)) {
                    null -> null
                    is Boolean -> it
                    else -> throw InvalidSettingsException("operators' settings: $path is not true or false")
                }
            val d = Tuning()
            return Tuning(
                leaderLeaseDuration = number("ownership.hold_s")?.seconds ?: d.leaderLeaseDuration,
                margin = number("ownership.margin_s")?.seconds ?: d.margin,
                roundBudget = number("dispatch.round_budget_ms")?.milliseconds ?: d.roundBudget,
                drain = number("fleet.drain_s")?.seconds ?: d.drain,
                boot = number("fleet.boot_s")?.seconds ?: d.boot,
                idle = number("fleet.idle_s")?.seconds ?: d.idle,
                recovery =
                    RecoveryTuning(
                        track = flag("recovery.track") ?: d.recovery.track,
                        returnMissing = flag("recovery.return_missing") ?: d.recovery.returnMissing,
                    ),
            )
        }
    }
}

/**
 * The times that safety rests on.
 *
 * An leader that can no longer renew may go on answering heartbeats for [grace], so that running work
 * survives a short outage. A cancellation may meanwhile be told by another controller, and bites at
 * the latest once the leases renewed by those answers have run out: ownerLease + grace + lease + margin
 * must fit into the time that a cancellation has.
 */
class Timings(
    workers: WorkerSettings,
    tuning: Tuning,
) {
    val leaderLeaseDuration: Duration = tuning.leaderLeaseDuration
    val margin: Duration = tuning.margin
    val lease: Duration = workers.lease
    val grace: Duration = workers.cancel - workers.lease - leaderLeaseDuration - margin

    init {
        if (grace < Duration.ZERO) {
            throw InvalidSettingsException(
                "ownership.hold_s is too long: " +
                    "with settings.workers.lease_s it must fit into settings.workers.cancel_s",
            )
        }
        if (leaderLeaseDuration < margin * 2) throw InvalidSettingsException("ownership.hold_s must be at least twice ownership.margin_s")
    }

    /** The clocks of two machines drift apart by at most this share. */
    fun stretched(time: Duration): Duration = time * STRETCH

    private companion object {
        /** Clocks drift apart by at most 0.05 %; twice that is allowed for. */
        const val STRETCH = 1.001
    }
}
