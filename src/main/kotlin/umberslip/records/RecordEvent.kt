package umberslip.records

import umberslip.core.JobId
import umberslip.core.MachineName

/** A change of the records to which controllers react. */
sealed interface RecordEvent {
    /** A job was accepted or cancelled. */
    data class JobChanged(
        val id: JobId,
        val job: Versioned<JobRecord>,
    ) : RecordEvent

    /** The job's record was removed because the job finished. Its outcome is in the [OutcomeRecord]. */
    data class JobRemoved(
        val id: JobId,
    ) : RecordEvent

    /** A follower recently renewed the leases of these machines on the leader's behalf. */
    data class LeasesRenewedByFollower(
        val machineNames: Set<MachineName>,
    ) : RecordEvent

    /** A leader was elected, or [leader] is null because the leader stepped down or its lease expired. */
    data class LeaderChanged(
        val leader: Versioned<LeaderRecord>?,
    ) : RecordEvent
}
