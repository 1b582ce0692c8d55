package umberslip.http

import io.netty.bootstrap.Bootstrap
import io.netty.buffer.Unpooled
import io.netty.channel.Channel
import io.netty.channel.ChannelFutureListener
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.EventLoopGroup
import io.netty.channel.SimpleChannelInboundHandler
import io.netty.channel.socket.SocketChannel
import io.netty.channel.socket.nio.NioSocketChannel
import io.netty.handler.codec.http.DefaultFullHttpRequest
import io.netty.handler.codec.http.FullHttpRequest
import io.netty.handler.codec.http.FullHttpResponse
import io.netty.handler.codec.http.HttpClientCodec
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpObjectAggregator
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.HttpVersion
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.withTimeoutOrNull
import java.net.InetSocketAddress
import kotlin.time.Duration
import kotlin.time.TimeSource

/** A server's response to a request of the [HttpClient]. The body is null if the response has none. */
class Reply(
    val status: Int,
    val body: Any?,
) {
    /** Returns the fields of the body, which must be a map. */
    fun fields(): Fields = Fields.of(body)
}

/**
 * Sends requests to one server over persistent connections, one request at a time on each. Confined to the single
 * thread of [group].
 */
class HttpClient(
    private val group: EventLoopGroup,
    private val address: InetSocketAddress,
    /** The maximum size of a response body, in bytes. */
    private val maxBodyBytes: Int,
    private val timeSource: TimeSource = TimeSource.Monotonic,
) {
    private val idleConnections = ArrayDeque<Channel>()

    /**
     * Sends a request and waits for its response. [timeout] applies to connecting and then, anew, to the response.
     *
     * @throws ServiceUnavailableException if nothing was sent
     * @throws NoResponseException if no readable response arrived
     */
    suspend fun call(
        method: HttpMethod,
        path: String,
        body: Any?,
        timeout: Duration,
    ): Reply {
        val channel = acquireConnectionWithin(timeout)
        val reply = CompletableDeferred<Reply>()
        channel.pipeline().get(ReplyHandler::class.java).pendingReply = reply
        channel.writeAndFlush(createRequest(method, path, body)).addListener(
            ChannelFutureListener {
                if (!it.isSuccess) reply.completeExceptionally(NoResponseException("$address: ${it.cause()}"))
            },
        )
        try {
            return withTimeoutOrNull(timeout) { reply.await() }
                ?: throw NoResponseException("no response from $address within $timeout")
        } finally {
            // A connection with an outstanding response cannot be reused.
            if (!reply.isCompleted) channel.close()
        }
    }

    private suspend fun acquireConnectionWithin(timeout: Duration): Channel {
        val startedAt = timeSource.markNow()
        val channel =
            withTimeoutOrNull(timeout) { acquireConnection() }
                ?: throw ServiceUnavailableException("no connection to $address within $timeout")
        // After a pause of the process, the connection and the timer may be ready at the same time, and the connection
        // is returned after the timeout. The request is based on what was known before the pause, so it is not sent.
        if (startedAt.elapsedNow() > timeout) {
            idleConnections.addLast(channel)
            throw ServiceUnavailableException("not sent to $address within $timeout")
        }
        return channel
    }

    private fun createRequest(
        method: HttpMethod,
        path: String,
        body: Any?,
    ): FullHttpRequest {
        val bytes = if (body == null) ByteArray(0) else Documents.writeCbor(body)
        val request = DefaultFullHttpRequest(HttpVersion.HTTP_1_1, method, path, Unpooled.wrappedBuffer(bytes))
        request
            .headers()
            .set(HttpHeaderNames.HOST, "${address.hostString}:${address.port}")
            .set(HttpHeaderNames.CONTENT_LENGTH, bytes.size)
        if (body != null) request.headers().set(HttpHeaderNames.CONTENT_TYPE, "application/cbor")
        return request
    }

    private suspend fun acquireConnection(): Channel {
        while (true) {
            val idle = idleConnections.removeLastOrNull() ?: break
            if (idle.isActive) return idle
        }
        return connect()
    }

    private suspend fun connect(): Channel {
        val pendingChannel = CompletableDeferred<Channel>()
        val future =
            Bootstrap()
                .group(group)
                .channel(NioSocketChannel::class.java)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
                .handler(
                    object : ChannelInitializer<SocketChannel>() {
                        override fun initChannel(channel: SocketChannel) {
                            channel.pipeline().addLast(
                                HttpClientCodec(),
                                HttpObjectAggregator(maxBodyBytes),
                                ReplyHandler(),
                            )
                        }
                    },
                ).connect(address)
        future.addListener(
            ChannelFutureListener {
                if (!it.isSuccess) {
                    pendingChannel.completeExceptionally(ServiceUnavailableException("$address: ${it.cause()}"))
                } else if (!pendingChannel.complete(it.channel())) {
                    // The caller no longer waits.
                    it.channel().close()
                }
            },
        )
        try {
            return pendingChannel.await()
        } finally {
            pendingChannel.cancel()
        }
    }

    /** Completes the pending reply of its connection. */
    private inner class ReplyHandler : SimpleChannelInboundHandler<FullHttpResponse>() {
        var pendingReply: CompletableDeferred<Reply>? = null

        override fun channelRead0(
            ctx: ChannelHandlerContext,
            message: FullHttpResponse,
        ) {
            val reply = pendingReply
            pendingReply = null
            val bytes = ByteArray(message.content().readableBytes())
            message.content().readBytes(bytes)
            if (HttpUtil.isKeepAlive(message) && reply != null) {
                idleConnections.addLast(ctx.channel())
            } else {
                ctx.close()
            }
            try {
                val body = if (bytes.isEmpty()) null else Documents.readCbor(bytes)
                reply?.complete(Reply(message.status().code(), body))
            } catch (e: MalformedMessageException) {
                reply?.completeExceptionally(NoResponseException("malformed response from $address: ${e.message}"))
            }
        }

        override fun channelInactive(ctx: ChannelHandlerContext) {
            idleConnections.remove(ctx.channel())
            pendingReply?.completeExceptionally(NoResponseException("$address closed the connection"))
        }

        @Deprecated("deprecated in Netty")
        override fun exceptionCaught(
            ctx: ChannelHandlerContext,
            cause: Throwable,
        ) {
            pendingReply?.completeExceptionally(NoResponseException("$address: $cause"))
            ctx.close()
        }
    }

    private companion object {
        /** Equal to the shortest timeouts of callers. */
        const val CONNECT_TIMEOUT_MILLIS = 1000
    }
}
