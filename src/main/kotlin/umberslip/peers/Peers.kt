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
import kotlinx.coroutines.CoroutineScope
import okio.Buffer
import okio.EOFException
import umberslip.actor.Actor
import umberslip.settings.Peer
import java.net.InetSocketAddress

/** What controllers tell one another; losing any of it does no harm. */
sealed interface PeerFrame {
    /** A job was accepted or cancelled: whoever owns should read the records now. */
    data class News(val from: String) : PeerFrame

    fun encode(): Buffer {
        val body = Buffer()
        when (this) {
            is News -> body.writeByte(NEWS).writeUtf8(from)
        }
        return Buffer().writeInt(body.size.toInt()).apply { writeAll(body) }
    }

    companion object {
        private const val NEWS = 1
        const val MAX_BYTES = 1024

        /** Null for what cannot be read, or is of a kind not known yet. */
        fun decode(body: Buffer): PeerFrame? = try {
            if (body.readByte().toInt() == NEWS) News(body.readUtf8()) else null
        } catch (e: EOFException) {
            null
        }
    }
}

sealed interface PeersMessage {
    data object Announce : PeersMessage
    class Received(val frame: PeerFrame) : PeersMessage
    class Opened(val peer: Peer, val channel: Channel?) : PeersMessage
}

/** The link to the other controllers: hints only, so that an owner hears of new work at once. */
class Peers(
    scope: CoroutineScope,
    private val group: EventLoopGroup,
    private val member: String,
    private val known: List<Peer>,
    private val onNews: () -> Unit,
) : Actor<PeersMessage>("peers", scope, capacity = 256) {
    private val channels = HashMap<String, Channel>()
    private val opening = HashSet<String>()

    fun bind(address: InetSocketAddress): Channel = ServerBootstrap().group(group).channel(NioServerSocketChannel::class.java)
        .option(ChannelOption.SO_REUSEADDR, true)
        .childHandler(object : ChannelInitializer<SocketChannel>() {
            override fun initChannel(channel: SocketChannel) {
                channel.pipeline().addLast(LengthFieldBasedFrameDecoder(PeerFrame.MAX_BYTES, 0, 4, 0, 4), Inbound())
            }
        })
        .bind(address).sync().channel()

    override suspend fun receive(message: PeersMessage) {
        when (message) {
            PeersMessage.Announce -> known.forEach(::announce)
            is PeersMessage.Received -> onNews()
            is PeersMessage.Opened -> {
                opening -= message.peer.member
                val channel = message.channel ?: return
                channels[message.peer.member] = channel
                announce(message.peer)
            }
        }
    }

    private fun announce(peer: Peer) {
        val channel = channels[peer.member]
        if (channel == null || !channel.isActive) {
            channels.remove(peer.member)
            open(peer)
        } else if (channel.isWritable) {
            channel.writeAndFlush(Unpooled.wrappedBuffer(PeerFrame.News(member).encode().readByteArray()))
        }
    }

    private fun open(peer: Peer) {
        if (!opening.add(peer.member)) return
        Bootstrap().group(group).channel(NioSocketChannel::class.java)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_MILLIS)
            .handler(object : ChannelInitializer<SocketChannel>() {
                override fun initChannel(channel: SocketChannel) = Unit
            })
            .connect(peer.address)
            .addListener(ChannelFutureListener { tell(PeersMessage.Opened(peer, if (it.isSuccess) it.channel() else null)) })
    }

    private inner class Inbound : SimpleChannelInboundHandler<ByteBuf>() {
        override fun channelRead0(ctx: ChannelHandlerContext, message: ByteBuf) {
            val bytes = ByteArray(message.readableBytes())
            message.readBytes(bytes)
            val frame = PeerFrame.decode(Buffer().write(bytes))
            if (frame == null) {
                log.warn("a frame from {} cannot be read: connection closed", ctx.channel().remoteAddress())
                ctx.close()
            } else {
                tell(PeersMessage.Received(frame))
            }
        }

        @Deprecated("as Netty's")
        override fun exceptionCaught(ctx: ChannelHandlerContext, cause: Throwable) {
            log.debug("peer connection ended: {}", cause.toString())
            ctx.close()
        }
    }

    private companion object {
        const val CONNECT_MILLIS = 1000
    }
}
