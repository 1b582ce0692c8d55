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

/**
 * Runs one-off reads of the key-value store for commands. They use a small share of the request rate, since the
 * controllers need the rest.
 */
object KeyValueStoreReader {
    private const val MAX_BODY_BYTES = 8 * 1024 * 1024
    private const val REQUEST_SHARE = 0.05

    fun <T> read(
        settings: Settings,
        block: suspend (KeyValueStore) -> T,
    ): T {
        val group = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
        val origin = TimeSource.Monotonic.markNow()
        val rateLimiter = RateLimiter(settings.storeLimits.nextRps * REQUEST_SHARE, Clock { origin.elapsedNow() })
        try {
            return runBlocking {
                withContext(group.next().asCoroutineDispatcher()) {
                    block(HttpKeyValueStore(HttpClient(group, settings.storeAddress, MAX_BODY_BYTES), rateLimiter))
                }
            }
        } finally {
            group.shutdownGracefully(0, 1, TimeUnit.SECONDS).sync()
        }
    }
}
