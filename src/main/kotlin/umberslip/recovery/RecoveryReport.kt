package umberslip.recovery

/**
 * The overall state of the recovery, as an operator sees it. [exitCode] tells scripts the same. Both [exitCode] and
 * [jsonName] are published, so they must not change when a constant is renamed.
 */
enum class RecoveryStatus(
    val exitCode: Int,
    val jsonName: String,
) {
    /** The leader has accounted for every start that was recorded when it was elected. */
    COMPLETED(exitCode = 0, jsonName = "settled"),

    /** The leader has not accounted for all of these starts yet, and still waits for machines. */
    RECOVERING(exitCode = 3, jsonName = "recovering"),

    /** The records name no leader: no tasks are started until a controller is elected. */
    NO_LEADER(exitCode = 4, jsonName = "no_owner"),

    /** The records name a leader that was not queried, does not respond, or does not track its recovery. */
    LEADER_UNRESPONSIVE(exitCode = 5, jsonName = "owner_not_heard"),

    /** Neither the records nor a leader's metrics could be read. */
    UNKNOWN(exitCode = 6, jsonName = "unknown"),
}

/** The records in the key-value store, or the reason why they could not be read. */
sealed interface RecordsAnswer {
    /** The records were read; [work] is what a new leader would load. */
    data class Read(
        val work: RecordedWork,
    ) : RecordsAnswer

    /** The key-value store did not serve the records. */
    data class Unreadable(
        val reason: String,
    ) : RecordsAnswer
}

/** The answers of the key-value store and of the controllers, and the [status] that follows from both. */
class RecoveryReport(
    val records: RecordsAnswer,
    val controllers: List<ControllerAnswer>,
) {
    /** The status according to the answer with the highest term. */
    val status: RecoveryStatus = determineStatus()

    private fun determineStatus(): RecoveryStatus {
        // A leader that has not noticed its successor yet still reports that it leads, so the highest term counts.
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
