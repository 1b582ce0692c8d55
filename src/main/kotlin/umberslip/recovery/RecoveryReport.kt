package umberslip.recovery

/**
 * What an operator learns of the recovery as a whole. [exitCode] says the same to a script; it and [jsonName] are
 * published and stay when a constant is renamed.
 */
enum class RecoveryStatus(
    val exitCode: Int,
    val jsonName: String,
) {
    /** The leader has accounted for every start that was recorded when it was elected. */
    COMPLETED(exitCode = 0, jsonName = "settled"),

    /** The leader still waits for machines. */
    RECOVERING(exitCode = 3, jsonName = "recovering"),

    /** The records name no leader: nothing is started until a controller is elected. */
    NO_LEADER(exitCode = 4, jsonName = "no_owner"),

    /** The records name a leader that was not asked, does not respond, or does not track its recovery. */
    LEADER_UNRESPONSIVE(exitCode = 5, jsonName = "owner_not_heard"),

    /** Neither the records nor a leader could be read. */
    UNKNOWN(exitCode = 6, jsonName = "unknown"),
}

/** The records as read, or why they could not be. */
sealed interface RecordsAnswer {
    /** They were read, as a new leader would load them. */
    data class Read(
        val work: RecordedWork,
    ) : RecordsAnswer

    /** The key-value store did not serve them. */
    data class Unreadable(
        val reason: String,
    ) : RecordsAnswer
}

/** The answers of the key-value store and of the controllers side by side, and the [status] that follows from them. */
class RecoveryReport(
    val records: RecordsAnswer,
    val controllers: List<ControllerAnswer>,
) {
    /** What follows from the answer with the highest term. */
    val status: RecoveryStatus = status()

    private fun status(): RecoveryStatus {
        // Of several that say they lead, one has not yet noticed its successor: the highest term counts.
        val leader = controllers.filterIsInstance<ControllerAnswer.Leader>().maxByOrNull { it.snapshot.term }
        if (leader != null && !isSuperseded(leader)) {
            val isCompleted = leader.snapshot.phase == RecoveryPhase.COMPLETED
            return if (isCompleted) RecoveryStatus.COMPLETED else RecoveryStatus.RECOVERING
        }
        return when (records) {
            is RecordsAnswer.Unreadable -> RecoveryStatus.UNKNOWN
            is RecordsAnswer.Read ->
                if (records.work.leader == null) RecoveryStatus.NO_LEADER else RecoveryStatus.LEADER_UNRESPONSIVE
        }
    }

    private fun isSuperseded(leader: ControllerAnswer.Leader): Boolean =
        when (records) {
            is RecordsAnswer.Read -> records.work.term > leader.snapshot.term
            is RecordsAnswer.Unreadable -> false
        }
}
