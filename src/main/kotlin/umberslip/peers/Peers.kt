package umberslip.peers

import io.netty.channel.Channel
import io.netty.channel.EventLoopGroup
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import umberslip.actor.Actor
import umberslip.core.Clock
import umberslip.settings.Peer
import java.net.InetSocketAddress
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** The messages of the [Peers] actor. */
sealed interface PeersMessage {
    /** A request to notify all peers that the records have changed. */
    data object Announce : PeersMessage

    /** A timer tick: all peers are due a ping. */
    data object Tick : PeersMessage

    /** A frame was received; its sender is reached through [channel]. */
    class Received(
        val frame: PeerFrame,
        val channel: Channel,
    ) : PeersMessage

    /** An attempt to connect to a peer has ended. [channel] is null if it failed. */
    class Opened(
        val peer: Peer,
        val channel: Channel?,
    ) : PeersMessage
}

/**
 * Maintains the connections to the other controllers ([peers]). Their frames are only hints: they let the leader learn
 * of new work at once, and they let a controller avoid sending workers to an unreachable one. Safety does not depend on
 * them.
 *
 * All state is confined to the single thread of [group], on which [scope] also runs. [isServedByStore] tells whether
 * the key-value store serves this controller. [onRecordsChanged] is called when a peer announces a change of the
 * records.
 */
class Peers(
    private val scope: CoroutineScope,
    group: EventLoopGroup,
    private val member: String,
    private val peers: List<Peer>,
    private val clock: Clock,
    private val onRecordsChanged: () -> Unit,
    private val isServedByStore: () -> Boolean,
) : Actor<PeersMessage>("peers", scope, MAILBOX_CAPACITY) {
    private val connections =
        PeerChannels(group, log) { frame, channel -> trySend(PeersMessage.Received(frame, channel)) }
    private val channels = HashMap<String, Channel>()
    private val connectingMembers = HashSet<String>()
    private val lastPongs = HashMap<String, LastPong>()

    /** The arrival time of a member's last pong, and whether the key-value store served the member then. */
    private class LastPong(
        val time: Duration,
        val isServedByStore: Boolean,
    )

    /**
     * Returns whether a controller has recently responded to a ping. A controller that has not responded may still be
     * running.
     */
    fun isReachable(member: String): Boolean = lastPongs[member]?.let { clock.now() - it.time < PONG_TIMEOUT } ?: false

    /** Returns the health of the peers according to their recent pongs. */
    fun peerHealth(): PeerHealth {
        val reachable = peers.filter { isReachable(it.member) }
        return when {
            reachable.any { lastPongs[it.member]?.isServedByStore == true } -> PeerHealth.SERVED
            reachable.isEmpty() -> PeerHealth.UNREACHABLE
            else -> PeerHealth.UNSERVED
        }
    }

    override fun start(): Job {
        scope.launch {
            while (true) {
                trySend(PeersMessage.Tick)
                delay(PING_INTERVAL)
            }
        }
        return super.start()
    }

    /** Listens for connections of peers at [address]. Throws an exception if the address cannot be bound. */
    fun bind(address: InetSocketAddress): Channel = connections.bind(address)

    override suspend fun receive(message: PeersMessage) {
        when (message) {
            PeersMessage.Announce -> peers.forEach { send(it, PeerFrame.RecordsChanged(member)) }
            PeersMessage.Tick -> peers.forEach { send(it, PeerFrame.Ping(member)) }
            is PeersMessage.Received -> receive(message.frame, message.channel)
            is PeersMessage.Opened -> opened(message.peer, message.channel)
        }
    }

    private fun receive(
        frame: PeerFrame,
        channel: Channel,
    ) {
        when (frame) {
            is PeerFrame.RecordsChanged -> onRecordsChanged()
            is PeerFrame.Ping -> connections.write(channel, PeerFrame.Pong(member, isServedByStore()))
            is PeerFrame.Pong -> lastPongs[frame.from] = LastPong(clock.now(), frame.isServedByStore)
        }
    }

    private fun opened(
        peer: Peer,
        channel: Channel?,
    ) {
        connectingMembers -= peer.member
        if (channel == null) return
        channels[peer.member] = channel
        // Announcements made while there was no connection were not delivered, so one is sent now.
        connections.write(channel, PeerFrame.RecordsChanged(member))
        connections.write(channel, PeerFrame.Ping(member))
    }

    private fun send(
        peer: Peer,
        frame: PeerFrame,
    ) {
        val channel = channels[peer.member]
        val isUnresponsive = channel != null && isUnresponsive(peer.member)
        if (channel != null && channel.isActive && !isUnresponsive) {
            connections.write(channel, frame)
            return
        }
        channels.remove(peer.member)?.close()
        if (isUnresponsive) lastPongs.remove(peer.member)
        connect(peer)
    }

    /** Returns whether the last pong of a member is so old that the connection to it should be replaced. */
    private fun isUnresponsive(member: String): Boolean {
        val lastPong = lastPongs[member] ?: return false
        return clock.now() - lastPong.time > RECONNECT_AFTER
    }

    private fun connect(peer: Peer) {
        if (!connectingMembers.add(peer.member)) return
        connections.connect(
            peer.address,
            onOpened = { enqueue(PeersMessage.Opened(peer, it)) },
            // The connections of a process that ends are closed, so the peer counts as unreachable at once.
            onClosed = { lastPongs.remove(peer.member) },
        )
    }

    private companion object {
        /** There are only a few controllers, and each sends only a few frames per second. */
        const val MAILBOX_CAPACITY = 256

        val PING_INTERVAL = 500.milliseconds

        /** A peer counts as unreachable once three pings have had no pong. */
        val PONG_TIMEOUT = 1500.milliseconds

        /**
         * The age of the last pong beyond which a connection is replaced. It is longer than a short network
         * interruption, which a connection survives.
         */
        val RECONNECT_AFTER = 4.seconds
    }
}
