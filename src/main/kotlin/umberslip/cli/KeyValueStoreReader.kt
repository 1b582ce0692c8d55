package umberslip.cli

import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import kotlinx.coroutines.asCoroutineDispatcher
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withContext
import umberslip.core.Clock
import umberslip.http.HttpClient
import umberslip.settings.Settings
import umberslip.store.HttpKeyValueStore
import umberslip.store.KeyValueStore
import umberslip.store.RateLimiter
import java.util.concurrent.TimeUnit
import kotlin.time.TimeSource

/** One-off reads for commands, at a small share of the rate, since the controllers need the rest. */
object KeyValueStoreReader {
    private const val MAX_BODY = 8 * 1024 * 1024
    private const val REQUEST_SHARE = 0.05

    fun <T> read(
        settings: Settings,
        what: suspend (KeyValueStore) -> T,
    ): T {
        val group = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
        val origin = TimeSource.Monotonic.markNow()
        val rateLimiter = RateLimiter(settings.storeLimits.nextRps * REQUEST_SHARE, Clock { origin.elapsedNow() })
        try {
            return runBlocking {
                withContext(group.next().asCoroutineDispatcher()) {
                    what(HttpKeyValueStore(HttpClient(group, settings.storeAddress, MAX_BODY), rateLimiter))
                }
            }
        } finally {
            group.shutdownGracefully(0, 1, TimeUnit.SECONDS).sync()
        }
    }
}
