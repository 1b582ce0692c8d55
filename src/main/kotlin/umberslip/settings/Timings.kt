package umberslip.settings

import kotlin.time.Duration

/**
 * The durations on which the safety of the protocol depends.
 *
 * A leader that can no longer renew its own lease may continue to renew workers' leases for [grace], so that running
 * tasks survive a short outage of the key-value store. Meanwhile another controller may acknowledge a cancellation,
 * which takes effect at the latest when those workers' leases have expired. Therefore [leaderLeaseDuration] + [grace] +
 * [lease] + [margin] must not exceed the time allowed for a cancellation.
 *
 * @throws InvalidSettingsException if the settings leave no time for that
 */
class Timings(
    workers: WorkerSettings,
    tuning: Tuning,
) {
    val leaderLeaseDuration: Duration = tuning.leaderLeaseDuration

    /** The allowance for clock drift and late timers wherever two clocks must agree on an expiry. */
    val margin: Duration = tuning.margin

    /** How long a worker's tasks continue to run without a response. */
    val lease: Duration = workers.lease
    val grace: Duration = workers.cancel - workers.lease - leaderLeaseDuration - margin

    init {
        val leaderLeaseKey = TuningKey.LEADER_LEASE_SECONDS.path
        if (grace < Duration.ZERO) {
            throw InvalidSettingsException(
                "$leaderLeaseKey is too long: " +
                    "together with ${SettingsKey.LEASE_PATH} it must fit into ${SettingsKey.CANCEL_PATH}",
            )
        }
        if (leaderLeaseDuration < margin * 2) {
            throw InvalidSettingsException("$leaderLeaseKey must be at least twice ${TuningKey.MARGIN_SECONDS.path}")
        }
    }

    /** Returns the most time that may pass on this machine's clock while [time] passes on another machine's clock. */
    fun withClockDrift(time: Duration): Duration = time * CLOCK_DRIFT_FACTOR

    private companion object {
        /** Clocks drift apart by at most 0.05 %. The factor allows for twice that. */
        const val CLOCK_DRIFT_FACTOR = 1.001
    }
}
