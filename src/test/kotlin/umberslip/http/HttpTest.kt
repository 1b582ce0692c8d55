package umberslip.http

import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import io.netty.handler.codec.http.HttpMethod
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.assertThrows
import java.net.InetSocketAddress
import java.net.Socket
import java.util.concurrent.atomic.AtomicInteger
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeMark
import kotlin.time.TimeSource

/** Tests the HTTP server and client with each other on the loopback interface. */
class HttpTest {
    private val group = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
    private val requestCount = AtomicInteger()
    private val server =
        HttpServer(group, 10) { request, respond ->
            requestCount.incrementAndGet()
            when (request.path) {
                "/echo" -> respond(Response(200, mapOf("got" to request.fields().text("say"))))
                "/elsewhere" -> respond(Response.retryAfter(3, "not here", closeConnection = true))
                "/fails" -> error("on purpose")
                else -> respond(Response.error(404, "no such path"))
            }
        }.bind(InetSocketAddress("127.0.0.1", 0))
    private val client = HttpClient(group, server.localAddress() as InetSocketAddress, 1 shl 20)

    @AfterEach
    fun stop() {
        group.shutdownGracefully(0, 1, java.util.concurrent.TimeUnit.SECONDS).sync()
    }

    private fun call(
        path: String,
        body: Any?,
    ): Reply = runBlocking { client.call(HttpMethod.POST, path, body, 20.seconds) }

    @Test
    fun `bodies are sent both ways, and connections are reused`() {
        repeat(3) { assertEquals("hello $it", call("/echo", mapOf("say" to "hello $it")).fields().text("got")) }
    }

    @Test
    fun `a request that could not be sent within its timeout is never sent`() {
        // Simulates a process that paused for a minute between the call and the acquisition of a connection.
        val pausedTimeSource =
            object : TimeSource {
                override fun markNow() =
                    object : TimeMark {
                        override fun elapsedNow() = 60.seconds
                    }
            }
        val pausedClient = HttpClient(group, server.localAddress() as InetSocketAddress, 1 shl 20, pausedTimeSource)
        val previousCount = requestCount.get()
        assertThrows<ServiceUnavailableException> {
            runBlocking { pausedClient.call(HttpMethod.POST, "/echo", mapOf("say" to "late"), 20.seconds) }
        }
        assertEquals("now", call("/echo", mapOf("say" to "now")).fields().text("got"))
        assertEquals(previousCount + 1, requestCount.get(), "the server received only the second request")
    }

    @Test
    fun `a malformed request gets a response, and the next one is served`() {
        assertEquals(400, call("/echo", listOf(1L)).status)
        assertEquals(400, call("/echo", mapOf("other" to 1L)).status)
        assertEquals(400, call("/echo", mapOf("say" to "x".repeat(70_000))).status)
        assertEquals(503, call("/fails", emptyMap<String, Any?>()).status)
        assertEquals(404, call("/nowhere", emptyMap<String, Any?>()).status)
        assertEquals("still", call("/echo", mapOf("say" to "still")).fields().text("got"))
    }

    @Test
    fun `a full server closes the connection that was idle longest for a new one`() {
        val idleSockets =
            List(10) {
                Socket().apply {
                    connect(server.localAddress())
                    soTimeout = 20_000
                }
            }
        try {
            // Once the last connection gets a response, the server has accepted all of them.
            idleSockets.last().getOutputStream().write("GET /nowhere HTTP/1.1\r\nHost: x\r\n\r\n".toByteArray())
            assertTrue(idleSockets.last().getInputStream().read() > 0)
            assertEquals("served", call("/echo", mapOf("say" to "served")).fields().text("got"))
            assertEquals(-1, idleSockets.first().getInputStream().read(), "the longest idle one is closed")
        } finally {
            idleSockets.forEach { it.close() }
        }
    }

    @Test
    fun `a response that closes the connection is sent before the connection is closed`() {
        Socket().use { socket ->
            socket.connect(server.localAddress())
            socket.soTimeout = 20_000
            socket.getOutputStream().write("GET /elsewhere HTTP/1.1\r\nHost: x\r\n\r\n".toByteArray())
            val response = String(socket.getInputStream().readAllBytes(), Charsets.ISO_8859_1).lowercase()
            assertTrue(
                "503" in response.lines().first() && "retry-after: 3" in response && "connection: close" in response,
                response,
            )
        }
        assertEquals("still", call("/echo", mapOf("say" to "still")).fields().text("got"))
    }
}
