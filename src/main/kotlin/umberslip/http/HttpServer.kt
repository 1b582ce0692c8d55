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
import io.netty.handler.codec.http.FullHttpResponse
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

/**
 * The only HTTP listener of a controller; serves users, workers and health checks. Confined to the single thread of
 * [group].
 */
class HttpServer(
    private val group: EventLoopGroup,
    /** At this limit, the longest idle connection is closed for a new one. If none is idle, the new one is closed. */
    private val maxConnections: Int,
    private val handler: Handler,
) {
    private val log = LoggerFactory.getLogger("umberslip.http")

    /** Connections without a request in progress, in order from the longest idle. */
    private val idleConnections = LinkedHashSet<Channel>()
    private var openConnections = 0

    /** Starts to listen on [address] before it returns. */
    fun bind(address: InetSocketAddress): Channel =
        ServerBootstrap()
            .group(group)
            .channel(NioServerSocketChannel::class.java)
            // After a failover, all workers of the cluster connect at once.
            .option(ChannelOption.SO_BACKLOG, maxConnections)
            .option(ChannelOption.SO_REUSEADDR, true)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childHandler(
                object : ChannelInitializer<SocketChannel>() {
                    override fun initChannel(channel: SocketChannel) = accept(channel)
                },
            ).bind(address)
            .sync()
            .channel()

    private fun accept(channel: SocketChannel) {
        // The process has a fixed number of sockets, some of which are reserved for outgoing requests. The longest idle
        // connection is closed for a new one, so that idle connections never keep users and workers from being served.
        if (openConnections >= maxConnections && idleConnections.firstOrNull()?.close() == null) {
            channel.close()
            return
        }
        openConnections++
        idleConnections += channel
        channel.closeFuture().addListener {
            openConnections--
            idleConnections -= channel
        }
        channel.pipeline().addLast(
            HttpServerCodec(),
            RequestAggregator(),
            IdleStateHandler(0, 0, IDLE_TIMEOUT_SECONDS),
            RequestHandler(),
        )
    }

    /** Responds to a body over the limit with status 400, as the protocol requires; Netty responds with 413. */
    private class RequestAggregator : HttpObjectAggregator(MAX_BODY_BYTES) {
        override fun handleOversizedMessage(
            ctx: ChannelHandlerContext,
            oversized: HttpMessage,
        ) {
            val response = DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.BAD_REQUEST)
            response.headers().set(HttpHeaderNames.CONTENT_LENGTH, 0).set(HttpHeaderNames.CONNECTION, "close")
            ctx.writeAndFlush(response).addListener(ChannelFutureListener.CLOSE)
        }
    }

    private inner class RequestHandler : SimpleChannelInboundHandler<FullHttpRequest>() {
        override fun channelRead0(
            ctx: ChannelHandlerContext,
            message: FullHttpRequest,
        ) {
            val keepAlive = HttpUtil.isKeepAlive(message)
            idleConnections -= ctx.channel()
            if (message.decoderResult().isFailure) {
                send(ctx, Response.error(400, "not HTTP"), keepAlive = false)
                return
            }
            val body = ByteArray(message.content().readableBytes())
            message.content().readBytes(body)
            val request = Request(message.method().name(), QueryStringDecoder(message.uri()).path(), body)
            var responded = false
            handle(request) { response ->
                if (!responded) {
                    responded = true
                    send(ctx, response, keepAlive && !response.closeConnection)
                }
            }
        }

        private fun handle(
            request: Request,
            respond: (Response) -> Unit,
        ) {
            try {
                handler.handle(request, respond)
            } catch (e: MalformedMessageException) {
                respond(Response.error(400, e.message ?: "malformed"))
            } catch (e: Exception) {
                log.error("request failed: method={} path={}", request.method, request.path, e)
                respond(Response.retryAfter(1, "internal error"))
            }
        }

        override fun userEventTriggered(
            ctx: ChannelHandlerContext,
            event: Any,
        ) {
            if (event is IdleStateEvent) ctx.close() else super.userEventTriggered(ctx, event)
        }

        @Deprecated("deprecated in Netty")
        override fun exceptionCaught(
            ctx: ChannelHandlerContext,
            cause: Throwable,
        ) {
            log.debug("connection closed: remote={} reason={}", ctx.channel().remoteAddress(), cause.toString())
            ctx.close()
        }
    }

    private fun send(
        ctx: ChannelHandlerContext,
        response: Response,
        keepAlive: Boolean,
    ) {
        val writeFuture = ctx.writeAndFlush(encode(response, keepAlive))
        if (!keepAlive) {
            writeFuture.addListener(ChannelFutureListener.CLOSE)
        } else if (ctx.channel().isActive) {
            idleConnections += ctx.channel()
        }
    }

    private fun encode(
        response: Response,
        keepAlive: Boolean,
    ): FullHttpResponse {
        val bytes =
            response.plainText?.toByteArray()
                ?: if (response.body == null) EMPTY_BODY else Documents.writeCbor(response.body)
        val message =
            DefaultFullHttpResponse(
                HttpVersion.HTTP_1_1,
                HttpResponseStatus.valueOf(response.status),
                Unpooled.wrappedBuffer(bytes),
            )
        val headers = message.headers()
        headers.set(HttpHeaderNames.CONTENT_LENGTH, bytes.size)
        headers.set(HttpHeaderNames.CONTENT_TYPE, if (response.plainText != null) METRICS_TEXT else CBOR)
        response.retryAfterSeconds?.let { headers.set(HttpHeaderNames.RETRY_AFTER, it) }
        if (!keepAlive) headers.set(HttpHeaderNames.CONNECTION, "close")
        return message
    }

    private companion object {
        /** The protocol's limit on the body of a request. */
        const val MAX_BODY_BYTES = 64 * 1024

        /** Much longer than the heartbeat interval, so that workers keep their connections. */
        const val IDLE_TIMEOUT_SECONDS = 120
        const val CBOR = "application/cbor"

        /** The content type of metrics. The version is that of the Prometheus text format. */
        const val METRICS_TEXT = "text/plain; version=0.0.4"
        val EMPTY_BODY = ByteArray(0)
    }
}
