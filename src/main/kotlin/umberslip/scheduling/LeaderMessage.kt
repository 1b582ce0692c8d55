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

    /** A worker's heartbeat. [respond] is called at most once; not for a machine that is terminated meanwhile. */
    class HeartbeatReceived(
        val heartbeat: Heartbeat,
        val respond: (Response) -> Unit,
    ) : LeaderMessage

    // ---- from leader election ----

    /** This controller leads; see [umberslip.leadership.LeadershipListener.elected]. */
    class Elected(
        val records: RecordView,
        val formerLeaseExpiry: Duration,
    ) : LeaderMessage

    /** This controller does not lead any more. */
    data object SteppedDown : LeaderMessage

    // ---- from the record watcher ----

    /** Records changed, in this order. */
    class RecordsChanged(
        val events: List<RecordEvent>,
    ) : LeaderMessage

    // ---- from provisioning ----

    /** The cloud's instance types, all of them. */
    class InstanceTypesChanged(
        val all: List<InstanceType>,
    ) : LeaderMessage

    /** Asks for what the provisioner plans from: null while not leading. The answer also says how long it took. */
    class TakeSnapshot(
        val answer: (ClusterSnapshot?, Duration) -> Unit,
    ) : LeaderMessage

    /** [machineNames] get no new tasks, all others may; from [emptied] tasks that save checkpoints migrate. */
    class Drain(
        val machineNames: Set<MachineName>,
        val emptied: Set<MachineName>,
    ) : LeaderMessage

    /**
     * Asks which of [machineNames] may be terminated: those without tasks, or all of them if [evenIfBusy]. These get no
     * more responses.
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

    // ---- from the leader's own parts ----

    /**
     * The write of [batch] ended; [result] is null where it was not applied, or its outcome was resolved. It concerns
     * [scheduler] alone, which may be that of a former term.
     */
    class WriteCompleted(
        val scheduler: SchedulerState,
        val batch: WriteBatch,
        val result: TransactionResult?,
    ) : LeaderMessage

    /** Dispatch to this machine goes on, unless it sent a newer heartbeat meanwhile. */
    class ContinueDispatch(
        val machineName: MachineName,
        val heartbeatVersion: HeartbeatVersion,
    ) : LeaderMessage

    /** The outcome of a job that others depend on, for the state that asked; null where it could not be read. */
    class OutcomeRead(
        val scheduler: SchedulerState,
        val id: JobId,
        val outcome: JobOutcome?,
    ) : LeaderMessage

    /** Time passes. */
    data object Tick : LeaderMessage

    /** The next batch may be written. */
    data object Flush : LeaderMessage
}
