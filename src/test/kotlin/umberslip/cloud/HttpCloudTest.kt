package umberslip.cloud

import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertThrows
import org.junit.jupiter.api.Test
import umberslip.core.Clock
import umberslip.core.MachineName
import umberslip.http.HttpClient
import umberslip.http.MalformedMessageException
import umberslip.http.NoResponseException
import umberslip.http.RateLimitedException
import umberslip.http.RequestRejectedException
import umberslip.http.ServiceUnavailableException
import umberslip.loopback.CborAnswer
import umberslip.loopback.CborRequest
import umberslip.loopback.CborServer
import umberslip.sim.ProtocolLimits
import umberslip.store.RateLimiter
import java.util.concurrent.TimeUnit
import kotlin.time.TimeSource

/** Tests how the cloud's responses are classified: carried out, refused for now, rejected or indeterminate. */
class HttpCloudTest {
    private var answer: (CborRequest) -> CborAnswer = { CborAnswer(200, emptyMap<String, Any?>()) }
    private var requests = 0
    private val server =
        CborServer {
            requests++
            answer(it)
        }
    private val group = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
    private val origin = TimeSource.Monotonic.markNow()
    private val cloud =
        HttpCloud(HttpClient(group, server.address, 1 shl 20), RateLimiter(1000.0, Clock { origin.elapsedNow() }))

    @AfterEach
    fun close() {
        server.close()
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).sync()
    }

    private fun provision(number: Int = 2): List<MachineName>? {
        val offer = Offer("small", "east", spot = false)
        return runBlocking { cloud.provision("r-1", offer, number) }
    }

    private fun respondWith(
        status: Int,
        body: Any?,
    ) {
        answer = { CborAnswer(status, body) }
    }

    @Test
    fun `a rejection is distinguished from a temporary refusal and from an indeterminate outcome`() {
        for (status in listOf(400, 403, 404, 413, 422)) {
            respondWith(status, mapOf("error" to "malformed"))
            assertThrows(RequestRejectedException::class.java, { provision() }, "$status")
        }
        respondWith(429, mapOf("error" to "slow down"))
        assertThrows(RateLimitedException::class.java) { provision() }
        val bodies = listOf(mapOf("error" to "trouble"), emptyMap<String, Any?>(), listOf("trouble"), "trouble", null)
        for (body in bodies) {
            respondWith(503, body)
            assertThrows(ServiceUnavailableException::class.java, { provision() }, "$body")
        }
        for (status in listOf(201, 500, 502, 504)) {
            respondWith(status, mapOf("error" to "?"))
            assertThrows(NoResponseException::class.java, { provision() }, "$status")
        }
        respondWith(503, mapOf("error" to "no capacity"))
        assertEquals(null, provision())
    }

    @Test
    fun `an unreadable response leaves the outcome of the request indeterminate`() {
        for (body in listOf("hosts", listOf("host-1"), mapOf("hosts" to "host-1"), mapOf("hosts" to listOf(1)), 7)) {
            respondWith(200, body)
            assertThrows(NoResponseException::class.java, { provision() }, "$body")
        }
    }

    @Test
    fun `a request beyond the limits of the protocol is not sent`() {
        for (number in listOf(-1, 0, 51, 100, 150)) {
            assertThrows(RequestRejectedException::class.java, { provision(number) }, "$number")
        }
        val names = List(ProtocolLimits.NAMES_PER_TERMINATION + 1) { MachineName("host-$it") }
        assertThrows(RequestRejectedException::class.java) { runBlocking { cloud.terminate(names) } }
        assertEquals(0, requests)
    }

    @Test
    fun `invalid instance types are ignored and the others are used`() {
        val good = instanceType("good")
        val bad =
            listOf(
                instanceType("no processors") + ("vcpus" to 0.0),
                instanceType("negative processors") + ("vcpus" to -4.0),
                instanceType("price not a number") + ("rate" to Double.NaN),
                instanceType("negative price") + ("market_price" to -1.0),
                instanceType("zones not a list") + ("halls" to "east"),
                good - "label",
                "large",
                null,
            )
        respondWith(200, mapOf("hosttypes" to bad + good + (instanceType("no zones") - "halls")))
        val read = runBlocking { cloud.instanceTypes() }
        assertEquals(listOf("good" to listOf("east"), "no zones" to emptyList()), read.map { it.label to it.zones })
        respondWith(200, mapOf("hosttypes" to "none"))
        assertThrows(MalformedMessageException::class.java) { runBlocking { cloud.instanceTypes() } }
    }

    @Test
    fun `reading the list ends at an empty page even if the page announces a next one`() {
        val machine =
            mapOf(
                "uid" to "host-1",
                "hosttype" to "good",
                "hall" to "east",
                "reclaimable" to false,
                "status" to "running",
                "age_s" to 1.0,
            )
        answer = { request ->
            val page = if ("after" in request.query) emptyList() else listOf(machine)
            CborAnswer(200, mapOf("hosts" to page, "has_next" to (requests < ENDLESS_PAGES)))
        }
        assertEquals(listOf(MachineName("host-1")), runBlocking { cloud.listMachines() }.map { it.name })
        assertEquals(2, requests)
    }

    private fun instanceType(label: String): Map<String, Any?> =
        mapOf(
            "label" to label,
            "vcpus" to 4.0,
            "memory_gb" to 16.0,
            "rate" to 0.4,
            "market_price" to 0.2,
            "boot_s" to 20.0,
            "halls" to listOf("east"),
        )

    private companion object {
        /** Only a reader that never stops requests this many pages. */
        const val ENDLESS_PAGES = 100
    }
}
