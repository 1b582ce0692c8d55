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

class Reply(
    val status: Int,
    val body: Any?,
) {
    fun fields(): Fields = Fields.of(body)
}

/** Calls one server over kept-open connections, one request at a time on each. */
class HttpClient(
    private val group: EventLoopGroup,
    private val address: InetSocketAddress,
    private val maxBody: Int,
    private val timeSource: TimeSource = TimeSource.Monotonic,
) {
    private val idle = ArrayDeque<Channel>()

    suspend fun call(
        method: HttpMethod,
        path: String,
        body: Any?,
        timeout: Duration,
    ): Reply {
        val began = timeSource.markNow()
        val channel =
            withTimeoutOrNull(timeout) { connection() } ?: throw ServiceUnavailableException("no connection to $address in $timeout")
        // After a standstill of the process, the connection and the timer are ready at the same time. What was to be
        // sent rests on what was known then.
        if (began.elapsedNow() > timeout) {
            idle.addLast(channel)
            throw ServiceUnavailableException("not sent to $address in $timeout")
        }
        val answer = CompletableDeferred<Reply>()
        val calls = channel.pipeline().get(Calls::class.java)
        calls.waiting = answer
        val bytes = if (body == null) ByteArray(0) else Documents.writeCbor(body)
        val request = DefaultFullHttpRequest(HttpVersion.HTTP_1_1, method, path, Unpooled.wrappedBuffer(bytes))
        request
            .headers()
            .set(HttpHeaderNames.HOST, "${address.hostString}:${address.port}")
            .set(HttpHeaderNames.CONTENT_LENGTH, bytes.size)
        if (body != null) request.headers().set(HttpHeaderNames.CONTENT_TYPE, "application/cbor")
        channel.writeAndFlush(request).addListener(
            ChannelFutureListener {
                if (!it.isSuccess) answer.completeExceptionally(NoResponseException("$address: ${it.cause()}"))
            },
        )
        try {
            return withTimeoutOrNull(timeout) { answer.await() }
                ?: throw NoResponseException("no answer from $address in $timeout")
        } finally {
            // A connection with an answer outstanding cannot be used again.
            if (!answer.isCompleted) channel.close()
        }
    }

    private suspend fun connection(): Channel {
        while (true) {
            val kept = idle.removeLastOrNull() ?: break
            if (kept.isActive) return kept
        }
        val made = CompletableDeferred<Channel>()
        val future =
            Bootstrap()
                .group(group)
                .channel(NioSocketChannel::class.java)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_MILLIS)
                .handler(
                    object : ChannelInitializer<SocketChannel>() {
                        override fun initChannel(channel: SocketChannel) {
                            channel.pipeline().addLast(HttpClientCodec(), HttpObjectAggregator(maxBody), Calls())
                        }
                    },
                ).connect(address)
        future.addListener(
            ChannelFutureListener {
                if (!it.isSuccess) {
                    made.completeExceptionally(ServiceUnavailableException("$address: ${it.cause()}"))
                } else if (!made.complete(it.channel())) {
                    it.channel().close()
                }
            },
        )
        try {
            return made.await()
        } finally {
            made.cancel()
        }
    }

    private inner class Calls : SimpleChannelInboundHandler<FullHttpResponse>() {
        var waiting: CompletableDeferred<Reply>? = null

        override fun channelRead0(
            ctx: ChannelHandlerContext,
            message: FullHttpResponse,
        ) {
            val answer = waiting
            waiting = null
            val bytes = ByteArray(message.content().readableBytes())
            message.content().readBytes(bytes)
            if (HttpUtil.isKeepAlive(message) && answer != null) idle.addLast(ctx.channel()) else ctx.close()
            try {
                answer?.complete(
                    Reply(message.status().code(), if (bytes.isEmpty()) null else Documents.readCbor(bytes)),
                )
            } catch (e: MalformedMessageException) {
                answer?.completeExceptionally(NoResponseException("$address answered nonsense: ${e.message}"))
            }
        }

        override fun channelInactive(ctx: ChannelHandlerContext) {
            idle.remove(ctx.channel())
            waiting?.completeExceptionally(NoResponseException("$address closed the connection"))
        }

        @Deprecated("as Netty's")
        override fun exceptionCaught(
            ctx: ChannelHandlerContext,
            cause: Throwable,
        ) {
            waiting?.completeExceptionally(NoResponseException("$address: $cause"))
            ctx.close()
        }
    }

    private companion object {
        const val CONNECT_MILLIS = 1000
    }
}
