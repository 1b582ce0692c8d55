package umberslip.daemon

import io.micrometer.prometheusmetrics.PrometheusConfig
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry
import io.netty.channel.Channel
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import kotlinx.coroutines.CoroutineExceptionHandler
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.asCoroutineDispatcher
import org.slf4j.LoggerFactory
import umberslip.cloud.HttpCloud
import umberslip.core.Clock
import umberslip.http.HttpClient
import umberslip.http.HttpServer
import umberslip.peers.Peers
import umberslip.peers.PeersMessage
import umberslip.settings.Settings
import umberslip.settings.Tuning
import umberslip.store.HttpKeyValueStore
import umberslip.store.RateLimiter
import java.io.IOException
import java.net.InetSocketAddress
import java.time.Instant
import kotlin.time.TimeSource

/**
 * One controller as a process: its sockets, its clocks and its metrics. Everything runs on one thread, that of the
 * event loop; nothing may block there.
 */
class Daemon(
    private val settings: Settings,
    tuning: Tuning,
) {
    private val log = LoggerFactory.getLogger("umberslip.daemon")
    private val group = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
    private val scope =
        CoroutineScope(
            group.next().asCoroutineDispatcher() + SupervisorJob() +
                CoroutineExceptionHandler { _, e -> log.error("unexpected failure", e) },
        )
    private val metrics = PrometheusMeterRegistry(PrometheusConfig.DEFAULT)
    private val origin = TimeSource.Monotonic.markNow()
    private val clock = Clock { origin.elapsedNow() }
    private val store = HttpKeyValueStore(HttpClient(group, settings.storeAddress, MAX_BODY), storeRateLimiter())
    private val cloud = HttpCloud(HttpClient(group, settings.cloudAddress, MAX_BODY), cloudRateLimiter())
    private val peers: Peers =
        Peers(
            scope,
            group,
            settings.member,
            settings.peers,
            clock,
            { controller.refreshRecords() },
            { controller.served() },
        )
    private val controller =
        Controller(
            scope,
            settings,
            tuning,
            store,
            cloud,
            clock,
            Instant::now,
            metrics,
            { peers.trySend(PeersMessage.Announce) },
            peers::reaches,
            peers::peerHealth,
            metrics::scrape,
        )

    private fun storeRateLimiter(): RateLimiter {
        val limits = settings.storeLimits
        return RateLimiter(limits.rps / settings.controllerCount, clock, limits.nextRps / settings.controllerCount)
    }

    private fun cloudRateLimiter() = RateLimiter(settings.cloudRps * CLOUD_SHARE, clock)

    /**
     * Serves until the process ends; blocks the calling thread.
     *
     * @throws ListenException if an address of the settings cannot be listened on
     */
    fun run() {
        val ownSockets = settings.sockets / OWN_SHARE + OWN_SOCKETS
        val httpServer = HttpServer(group, settings.sockets - ownSockets, controller::handle)
        val server = listen("bind", settings.bind, httpServer::bind)
        listen("peer_listen", settings.peerListen, peers::bind)
        group.next().execute {
            peers.start()
            controller.start()
        }
        log.info(
            "controller started: member={} zone={} address={}",
            settings.member,
            settings.zone,
            settings.bind,
        )
        server.closeFuture().sync()
    }

    private fun listen(
        setting: String,
        address: InetSocketAddress,
        bind: (InetSocketAddress) -> Channel,
    ): Channel =
        try {
            bind(address)
        } catch (e: IOException) {
            throw ListenException(setting, address, e)
        }

    private companion object {
        /** The largest response that is read from the key-value store or the cloud, in bytes. */
        const val MAX_BODY = 8 * 1024 * 1024

        /** Sockets reserved for calls of its own: a slow key-value store holds many open at once. */
        const val OWN_SOCKETS = 20

        /** One in so many of all sockets is reserved besides. */
        const val OWN_SHARE = 10

        /** The share of the cloud's rate limit that is used; the rest is left for drift between its clock and ours. */
        const val CLOUD_SHARE = 0.8
    }
}
