package umberslip.records

import umberslip.core.JobId
import umberslip.core.MachineName

/** A change of the records that controllers act on. */
sealed interface RecordEvent {
    /** A job was accepted, or cancelled. */
    data class JobChanged(
        val id: JobId,
        val job: Versioned<JobRecord>,
    ) : RecordEvent

    /** The job's record was removed: the job finished, and its [OutcomeRecord] says how. */
    data class JobRemoved(
        val id: JobId,
    ) : RecordEvent

    /** A follower lately renewed the leases of these machines on the leader's behalf. */
    data class LeasesRenewedByFollower(
        val machineNames: Set<MachineName>,
    ) : RecordEvent

    /** A leader was elected; null where the leader resigned or its lease expired. */
    data class LeaderChanged(
        val leader: Versioned<LeaderRecord>?,
    ) : RecordEvent
}
