package umberslip.settings

import kotlin.time.Duration

/**
 * The times that safety rests on.
 *
 * A leader that can no longer renew its lease may go on renewing workers' leases for [grace], so that running work
 * survives a short outage of the key-value store. Meanwhile another controller may acknowledge a cancellation, which
 * takes effect at the latest once those leases have expired: [leaderLeaseDuration] + [grace] + [lease] + [margin] must
 * fit into the time that a cancellation has.
 *
 * @throws InvalidSettingsException where the settings leave no time for that
 */
class Timings(
    workers: WorkerSettings,
    tuning: Tuning,
) {
    val leaderLeaseDuration: Duration = tuning.leaderLeaseDuration

    /** Allowed for clock drift and late timers wherever two clocks must agree on an expiry. */
    val margin: Duration = tuning.margin

    /** How long a worker's tasks go on without a response. */
    val lease: Duration = workers.lease
    val grace: Duration = workers.cancel - workers.lease - leaderLeaseDuration - margin

    init {
        val leaderLeaseKey = TuningKey.LEADER_LEASE_SECONDS.path
        if (grace < Duration.ZERO) {
            throw InvalidSettingsException(
                "$leaderLeaseKey is too long: " +
                    "with ${SettingsKey.LEASE_PATH} it must fit into ${SettingsKey.CANCEL_PATH}",
            )
        }
        if (leaderLeaseDuration < margin * 2) {
            throw InvalidSettingsException("$leaderLeaseKey must be at least twice ${TuningKey.MARGIN_SECONDS.path}")
        }
    }

    /** A time on another machine's clock, as the most that may pass on this one's. */
    fun withClockDrift(time: Duration): Duration = time * STRETCH

    private companion object {
        /** Clocks drift apart by at most 0.05 %; twice that is allowed for. */
        const val STRETCH = 1.001
    }
}
