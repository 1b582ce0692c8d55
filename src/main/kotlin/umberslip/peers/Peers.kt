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
import kotlinx.coroutines.Job
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import okio.Buffer
import okio.EOFException
import umberslip.actor.Actor
import umberslip.core.Clock
import umberslip.settings.Peer
import java.net.InetSocketAddress
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** What controllers tell one another; losing any of it does no harm. */
sealed interface PeerFrame {
    /** A job was accepted or cancelled: whoever leads should read the records now. */
    data class News(
        val from: String,
    ) : PeerFrame

    /** Asks whether the other is there. */
    data class Ping(
        val from: String,
    ) : PeerFrame

    /** The answer to a ping; [served] tells whether the key-value store serves the one that answers. */
    data class Pong(
        val from: String,
        val served: Boolean,
    ) : PeerFrame

    fun encode(): Buffer {
        val body = Buffer()
        when (this) {
            is News -> body.writeByte(NEWS).writeUtf8(from)
            is Ping -> body.writeByte(PING).writeUtf8(from)
            is Pong -> body.writeByte(PONG).writeByte(if (served) 1 else 0).writeUtf8(from)
        }
        return Buffer().writeInt(body.size.toInt()).apply { writeAll(body) }
    }

    companion object {
        private const val NEWS = 1
        private const val PING = 2
        private const val PONG = 3
        const val MAX_BYTES = 1024

        /** Null for what cannot be read, or is of a kind not known yet. */
        fun decode(body: Buffer): PeerFrame? =
            try {
                when (body.readByte().toInt()) {
                    NEWS -> News(body.readUtf8())
                    PING -> Ping(body.readUtf8())
                    PONG -> body.readByte().let { Pong(body.readUtf8(), it.toInt() != 0) }
                    else -> null
                }
            } catch (e: EOFException) {
                null
            }
    }
}

/** What the other controllers that can be reached say of the key-value store. */
enum class PeerHealth {
    /** It serves at least one of them. */
    SERVED,

    /** It serves none of them. */
    UNSERVED,

    /** None can be reached. */
    UNREACHABLE,
}

sealed interface PeersMessage {
    data object Announce : PeersMessage

    data object Tick : PeersMessage

    class Received(
        val frame: PeerFrame,
        val channel: Channel,
    ) : PeersMessage

    class Opened(
        val peer: Peer,
        val channel: Channel?,
    ) : PeersMessage
}

/**
 * The link to the other controllers: hints only, so that an leader learns of new work at once, and
 * workers are not sent to a controller that cannot be reached.
 */
