package umberslip.recovery

/**
 * A controller's answer to a query for its recovery metrics, or the reason why there is none. [address] is that of its
 * HTTP interface.
 */
sealed interface ControllerAnswer {
    val address: String

    /** The controller leads; [snapshot] shows the recovery of its term. */
    data class Leader(
        override val address: String,
        val snapshot: RecoverySnapshot,
    ) : ControllerAnswer

    /** The controller tracks recovery but does not lead. */
    data class NotLeader(
        override val address: String,
    ) : ControllerAnswer

    /** The controller serves metrics but does not track recovery. */
    data class NotTracked(
        override val address: String,
    ) : ControllerAnswer

    /** The controller could not be reached, or did not respond with metrics. */
    data class Unreachable(
        override val address: String,
        val reason: String,
    ) : ControllerAnswer
}
