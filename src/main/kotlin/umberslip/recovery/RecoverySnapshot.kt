package umberslip.recovery

import umberslip.core.Term
import kotlin.time.Duration

/**
 * How far a new leader has come with reconciling the records with what is on the machines. The order is published: a
 * metric has the ordinal. [jsonName] is published, too, and stays when a constant is renamed.
 */
enum class RecoveryPhase(
    val jsonName: String,
) {
    /** No machine with recorded tasks has sent a heartbeat yet. */
    WAITING("waiting"),

    /** Some have; the others are still to be reconciled or to be given up. */
    ADOPTING("adopting"),

    /** Every recorded start is accounted for. */
    COMPLETED("settled"),
}

/** A recovery at one moment, as operators see it. Times are counted from the election of the leader. */
data class RecoverySnapshot(
    val term: Term,
    val phase: RecoveryPhase,
    val elapsed: Duration,
    /** Started tasks in the records that the leader loaded. */
    val recordedTasks: Int,
    /** Machines with recorded tasks that are neither reconciled nor given up. */
    val unreconciledMachines: Int,
    /** Tasks recorded on unreconciled machines: they count as running until these are certainly terminated. */
    val unreconciledTasks: Int,
    /** Tasks recorded on machines that were given up: they wait to be started again. */
    val lostTasks: Int,
    /** How many tasks were found in which way; findings without tasks are left out. */
    val findings: Map<ReconciliationFinding, Int>,
    /** When the first recorded task was found running; null before that. */
    val firstAdoptionAfter: Duration?,
    /** When nine tenths of the recorded tasks were reconciled or lost; null before that. */
    val mostAccountedForAfter: Duration?,
    /** When the recovery was completed; null before that. */
    val completedAfter: Duration?,
)
