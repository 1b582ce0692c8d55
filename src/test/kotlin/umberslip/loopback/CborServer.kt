package umberslip.loopback

import com.sun.net.httpserver.HttpExchange
import com.sun.net.httpserver.HttpServer
import umberslip.http.Documents
import umberslip.http.Fields
import java.net.InetSocketAddress
import java.net.URLDecoder

/** A request to a loopback server, with its decoded query parameters. */
class CborRequest(
    val method: String,
    val path: String,
    val query: Map<String, String>,
    private val body: ByteArray,
) {
    fun fields(): Fields = Fields.of(Documents.readCbor(body))
}

class CborAnswer(
    val status: Int,
    val body: Any?,
)

/**
 * A server that exchanges CBOR over real sockets and handles one request at a time. Its HTTP implementation is a
 * different one from that of the controllers.
 */
class CborServer(
    private val handler: (CborRequest) -> CborAnswer,
) : AutoCloseable {
    private val server: HttpServer

    val address: InetSocketAddress get() = server.address

    init {
        // Without TCP_NODELAY, each response waits for a delayed acknowledgement.
        System.setProperty("sun.net.httpserver.nodelay", "true")
        server = HttpServer.create(InetSocketAddress("127.0.0.1", 0), BACKLOG)
        server.createContext("/", ::handle)
        server.start()
    }

    private fun handle(exchange: HttpExchange) {
        val uri = exchange.requestURI
        val query =
            uri.rawQuery.orEmpty().split('&').filter { it.contains('=') }.associate {
                it.substringBefore('=') to URLDecoder.decode(it.substringAfter('='), Charsets.UTF_8)
            }
        val request = CborRequest(exchange.requestMethod, uri.path, query, exchange.requestBody.readAllBytes())
        val answer = handler(request)
        val bytes = Documents.writeCbor(answer.body)
        exchange.sendResponseHeaders(answer.status, bytes.size.toLong())
        exchange.responseBody.use { it.write(bytes) }
    }

    override fun close() = server.stop(0)

    private companion object {
        const val BACKLOG = 1000
    }
}
