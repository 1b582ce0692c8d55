package umberslip.agents

import umberslip.cloud.HostName
import umberslip.http.Fields
import umberslip.http.Malformed
import umberslip.records.TaskId
import umberslip.records.Term

enum class PieceStatus(val word: String) {
    FETCHING("fetching"), GATHERING("gathering"), RUNNING("running"), SAVING("saving"), ENDED("ended");

    companion object {
        fun of(word: String): PieceStatus? = entries.find { it.word == word }
    }
}

enum class Cause(val word: String) {
    DONE("done"), HALTED("halted"), PEERS("peers"), ALONE("alone"), ERROR("error"), FULL("full"), BUSY("busy"), UNKNOWN("unknown");

    companion object {
        /** A cause from a later protocol counts as a failure of no known kind. */
        fun of(word: String?): Cause = entries.find { it.word == word } ?: ERROR
    }
}

data class Piece(val task: TaskId, val attempt: Long, val status: PieceStatus, val cause: Cause?, val saved: Boolean)

/** What a worker says of its machine. */
data class Report(
    val host: HostName,
    val type: String,
    val zone: String,
    val spot: Boolean,
    val shift: Long,
    val counter: Long,
    val warrant: Term,
    val warningSeconds: Double?,
    val pieces: List<Piece>,
) {
    companion object {
        fun parse(f: Fields): Report = Report(
            HostName(f.text("host").ifEmpty { throw Malformed("host is empty") }),
            f.text("hosttype"),
            f.text("hall"),
            f.flagOrNull("reclaimable") ?: false,
            f.long("shift"),
            f.long("counter"),
            Term(f.long("warrant")),
            f.numberOrNull("warning_s"),
            f.mapsOrEmpty("pieces").map {
                val status = PieceStatus.of(it.text("status")) ?: throw Malformed("unknown status of a piece")
                Piece(
                    TaskId.parse(it.text("piece")) ?: throw Malformed("piece is not a task id"),
                    it.long("try"),
                    status,
                    if (status == PieceStatus.ENDED) Cause.of(it.textOrNull("cause")) else null,
                    it.flagOrNull("saved") ?: false,
                )
            },
        )
    }
}

/** A command to a worker. */
sealed interface Order {
    val task: TaskId
    val attempt: Long

    fun toMap(): Map<String, Any?>

    data class Start(override val task: TaskId, override val attempt: Long) : Order {
        override fun toMap() = mapOf("verb" to "start", "piece" to task.toString(), "try" to attempt)
    }

    data class Stop(override val task: TaskId, override val attempt: Long, val windDownSeconds: Double) : Order {
        override fun toMap() =
            mapOf("verb" to "stop", "piece" to task.toString(), "try" to attempt, "wind_down_s" to windDownSeconds)
    }

    data class Clear(override val task: TaskId, override val attempt: Long) : Order {
        override fun toMap() = mapOf("verb" to "clear", "piece" to task.toString(), "try" to attempt)
    }
}
