package umberslip.leadership

import umberslip.records.RecordView
import kotlin.time.Duration

/** Notified when this controller begins and ceases to lead. Called on the actors' thread. */
interface LeadershipListener {
    /**
     * This controller leads.
     *
     * @param records as read after the leader's record was acquired, so with all that former leaders wrote
     * @param formerLeaseExpiry by when every worker's lease that a former leader can have renewed has expired
     */
    fun elected(
        records: RecordView,
        formerLeaseExpiry: Duration,
    )

    /** This controller does not lead any more. */
    fun steppedDown()
}
