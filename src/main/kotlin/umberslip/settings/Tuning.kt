package umberslip.settings

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Which parts of the recovery after a failover are on; all are off unless operators switch them on. */
data class RecoveryTuning(
    /** Compares records and heartbeats after a failover, and publishes the findings. */
    val track: Boolean = false,
    /** Terminates unresponsive machines that the cloud's list should show and does not. */
    val returnMissing: Boolean = false,
)

/** The operators' own settings; every one has a default. */
data class Tuning(
    /** How long the leader's record outlives its last renewal. */
    val leaderLeaseDuration: Duration = 4.seconds,
    /** Allowed for clock drift and late timers wherever two clocks must agree on an expiry. */
    val margin: Duration = 1.seconds,
    /** How long one dispatch round may take before other messages are handled. */
    val roundBudget: Duration = 8.milliseconds,
    /** Enough machines are provisioned to finish the known work in about this time. */
    val drain: Duration = 30.seconds,
    /** About how long a requested machine takes until its first heartbeat. */
    val boot: Duration = 25.seconds,
    /** A machine that is not needed is terminated after this long. */
    val idle: Duration = 15.seconds,
    val recovery: RecoveryTuning = RecoveryTuning(),
) {
    companion object {
        /** @throws InvalidSettingsException naming the setting that is unknown or invalid */
        fun parse(toml: String): Tuning = TuningParser.parse(toml)
    }
}
