package umberslip.recovery

/** What one controller says of the recovery, or why it says nothing; [address] is that of its HTTP interface. */
sealed interface ControllerAnswer {
    val address: String

    /** It leads; the snapshot is that of its term. */
    data class Leader(
        override val address: String,
        val snapshot: RecoverySnapshot,
    ) : ControllerAnswer

    /** It tracks recovery and does not lead. */
    data class NotLeader(
        override val address: String,
    ) : ControllerAnswer

    /** It serves metrics, and recovery is not tracked there. */
    data class NotTracked(
        override val address: String,
    ) : ControllerAnswer

    /** It could not be asked, or did not answer as a controller does. */
    data class Unreachable(
        override val address: String,
        val reason: String,
    ) : ControllerAnswer
}
