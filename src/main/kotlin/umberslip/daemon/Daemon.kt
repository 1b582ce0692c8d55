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
 * The process of a controller: its sockets, clocks and metrics. Everything runs on the single thread of the event loop,
 * which must not be blocked.
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
    private val processStart = TimeSource.Monotonic.markNow()
    private val clock = Clock { processStart.elapsedNow() }
    private val store = HttpKeyValueStore(HttpClient(group, settings.storeAddress, MAX_BODY_BYTES), storeRateLimiter())
    private val cloud = HttpCloud(HttpClient(group, settings.cloudAddress, MAX_BODY_BYTES), cloudRateLimiter())
    private val peers: Peers =
        Peers(
            scope,
            group,
            settings.member,
            settings.peers,
            clock,
            { controller.refreshRecords() },
            { controller.isServedByStore() },
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
            peers::isReachable,
            peers::peerHealth,
            metrics::scrape,
        )

    private fun storeRateLimiter(): RateLimiter {
        val limits = settings.storeLimits
        return RateLimiter(limits.rps / settings.controllerCount, clock, limits.nextRps / settings.controllerCount)
    }

    private fun cloudRateLimiter() = RateLimiter(settings.cloudRps * CLOUD_SHARE, clock)

    /**
     * Runs the controller until the process ends. Blocks the calling thread.
     *
     * @throws ListenException if the controller cannot listen on an address from the settings
     */
    fun run() {
        val reservedSockets = settings.sockets / RESERVED_SOCKETS_DIVISOR + MIN_RESERVED_SOCKETS
        val httpServer = HttpServer(group, settings.sockets - reservedSockets, controller::handle)
        val serverChannel = listen("bind", settings.bind, httpServer::bind)
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
        serverChannel.closeFuture().sync()
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
        const val MAX_BODY_BYTES = 8 * 1024 * 1024

        /** Sockets reserved for outgoing requests: many of them are open at once while the key-value store is slow. */
        const val MIN_RESERVED_SOCKETS = 20

        /** In addition, the total number of sockets divided by this is reserved. */
        const val RESERVED_SOCKETS_DIVISOR = 10

        /** The share of the cloud's rate limit that is used. The rest allows for clock drift against the cloud. */
        const val CLOUD_SHARE = 0.8
    }
}
