package umberslip.peers

import io.netty.bootstrap.Bootstrap
import io.netty.bootstrap.ServerBootstrap
import io.netty.buffer.ByteBuf
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
import io.netty.channel.socket.nio.NioSocketChannel
import io.netty.handler.codec.LengthFieldBasedFrameDecoder
import okio.Buffer
import org.slf4j.Logger
import java.net.InetSocketAddress

/**
 * Opens connections between controllers. Both ends of a connection decode frames in the same way and pass each one to
 * [onFrame], with the channel on which to respond. All callbacks run on the threads of [group].
 */
internal class PeerChannels(
    private val group: EventLoopGroup,
    private val log: Logger,
    private val onFrame: (PeerFrame, Channel) -> Unit,
) {
    /** Listens for connections at [address]. Throws an exception if the address cannot be bound. */
    fun bind(address: InetSocketAddress): Channel =
        ServerBootstrap()
            .group(group)
            .channel(NioServerSocketChannel::class.java)
            .option(ChannelOption.SO_REUSEADDR, true)
            .childHandler(Initializer(onClosed = {}))
            .bind(address)
            .sync()
            .channel()

    /**
     * Connects to a peer. Calls [onOpened] once, with null if the peer cannot be reached, and [onClosed] when the
     * channel is closed.
     */
    fun connect(
        address: InetSocketAddress,
        onOpened: (Channel?) -> Unit,
        onClosed: () -> Unit,
    ) {
        Bootstrap()
            .group(group)
            .channel(NioSocketChannel::class.java)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
            .handler(Initializer(onClosed))
            .connect(address)
            .addListener(ChannelFutureListener { onOpened(if (it.isSuccess) it.channel() else null) })
    }

    /** Writes a frame, or drops it if the connection is congested. Anything important is sent again. */
    fun write(
        channel: Channel,
        frame: PeerFrame,
    ) {
        if (channel.isWritable) channel.writeAndFlush(Unpooled.wrappedBuffer(frame.encode().readByteArray()))
    }

    private inner class Initializer(
        private val onClosed: () -> Unit,
    ) : ChannelInitializer<SocketChannel>() {
        override fun initChannel(channel: SocketChannel) {
            channel.pipeline().addLast(
                LengthFieldBasedFrameDecoder(PeerFrame.MAX_BYTES, 0, Int.SIZE_BYTES, 0, Int.SIZE_BYTES),
                FrameHandler(),
            )
            channel.closeFuture().addListener { onClosed() }
        }
    }

    private inner class FrameHandler : SimpleChannelInboundHandler<ByteBuf>() {
        override fun channelRead0(
            context: ChannelHandlerContext,
            message: ByteBuf,
        ) {
            val bytes = ByteArray(message.readableBytes())
            message.readBytes(bytes)
            val frame = PeerFrame.decode(Buffer().write(bytes))
            if (frame == null) {
                log.warn("peer frame unreadable, closing connection: remote={}", context.channel().remoteAddress())
                context.close()
            } else {
                onFrame(frame, context.channel())
            }
        }

        @Deprecated("overrides a method that Netty deprecates")
        override fun exceptionCaught(
            context: ChannelHandlerContext,
            cause: Throwable,
        ) {
            log.debug("peer connection failed: cause={}", cause.toString())
            context.close()
        }
    }

    private companion object {
        /**
         * Controllers have short network paths to one another. A controller that takes longer to connect counts as
         * unreachable anyway.
         */
        const val CONNECT_TIMEOUT_MILLIS = 1000
    }
}
