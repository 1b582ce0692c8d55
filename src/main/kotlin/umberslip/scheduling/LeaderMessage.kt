package umberslip.scheduling

import umberslip.agents.Heartbeat
import umberslip.agents.HeartbeatVersion
import umberslip.cloud.InstanceType
import umberslip.core.JobId
import umberslip.core.MachineName
import umberslip.http.Response
import umberslip.records.JobOutcome
import umberslip.records.RecordEvent
import umberslip.records.RecordView
import umberslip.store.TransactionResult
import kotlin.time.Duration

/** A message to the [Leader] actor. */
sealed interface LeaderMessage {
    // ---- from workers ----

    /**
     * A worker sent a heartbeat. [respond] is called at most once, and may not be called at all if the machine is
     * terminated in the meantime.
     */
    class HeartbeatReceived(
        val heartbeat: Heartbeat,
        val respond: (Response) -> Unit,
    ) : LeaderMessage

    // ---- from leader election ----

    /** This controller was elected as the leader; see [umberslip.leadership.LeadershipListener.elected]. */
    class Elected(
        val records: RecordView,
        val formerLeaseExpiry: Duration,
    ) : LeaderMessage

    /** This controller is no longer the leader. */
    data object SteppedDown : LeaderMessage

    // ---- from the record watcher ----

    /** Records changed; [events] are in the order of the changes. */
    class RecordsChanged(
        val events: List<RecordEvent>,
    ) : LeaderMessage

    // ---- from provisioning ----

    /** The cloud offers these [instanceTypes] now, and no others. */
    class InstanceTypesChanged(
        val instanceTypes: List<InstanceType>,
    ) : LeaderMessage

    /**
     * Asks for the snapshot that the provisioner plans from. [answer] receives the snapshot, which is null while this
     * controller does not lead, and the time that it took to create.
     */
    class TakeSnapshot(
        val answer: (ClusterSnapshot?, Duration) -> Unit,
    ) : LeaderMessage

    /**
     * Stops the placement of new tasks on [machineNames] and allows it on all other machines. Tasks that save
     * checkpoints are migrated off [machinesToEmpty] where possible.
     */
    class Drain(
        val machineNames: Set<MachineName>,
        val machinesToEmpty: Set<MachineName>,
    ) : LeaderMessage

    /**
     * Asks which of [machineNames] may be terminated: those without tasks, or all of them if [evenIfBusy]. No commands
     * are sent to the machines in the answer from then on.
     */
    class PrepareTermination(
        val machineNames: Set<MachineName>,
        val evenIfBusy: Boolean,
        val answer: (List<MachineName>) -> Unit,
    ) : LeaderMessage

    /** The cloud has terminated these machines. */
    class Terminated(
        val machineNames: List<MachineName>,
    ) : LeaderMessage

    // ---- from the leader's own components ----

    /**
     * The write of [batch] ended. [result] is null if the store refused the batch, if the write failed unexpectedly, or
     * if the outcome was indeterminate and has been resolved. The result concerns only [scheduler], which may be the
     * state of a former term.
     */
    class WriteCompleted(
        val scheduler: SchedulerState,
        val batch: WriteBatch,
        val result: TransactionResult?,
    ) : LeaderMessage

    /** Continues dispatch to a machine, unless it has sent a heartbeat newer than [heartbeatVersion]. */
    class ContinueDispatch(
        val machineName: MachineName,
        val heartbeatVersion: HeartbeatVersion,
    ) : LeaderMessage

    /**
     * The outcome of a job that others depend on was read for [scheduler]. [outcome] is null if it could not be read or
     * does not exist yet.
     */
    class OutcomeRead(
        val scheduler: SchedulerState,
        val id: JobId,
        val outcome: JobOutcome?,
    ) : LeaderMessage

    /** Sent several times a second, for work that becomes due with time. */
    data object Tick : LeaderMessage

    /** The write rate allows the next batch. */
    data object Flush : LeaderMessage
}
