package umberslip.recovery

import umberslip.core.Term
import kotlin.time.Duration

/**
 * The progress of a new leader in reconciling the records with what is on the machines. The order of the constants is
 * published, since a metric has the ordinal. [jsonName] is published, too, and must not change when a constant is
 * renamed.
 */
enum class RecoveryPhase(
    val jsonName: String,
) {
    /** No machine has been reconciled yet, and some have recorded tasks. */
    WAITING("waiting"),

    /** Some machines have been reconciled; others with recorded tasks are neither reconciled nor lost yet. */
    ADOPTING("adopting"),

    /** Every recorded start is accounted for. */
    COMPLETED("settled"),
}

/** The state of a recovery at one moment, as operators see it. Times count from the election of the leader. */
data class RecoverySnapshot(
    val term: Term,
    val phase: RecoveryPhase,
    val elapsed: Duration,
    /** The number of started tasks in the records that the leader loaded. */
    val recordedTasks: Int,
    /** The number of machines with recorded tasks that are neither reconciled nor lost. */
    val unreconciledMachines: Int,
    /**
     * The number of tasks recorded on unreconciled machines. They count as running until their machine is reconciled or
     * certainly runs nothing any more.
     */
    val unreconciledTasks: Int,
    /** The number of tasks recorded on machines that were lost before they were reconciled. They are requeued. */
    val lostTasks: Int,
    /** The number of tasks with each finding; findings without tasks are omitted. */
    val findings: Map<ReconciliationFinding, Int>,
    /** The time until the first recorded task was found running; null before that. */
    val firstAdoptionAfter: Duration?,
    /** The time until nine tenths of the recorded tasks were reconciled or lost; null before that. */
    val mostAccountedForAfter: Duration?,
    /** The time until the recovery was completed; null before that. */
    val completedAfter: Duration?,
)
