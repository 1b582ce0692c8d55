package umberslip.settings

import umberslip.http.Documents
import umberslip.http.Fields
import umberslip.http.MalformedMessageException
import java.net.InetSocketAddress
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** A setting is missing or makes no sense; the message names it. */
class InvalidSettingsException(
    message: String,
) : Exception(message)

data class Peer(
    val member: String,
    val area: String,
    val address: InetSocketAddress,
)

/** What a team is guaranteed and limited to; null where the settings say 0, which means none. */
data class TeamSettings(
    val name: String,
    val cpus: Double,
    val gpus: Double,
    val cpusMax: Double?,
    val gpusMax: Double?,
)

sealed interface Objective {
    data class Finished(
        val jobClass: String,
        val within: Duration,
    ) : Objective

    data class Deadline(
        val jobClass: String,
        val times: Double,
    ) : Objective

    /** A share of the tasks is to have started by then. */
    data class Started(
        val jobClass: String,
        val within: Duration,
    ) : Objective

    data class Guarantee(
        val within: Duration,
    ) : Objective
}

data class WorkerSettings(
    val heartbeatInterval: Duration,
    val lease: Duration,
    val gangWait: Duration,
    val gangPeer: Duration,
    val cancel: Duration,
)

/**
 * The key-value store's limits. It may lower them without notice to what `state.next` names: sizes keep
 * within the smaller of both from the start, rates follow once the service says so.
 */
data class StoreSettings(
    val rps: Double,
    val writeRps: Double,
    val valueBytes: Int,
    val transactionOps: Int,
    val nextRps: Double = rps,
    val nextWriteRps: Double = writeRps,
    /** What a job's progress is cut by; every version must cut alike, so it goes by the first limit for ever. */
    val blockBytes: Int = valueBytes,
)

/** The platform's settings file, checked. */
data class Settings(
    val member: String,
    val area: String,
    val bind: InetSocketAddress,
    val peerListen: InetSocketAddress,
    val known: List<Peer>,
    val cloudAddress: InetSocketAddress,
    val storeAddress: InetSocketAddress,
    val nodes: Int,
    val zones: List<String>,
    val teams: List<TeamSettings>,
    val objectives: List<Objective>,
    val workers: WorkerSettings,
    val storeLimits: StoreSettings,
    val cloudRps: Double,
    val listLag: Duration,
    val sockets: Int,
    val skew: Duration,
) {
    companion object {
        fun parse(json: String): Settings =
            try {
                read(Fields.of(Documents.readJson(json)))
            } catch (e: MalformedMessageException) {
                throw InvalidSettingsException(e.message ?: "malformed settings")
            }

        private fun read(f: Fields): Settings {
            val s = f.map("settings")
            val workers = s.map("workers")
            val state = s.map("state")
            val cloud = s.map("cloud")
            val teams = s.maps("teams").map(::team)
            if (teams.isEmpty()) throw InvalidSettingsException("settings.teams is empty")
            if (teams.map { it.name }.toSet().size != teams.size) throw InvalidSettingsException("settings.teams names a team twice")
            return Settings(
                member = f.text("member").ifEmpty { throw InvalidSettingsException("member is empty") },
                area = f.text("area"),
                bind = address(f, "bind"),
                peerListen = address(f, "peer_listen"),
                known = f.maps("known").map { Peer(it.text("member"), it.text("area"), address(it, "addr")) },
                cloudAddress = address(f.map("endpoints"), "cloud"),
                storeAddress = address(f.map("endpoints"), "state"),
                nodes = positive(s, "nodes").toInt(),
                zones = s.textsOrNull("zones") ?: throw InvalidSettingsException("settings.zones is missing"),
                teams = teams,
                objectives = s.mapsOrEmpty("objectives").mapNotNull(::objective),
                workers =
                    WorkerSettings(
                        positive(workers, "report_s").seconds,
                        positive(workers, "lease_s").seconds,
                        positive(workers, "gang_wait_s").seconds,
                        positive(workers, "gang_peer_s").seconds,
                        positive(workers, "cancel_s").seconds,
                    ),
                storeLimits = storeLimits(state),
                cloudRps = positive(cloud, "rps"),
                listLag = positive(cloud, "list_lag_s").seconds,
                sockets =
                    positive(s.map("quota"), "sockets").toInt().also {
                        if (it < MIN_SOCKETS) throw InvalidSettingsException("settings.quota.sockets is below $MIN_SOCKETS")
                    },
                skew = (s.numberOrNull("skew_ms") ?: 0.0).milliseconds,
            )
        }

        private fun storeLimits(now: Fields): StoreSettings {
            val next = if (now.has("next")) now.map("next") else null

            fun later(name: String): Double =
                if (next?.has(name) == true) {
                    minOf(positive(now, name), positive(next, name))
                } else {
                    positive(now, name)
                }
            return StoreSettings(
                rps = positive(now, "rps"),
                writeRps = positive(now, "write_rps"),
                valueBytes = (later("value_kb") * 1024).toInt(),
                transactionOps =
                    later("txn_ops").toInt().also {
                        if (it < MIN_TRANSACTION_OPS) throw InvalidSettingsException("settings.state.txn_ops is below $MIN_TRANSACTION_OPS")
                    },
                nextRps = later("rps"),
                nextWriteRps = later("write_rps"),
                blockBytes = (positive(now, "value_kb") * 1024).toInt(),
            )
        }

        private fun team(f: Fields): TeamSettings =
            TeamSettings(
                f.text("name"),
                notNegative(f, "cpus"),
                notNegative(f, "gpus"),
                notNegative(f, "cpus_max").takeIf { it > 0 },
                notNegative(f, "gpus_max").takeIf { it > 0 },
            )

        private fun objective(f: Fields): Objective? =
            when (f.textOrNull("kind")) {
                "finished" -> Objective.Finished(f.text("class"), positive(f, "within_s").seconds)
                "deadline" -> Objective.Deadline(f.text("class"), f.numberOrNull("times") ?: 1.0)
                "wait" -> Objective.Started(f.text("class"), positive(f, "within_s").seconds)
                "guarantee" -> Objective.Guarantee(positive(f, "within_s").seconds)
                else -> null
            }

        private fun positive(
            f: Fields,
            name: String,
        ): Double = f.number(name).also { if (it <= 0) throw InvalidSettingsException("${f.path(name)} must be above 0") }

        private fun notNegative(
            f: Fields,
            name: String,
        ): Double =
            (
                f.numberOrNull(name)
                    ?: 0.0
            ).also { if (it < 0) throw InvalidSettingsException("${f.path(name)} must not be below 0") }

        private fun address(
            f: Fields,
            name: String,
        ): InetSocketAddress =
            try {
                address(f.text(name))
            } catch (e: InvalidSettingsException) {
                throw InvalidSettingsException("${f.path(name)}: ${e.message}")
            }

        /** Only numbers: there are no name look-ups where controllers run. */
        fun address(text: String): InetSocketAddress {
            val port = text.substringAfterLast(':', "").toIntOrNull()?.takeIf { it in 1..MAX_PORT }
            val host = text.substringBeforeLast(':')
            if (port == null || !IPV4.matches(host)) throw InvalidSettingsException("not an IPv4 address and port: $text")
            return InetSocketAddress(host, port)
        }

        private const val MIN_SOCKETS = 40
        private const val MIN_TRANSACTION_OPS = 4
        private const val MAX_PORT = 65_535
        private val IPV4 = Regex("""(\d{1,3})(\.\d{1,3}){3}""")
    }
}
