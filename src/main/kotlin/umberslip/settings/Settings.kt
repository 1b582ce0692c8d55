package umberslip.settings

import java.net.InetSocketAddress
import kotlin.time.Duration

/** A setting is missing or invalid; the message names it. */
class InvalidSettingsException(
    message: String,
) : Exception(message)

/** Another controller, and where it listens for its peers. */
data class Peer(
    val member: String,
    /** The zone that it runs in. */
    val zone: String,
    val address: InetSocketAddress,
)

/** A team's guaranteed quota and its quota limit, which is null where there is none (0 in the file). */
data class TeamSettings(
    val name: String,
    val cpus: Double,
    val gpus: Double,
    val cpusMax: Double?,
    val gpusMax: Double?,
)

/**
 * A service-level objective. Deadlines count from a job's submission, other times from when nothing keeps it from
 * running any more.
 */
sealed interface Objective {
    /** Jobs of the class finish within this time. */
    data class Finished(
        val jobClass: String,
        val within: Duration,
    ) : Objective

    /** Jobs of the class finish within their own deadline multiplied by [factor]. */
    data class Deadline(
        val jobClass: String,
        val factor: Double,
    ) : Objective

    /** A share of the tasks of such jobs starts within this time. */
    data class Started(
        val jobClass: String,
        val within: Duration,
    ) : Objective

    /** Jobs that fit into their team's guaranteed quota start within this time. */
    data class Guarantee(
        val within: Duration,
    ) : Objective
}

/** The times that workers keep to. */
data class WorkerSettings(
    val heartbeatInterval: Duration,
    /** A worker stops its tasks when no response renewed its lease for this long. */
    val lease: Duration,
    /** The assembly timeout: how long a gang's tasks wait until all of them run. */
    val assemblyTimeout: Duration,
    /** How long a gang's tasks take to notice that one of them disappeared. */
    val gangPeer: Duration,
    /** The most time from a cancellation's acknowledgement to the end of its last task. */
    val cancel: Duration,
)

/**
 * The key-value store's limits. It may lower them without notice to those that the file announces: sizes keep to the
 * lower of both from the start, rates follow once the service enforces them.
 */
data class StoreSettings(
    /** Requests per second, from all controllers together. */
    val rps: Double,
    /** Puts and deletes per second, from all controllers together. */
    val writeRps: Double,
    val valueBytes: Int,
    /** The most puts and deletes of a transaction. */
    val transactionOps: Int,
    /** The announced [rps], or the one in force where that is lower; the same holds for [nextWriteRps]. */
    val nextRps: Double = rps,
    val nextWriteRps: Double = writeRps,
    /**
     * The value size that decides how many tasks a progress block has. All versions must agree on that for ever, so it
     * is the limit in force and never the announced one.
     */
    val blockBytes: Int = valueBytes,
)

/** The platform's settings file, validated. */
data class Settings(
    /** This controller's name. */
    val member: String,
    val zone: String,
    /** Where users and workers connect. */
    val bind: InetSocketAddress,
    val peerListen: InetSocketAddress,
    /** The other controllers. */
    val peers: List<Peer>,
    val cloudAddress: InetSocketAddress,
    val storeAddress: InetSocketAddress,
    /** The number of controllers, which share the key-value store's rate limit. */
    val controllerCount: Int,
    val zones: List<String>,
    val teams: List<TeamSettings>,
    val objectives: List<Objective>,
    val workers: WorkerSettings,
    val storeLimits: StoreSettings,
    /** The requests per second that the cloud allows. */
    val cloudRps: Double,
    /** How far the cloud's list of machines lags behind; sometimes by as much as twice that. */
    val listLag: Duration,
    /** The most sockets that this process may have open. */
    val sockets: Int,
    /** How far a wall clock may be from the true time. */
    val skew: Duration,
) {
    companion object {
        /** @throws InvalidSettingsException naming the setting that is missing or invalid */
        fun parse(json: String): Settings = SettingsParser.parse(json)

        /**
         * The address written as `a.b.c.d:port`. Only numbers: there is no DNS where controllers run.
         *
         * @throws InvalidSettingsException where [text] is something else
         */
        fun address(text: String): InetSocketAddress {
            val host = text.substringBeforeLast(':')
            val port = text.substringAfterLast(':', "").toIntOrNull()?.takeIf { it in 1..MAX_PORT }
            if (port == null || !IPV4.matches(host)) {
                throw InvalidSettingsException("not an IPv4 address and port: $text")
            }
            return InetSocketAddress(host, port)
        }

        private const val MAX_PORT = 65_535
        private val IPV4 = Regex("""(\d{1,3})(\.\d{1,3}){3}""")
    }
}
