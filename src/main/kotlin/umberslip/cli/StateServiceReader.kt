package umberslip.cli

import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import kotlinx.coroutines.asCoroutineDispatcher
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withContext
import umberslip.actor.Clock
import umberslip.http.HttpClient
import umberslip.settings.Settings
import umberslip.state.HttpStateService
import umberslip.state.Pacer
import umberslip.state.StateService
import java.util.concurrent.TimeUnit
import kotlin.time.TimeSource

/** One-off reads for commands, at a small share of the rate, since the controllers need the rest. */
object StateServiceReader {
    private const val MAX_BODY = 8 * 1024 * 1024
    private const val REQUEST_SHARE = 0.05

    fun <T> read(
        settings: Settings,
        what: suspend (StateService) -> T,
    ): T {
        val group = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
        val origin = TimeSource.Monotonic.markNow()
        val pacer = Pacer(settings.stateLimits.nextRps * REQUEST_SHARE, Clock { origin.elapsedNow() })
        try {
            return runBlocking {
                withContext(group.next().asCoroutineDispatcher()) {
                    what(HttpStateService(HttpClient(group, settings.state, MAX_BODY), pacer))
                }
            }
        } finally {
            group.shutdownGracefully(0, 1, TimeUnit.SECONDS).sync()
        }
    }
}
