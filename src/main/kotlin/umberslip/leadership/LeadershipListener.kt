package umberslip.leadership

import umberslip.records.RecordView
import kotlin.time.Duration

/** A listener that is notified on the actors' thread when this controller becomes the leader and when it steps down. */
interface LeadershipListener {
    /**
     * Called when this controller has become the leader.
     *
     * @param records the records as read after the leader's record was acquired; they include everything that former
     *   leaders wrote
     * @param formerLeaseExpiry the time by which every worker's lease that a former leader may have renewed has
     *   expired
     */
    fun elected(
        records: RecordView,
        formerLeaseExpiry: Duration,
    )

    /** Called when this controller no longer leads. */
    fun steppedDown()
}