class Peers(
    private val scope: CoroutineScope,
    private val group: EventLoopGroup,
    private val member: String,
    private val known: List<Peer>,
    private val clock: Clock,
    private val onNews: () -> Unit,
    private val served: () -> Boolean,
) : Actor<PeersMessage>("peers", scope, capacity = 256) {
    private val channels = HashMap<String, Channel>()
    private val opening = HashSet<String>()
    private val heard = HashMap<String, Duration>()
    private val othersServed = HashMap<String, Boolean>()

    /** Whether a controller has answered lately; that it has not does not prove that it is dead. */
    fun reaches(member: String): Boolean = heard[member]?.let { clock.now() - it < SILENT } ?: false

    fun peerHealth(): PeerHealth {
        val near = known.filter { reaches(it.member) }
        return if (near.any { othersServed[it.member] == true }) {
            PeerHealth.SERVED
        } else if (near.isEmpty()) {
            PeerHealth.UNREACHABLE
        } else {
            PeerHealth.UNSERVED
        }
    }

    override fun start(): Job {
        scope.launch {
            while (true) {
                trySend(PeersMessage.Tick)
                delay(PING_EVERY)
            }
        }
        return super.start()
    }

    fun bind(address: InetSocketAddress): Channel =
        ServerBootstrap()
            .group(group)
            .channel(NioServerSocketChannel::class.java)
            .option(ChannelOption.SO_REUSEADDR, true)
            .childHandler(
                object : ChannelInitializer<SocketChannel>() {
                    override fun initChannel(channel: SocketChannel) {
                        channel.pipeline().addLast(
                            LengthFieldBasedFrameDecoder(PeerFrame.MAX_BYTES, 0, Int.SIZE_BYTES, 0, Int.SIZE_BYTES),
                            Inbound(),
                        )
                    }
                },
            ).bind(address)
            .sync()
            .channel()

    override suspend fun receive(message: PeersMessage) {
        when (message) {
            PeersMessage.Announce -> known.forEach { send(it, PeerFrame.News(member)) }
            PeersMessage.Tick -> known.forEach { send(it, PeerFrame.Ping(member)) }
            is PeersMessage.Received ->
                when (val frame = message.frame) {
                    is PeerFrame.News -> onNews()
                    is PeerFrame.Ping -> write(message.channel, PeerFrame.Pong(member, served()))
                    is PeerFrame.Pong -> {
                        heard[frame.from] = clock.now()
                        othersServed[frame.from] = frame.served
                    }
                }
            is PeersMessage.Opened -> {
                opening -= message.peer.member
                val channel = message.channel ?: return
                channels[message.peer.member] = channel
                // What was to be said when there was no connection may have been news.
                write(channel, PeerFrame.News(member))
                write(channel, PeerFrame.Ping(member))
            }
        }
    }

    private fun send(
        peer: Peer,
        frame: PeerFrame,
    ) {
        val channel = channels[peer.member]
        // A connection over which nothing comes back any more is given up for a new one.
        val stuck =
            channel != null && !reaches(peer.member) && heard[peer.member]?.let { clock.now() - it > GIVE_UP } == true
        if (channel == null || !channel.isActive || stuck) {
            channels.remove(peer.member)?.close()
            if (stuck) heard.remove(peer.member)
            open(peer)
        } else {
            write(channel, frame)
        }
    }

    private fun write(
        channel: Channel,
        frame: PeerFrame,
    ) {
        if (channel.isWritable) channel.writeAndFlush(Unpooled.wrappedBuffer(frame.encode().readByteArray()))
    }

    private fun open(peer: Peer) {
        if (!opening.add(peer.member)) return
        Bootstrap()
            .group(group)
            .channel(NioSocketChannel::class.java)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_MILLIS)
            .handler(
                object : ChannelInitializer<SocketChannel>() {
                    override fun initChannel(channel: SocketChannel) {
                        channel.pipeline().addLast(
                            LengthFieldBasedFrameDecoder(PeerFrame.MAX_BYTES, 0, Int.SIZE_BYTES, 0, Int.SIZE_BYTES),
                            Inbound(),
                        )
                        // A process that ended closes its connections: it is not reached from then on.
                        channel.closeFuture().addListener { heard.remove(peer.member) }
                    }
                },
            ).connect(peer.address)
            .addListener(
                ChannelFutureListener { enqueue(PeersMessage.Opened(peer, if (it.isSuccess) it.channel() else null)) },
            )
    }

    private inner class Inbound : SimpleChannelInboundHandler<ByteBuf>() {
        override fun channelRead0(
            ctx: ChannelHandlerContext,
            message: ByteBuf,
        ) {
            val bytes = ByteArray(message.readableBytes())
            message.readBytes(bytes)
            val frame = PeerFrame.decode(Buffer().write(bytes))
            if (frame == null) {
                log.warn("a frame from {} cannot be read: connection closed", ctx.channel().remoteAddress())
                ctx.close()
            } else {
                trySend(PeersMessage.Received(frame, ctx.channel()))
            }
        }

        @Deprecated("as Netty's")
        override fun exceptionCaught(
            ctx: ChannelHandlerContext,
            cause: Throwable,
        ) {
            log.debug("peer connection ended: {}", cause.toString())
            ctx.close()
        }
    }

    private companion object {
        const val CONNECT_MILLIS = 1000
        val PING_EVERY = 500.milliseconds
        val SILENT = 1500.milliseconds
        val GIVE_UP = 4.seconds
    }
}
