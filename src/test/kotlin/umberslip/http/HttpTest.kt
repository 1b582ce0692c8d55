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

/** Server and client against each other, on loopback. */
class HttpTest {
    private val group = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
    private val served = AtomicInteger()
    private val server =
        HttpServer(group, 10) { request, respond ->
            served.incrementAndGet()
            when (request.path) {
                "/echo" -> respond(Response(200, mapOf("got" to request.fields().text("say"))))
                "/elsewhere" -> respond(Response.retryAfter(3, "not here", close = true))
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
    fun `bodies go both ways and connections are used again`() {
        repeat(3) { assertEquals("hello $it", call("/echo", mapOf("say" to "hello $it")).fields().text("got")) }
    }

    @Test
    fun `what could not be sent in time is never sent`() {
        // Of a process that stood still for a minute between the decision to send and the connection.
        val standstill =
            object : TimeSource {
                override fun markNow() =
                    object : TimeMark {
                        override fun elapsedNow() = 60.seconds
                    }
            }
        val late = HttpClient(group, server.localAddress() as InetSocketAddress, 1 shl 20, standstill)
        val before = served.get()
        assertThrows<ServiceUnavailableException> {
            runBlocking { late.call(HttpMethod.POST, "/echo", mapOf("say" to "late"), 20.seconds) }
        }
        assertEquals("now", call("/echo", mapOf("say" to "now")).fields().text("got"))
        assertEquals(before + 1, served.get(), "the server got the second request only")
    }

    @Test
    fun `bad input is answered, and the next request is served`() {
        assertEquals(400, call("/echo", listOf(1L)).status)
        assertEquals(400, call("/echo", mapOf("other" to 1L)).status)
        assertEquals(400, call("/echo", mapOf("say" to "x".repeat(70_000))).status)
        assertEquals(503, call("/fails", emptyMap<String, Any?>()).status)
        assertEquals(404, call("/nowhere", emptyMap<String, Any?>()).status)
        assertEquals("still", call("/echo", mapOf("say" to "still")).fields().text("got"))
    }

    @Test
    fun `a full server closes who was idle longest and serves who comes`() {
        val idle =
            List(10) {
                Socket().apply {
                    connect(server.localAddress())
                    soTimeout = 20_000
                }
            }
        try {
            // The last of them is known to have been taken in once it is answered.
            idle.last().getOutputStream().write("GET /nowhere HTTP/1.1\r\nHost: x\r\n\r\n".toByteArray())
            assertTrue(idle.last().getInputStream().read() > 0)
            assertEquals("room", call("/echo", mapOf("say" to "room")).fields().text("got"))
            assertEquals(-1, idle.first().getInputStream().read(), "its place was needed")
        } finally {
            idle.forEach { it.close() }
        }
    }

    @Test
    fun `who is sent elsewhere is answered at once, and the connection ends`() {
        Socket().use { socket ->
            socket.connect(server.localAddress())
            socket.soTimeout = 20_000
            socket.getOutputStream().write("GET /elsewhere HTTP/1.1\r\nHost: x\r\n\r\n".toByteArray())
            val answer = String(socket.getInputStream().readAllBytes(), Charsets.ISO_8859_1).lowercase()
            assertTrue(
                "503" in answer.lines().first() && "retry-after: 3" in answer && "connection: close" in answer,
                answer,
            )
        }
        assertEquals("still", call("/echo", mapOf("say" to "still")).fields().text("got"))
    }
}
