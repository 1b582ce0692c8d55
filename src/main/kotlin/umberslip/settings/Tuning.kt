package umberslip.settings

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** The optional parts of the recovery after a failover. All are off unless operators switch them on. */
data class RecoveryTuning(
    /** Whether records and heartbeats are compared after a failover, and the findings published. */
    val track: Boolean = false,
    /** Whether unresponsive machines are terminated if they are missing from a cloud's list that should show them. */
    val returnMissing: Boolean = false,
)

/** The operators' settings. Each has a default. */
data class Tuning(
    /** How long the leader's record is kept after its last renewal. */
    val leaderLeaseDuration: Duration = 4.seconds,
    /** The allowance for clock drift and late timers wherever two clocks must agree on an expiry. */
    val margin: Duration = 1.seconds,
    /** The maximum duration of a dispatch round, after which other messages are handled. */
    val roundBudget: Duration = 8.milliseconds,
    /** The approximate time in which the provisioned machines should finish all known work. */
    val drain: Duration = 30.seconds,
    /** The approximate time from the request for a machine to its first heartbeat. */
    val boot: Duration = 25.seconds,
    /** How long a machine is not needed before it is terminated. */
    val idle: Duration = 15.seconds,
    val recovery: RecoveryTuning = RecoveryTuning(),
) {
    companion object {
        /** @throws InvalidSettingsException if a setting is unknown or invalid; the message names it */
        fun parse(toml: String): Tuning = TuningParser.parse(toml)
    }
}
