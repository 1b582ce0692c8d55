package umberslip.http

import io.netty.bootstrap.ServerBootstrap
import io.netty.buffer.Unpooled
import io.netty.channel.Channel
import io.netty.channel.ChannelFutureListener
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.EventLoopGroup
import io.netty.channel.SimpleChannelInboundHandler
import io.netty.channel.socket.SocketChannel
import io.netty.channel.socket.nio.NioServerSocketChannel
import io.netty.handler.codec.http.DefaultFullHttpResponse
import io.netty.handler.codec.http.FullHttpRequest
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpMessage
import io.netty.handler.codec.http.HttpObjectAggregator
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpServerCodec
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.HttpVersion
import io.netty.handler.codec.http.QueryStringDecoder
import io.netty.handler.timeout.IdleStateEvent
import io.netty.handler.timeout.IdleStateHandler
import org.slf4j.LoggerFactory
import java.net.InetSocketAddress

class Request(
    val method: String,
    val path: String,
    val body: ByteArray,
) {
    /** The body as a CBOR map. */
    fun fields(): Fields = Fields.of(Documents.readCbor(body))
}

class Response(
    val status: Int,
    val body: Any?,
    val retryAfterSeconds: Int? = null,
    val plain: String? = null,
    /** Ends the connection, so that the sender's next one may lead elsewhere. */
    val close: Boolean = false,
) {
    companion object {
        /** Asks the sender to come back; always answered at once, never held back. */
        fun retryAfter(
            seconds: Int,
            why: String,
            close: Boolean = false,
        ) = Response(503, mapOf("error" to why), seconds, close = close)

        /** To a worker: not here, and nobody is known to be the one; it asks around. */
        val MISDIRECTED = Response(421, emptyMap<String, Any?>())

        fun error(
            status: Int,
            why: String,
        ) = Response(status, mapOf("error" to why))
    }
}

/** Answers a request, now or later, exactly once, on the event loop. */
fun interface Handler {
    fun handle(
        request: Request,
        respond: (Response) -> Unit,
    )
}

/** The one HTTP listener of a controller: users, workers and health checks. */
class HttpServer(
    private val group: EventLoopGroup,
    private val maxConnections: Int,
    private val handler: Handler,
) {
    private val log = LoggerFactory.getLogger("umberslip.http")

    /** Connections with no request on them, the longest idle first, and how many there are in all. */
    private val idle = LinkedHashSet<Channel>()
    private var open = 0

    fun bind(address: InetSocketAddress): Channel =
        ServerBootstrap()
            .group(group)
            .channel(NioServerSocketChannel::class.java)
            // After a takeover the workers of the whole fleet connect at once.
            .option(ChannelOption.SO_BACKLOG, maxConnections)
            .option(ChannelOption.SO_REUSEADDR, true)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childHandler(
                object : ChannelInitializer<SocketChannel>() {
                    override fun initChannel(channel: SocketChannel) {
                        // The process has a fixed number of sockets; some stay free for its own calls. Whoever was
                        // idle longest makes room, so that users and workers find it however many others came once.
                        if (open >= maxConnections && idle.firstOrNull()?.close() == null) {
                            channel.close()
                            return
                        }
                        open++
                        idle += channel
                        channel.closeFuture().addListener {
                            open--
                            idle -= channel
                        }
                        channel.pipeline().addLast(
                            HttpServerCodec(),
                            Aggregator(),
                            IdleStateHandler(0, 0, IDLE_SECONDS),
                            Connection(),
                        )
                    }
                },
            ).bind(address)
            .sync()
            .channel()

    /** A body over the limit is malformed (400) rather than Netty's 413. */
    private class Aggregator : HttpObjectAggregator(MAX_BODY) {
        override fun handleOversizedMessage(
            ctx: ChannelHandlerContext,
            oversized: HttpMessage,
        ) {
            val response = DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.BAD_REQUEST)
            response.headers().set(HttpHeaderNames.CONTENT_LENGTH, 0).set(HttpHeaderNames.CONNECTION, "close")
            ctx.writeAndFlush(response).addListener(ChannelFutureListener.CLOSE)
        }
    }

    private inner class Connection : SimpleChannelInboundHandler<FullHttpRequest>() {
        override fun channelRead0(
            ctx: ChannelHandlerContext,
            message: FullHttpRequest,
        ) {
            val keepAlive = HttpUtil.isKeepAlive(message)
            idle -= ctx.channel()
            if (message.decoderResult().isFailure) {
                send(ctx, Response.error(400, "not HTTP"), false)
                return
            }
            val body = ByteArray(message.content().readableBytes())
            message.content().readBytes(body)
            val request = Request(message.method().name(), QueryStringDecoder(message.uri()).path(), body)
            var answered = false
            val respond = { response: Response ->
                if (!answered) {
                    answered = true
                    send(ctx, response, keepAlive && !response.close)
                }
            }
            try {
                handler.handle(request, respond)
            } catch (e: MalformedMessageException) {
                respond(Response.error(400, e.message ?: "malformed"))
            } catch (e: Exception) {
                log.error("{} {} failed", request.method, request.path, e)
                respond(Response.retryAfter(1, "internal error"))
            }
        }

        override fun userEventTriggered(
            ctx: ChannelHandlerContext,
            event: Any,
        ) {
            if (event is IdleStateEvent) ctx.close() else super.userEventTriggered(ctx, event)
        }

        @Deprecated("as Netty's")
        override fun exceptionCaught(
            ctx: ChannelHandlerContext,
            cause: Throwable,
        ) {
            log.debug("connection from {} ended: {}", ctx.channel().remoteAddress(), cause.toString())
            ctx.close()
        }
    }

    private fun send(
        ctx: ChannelHandlerContext,
        response: Response,
        keepAlive: Boolean,
    ) {
        val bytes =
            response.plain?.toByteArray() ?: if (response.body == null) EMPTY else Documents.writeCbor(response.body)
        val message =
            DefaultFullHttpResponse(
                HttpVersion.HTTP_1_1,
                HttpResponseStatus.valueOf(response.status),
                Unpooled.wrappedBuffer(bytes),
            )
        val headers = message.headers()
        headers.set(HttpHeaderNames.CONTENT_LENGTH, bytes.size)
        headers.set(
            HttpHeaderNames.CONTENT_TYPE,
            if (response.plain != null) "text/plain; version=0.0.4" else "application/cbor",
        )
        response.retryAfterSeconds?.let { headers.set(HttpHeaderNames.RETRY_AFTER, it) }
        if (!keepAlive) headers.set(HttpHeaderNames.CONNECTION, "close")
        val written = ctx.writeAndFlush(message)
        if (!keepAlive) {
            written.addListener(ChannelFutureListener.CLOSE)
        } else if (ctx.channel().isActive) {
            idle += ctx.channel()
        }
    }

    private companion object {
        const val MAX_BODY = 64 * 1024
        const val IDLE_SECONDS = 120
        val EMPTY = ByteArray(0)
    }
}
