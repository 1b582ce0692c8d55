package umberslip.store

import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.assertThrows
import umberslip.core.Clock
import umberslip.http.HttpClient
import umberslip.http.NoResponseException
import umberslip.loopback.CborAnswer
import umberslip.loopback.CborServer
import java.util.concurrent.TimeUnit
import kotlin.time.Duration.Companion.seconds

/**
 * Responses that are valid documents, but not in the form that the protocol defines. They caused a
 * [umberslip.http.MalformedMessageException], which callers do not catch, since they expect only a
 * [umberslip.http.ServiceException]. The loop of the leader election, for example, ended that way.
 */
class HttpKeyValueStoreTest {
    private val group = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
    private var body: Any? = null
    private val server = CborServer { CborAnswer(200, body) }
    private val store = HttpKeyValueStore(HttpClient(group, server.address, 1 shl 20), RateLimiter(1000.0, clock()))

    private fun clock() =
        Clock {
            System
                .nanoTime()
                .toDouble()
                .div(1e9)
                .seconds
        }

    @AfterEach
    fun stop() {
        server.close()
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).sync()
    }

    @Test
    fun `an unreadable response is treated as no response`() {
        val calls: List<suspend () -> Any?> =
            listOf(
                { store.get("u/owner") },
                { store.getLowPriority("end/run-000001") },
                { store.list("u/", null) },
                { store.changes("u/", 1) },
                { store.compareAndSwap(emptyList(), emptyList()) },
                { store.openLease(4.seconds) },
            )
        val fieldsOfOtherTypes = mapOf("epoch" to "x", "entries" to 1, "events" to 1)
        for (unreadable in listOf(listOf(1), emptyMap<String, Any>(), fieldsOfOtherTypes, null, "text")) {
            body = unreadable
            for (call in calls) assertThrows<NoResponseException> { runBlocking { call() } }
        }
    }
}
