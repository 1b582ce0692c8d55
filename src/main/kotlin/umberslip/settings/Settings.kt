package umberslip.settings

import java.net.InetSocketAddress
import kotlin.time.Duration

/** Thrown if a setting is missing or invalid. The message names the setting. */
class InvalidSettingsException(
    message: String,
) : Exception(message)

/** Another controller. [address] is where it listens for its peers. */
data class Peer(
    val member: String,
    /** The zone in which the controller runs. */
    val zone: String,
    val address: InetSocketAddress,
)

/** A team's guaranteed quota and its quota limit. A limit is null if there is none, which is 0 in the file. */
data class TeamSettings(
    val name: String,
    val cpus: Double,
    val gpus: Double,
    val cpusMax: Double?,
    val gpusMax: Double?,
)

/**
 * A service-level objective. Deadlines count from the submission of a job. Other times count from the moment when
 * nothing prevents the job from running any more.
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

    /** A share of the tasks of the class's jobs starts within this time. */
    data class Started(
        val jobClass: String,
        val within: Duration,
    ) : Objective

    /** Jobs that fit into their team's guaranteed quota start within this time. */
    data class Guarantee(
        val within: Duration,
    ) : Objective
}

/** The workers' intervals and time limits. */
data class WorkerSettings(
    val heartbeatInterval: Duration,
    /** A worker stops its tasks if no response has renewed its lease for this long. */
    val lease: Duration,
    /** How long the tasks of a gang wait for all of them to run. */
    val assemblyTimeout: Duration,
    /** How long the tasks of a gang take to notice that one of them has disappeared. */
    val gangLossDetection: Duration,
    /** The maximum time from the acknowledgement of a job's cancellation to the end of its last task. */
    val cancel: Duration,
)

/**
 * The limits of the key-value store. The service may lower them without notice to the limits that the file announces.
 * Therefore the sizes here are the lower of both from the start, whereas the rates are lowered once the service
 * enforces the announced ones.
 */
data class StoreSettings(
    /** Requests per second, for all controllers together. */
    val rps: Double,
    /** Puts and deletes per second, for all controllers together. */
    val writeRps: Double,
    val valueBytes: Int,
    /** The maximum number of puts and deletes in a transaction. */
    val transactionOps: Int,
    /** The announced [rps], or the one in force if that is lower. The same applies to [nextWriteRps]. */
    val nextRps: Double = rps,
    val nextWriteRps: Double = writeRps,
    /**
     * The value size that determines how many tasks a progress block has. All versions must always agree on that
     * number, so this is the limit in force and never the announced one.
     */
    val blockBytes: Int = valueBytes,
)

/** The validated contents of the platform's settings file. */
data class Settings(
    /** This controller's name. */
    val member: String,
    val zone: String,
    /** The address to which users and workers connect. */
    val bind: InetSocketAddress,
    val peerListen: InetSocketAddress,
    /** The other controllers. */
    val peers: List<Peer>,
    val cloudAddress: InetSocketAddress,
    val storeAddress: InetSocketAddress,
    /** The number of controllers that share the key-value store's rate limit. */
    val controllerCount: Int,
    val zones: List<String>,
    val teams: List<TeamSettings>,
    val objectives: List<Objective>,
    val workers: WorkerSettings,
    val storeLimits: StoreSettings,
    /** The number of requests per second that the cloud allows. */
    val cloudRps: Double,
    /** The usual lag of the cloud's list of machines. Sometimes the list lags by as much as twice this time. */
    val listLag: Duration,
    /** The maximum number of sockets that this process may have open. */
    val sockets: Int,
    /** The maximum difference between a wall clock and the true time. */
    val skew: Duration,
) {
    companion object {
        /** @throws InvalidSettingsException if a setting is missing or invalid; the message names it */
        fun parse(json: String): Settings = SettingsParser.parse(json)

        /**
         * Parses an address of the form `a.b.c.d:port`. Host names are not accepted, since there is no DNS where
         * controllers run.
         *
         * @throws InvalidSettingsException if [text] has another form
         */
        fun parseAddress(text: String): InetSocketAddress {
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
