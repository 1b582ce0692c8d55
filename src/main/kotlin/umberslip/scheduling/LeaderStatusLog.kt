package umberslip.scheduling

import org.slf4j.Logger
import umberslip.leadership.LeaderLease
import umberslip.leadership.Permission
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Logs the leader's permissions, and the ages of the lease renewal and of the read of the records that they depend on.
 * A line is logged whenever the permission to start tasks changes, and at a regular interval.
 */
internal class LeaderStatusLog(
    private val leaderLease: LeaderLease,
    private val log: Logger,
) {
    private var permission = Permission.NOT_LEADING
    private var lastLoggedAt = Duration.ZERO

    /** Logs a line if one is due; called on every tick while this controller leads. */
    fun logIfDue(now: Duration) {
        val current = leaderLease.permissionToStart(now)
        if (current == permission && now - lastLoggedAt < LOG_INTERVAL) return
        permission = current
        lastLoggedAt = now
        log.info(
            "leader status: term={} starts={} answers={} lease_renewed_ago={} records_read_ago={}",
            leaderLease.term?.value,
            current,
            leaderLease.permissionToAnswer(now),
            now - leaderLease.renewedAt,
            now - leaderLease.readAt,
        )
    }

    private companion object {
        val LOG_INTERVAL = 10.seconds
    }
}
