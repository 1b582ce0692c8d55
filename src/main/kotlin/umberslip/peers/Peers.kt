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
    /** Tells all peers that the records have changed. */
    data object Announce : PeersMessage

    /** Time to ping all peers. */
    data object Tick : PeersMessage

    /** A frame arrived; [channel] leads back to its sender. */
    class Received(
        val frame: PeerFrame,
        val channel: Channel,
    ) : PeersMessage

    /** An attempt to connect has ended; [channel] is null if it failed. */
    class Opened(
        val peer: Peer,
        val channel: Channel?,
    ) : PeersMessage
}

/**
 * The connections to the other controllers ([known]). They carry hints only, so that a leader learns of new work at
 * once, and workers are not sent to a controller that cannot be reached. Nothing safety rests on depends on them.
 *
 * All state is used on the one thread of [group], which [scope] runs on, too. [isServed] tells whether the key-value
 * store serves this controller; [onRecordsChanged] is called when a peer announced a change.
 */
class Peers(
    private val scope: CoroutineScope,
    group: EventLoopGroup,
    private val member: String,
    private val known: List<Peer>,
    private val clock: Clock,
    private val onRecordsChanged: () -> Unit,
    private val isServed: () -> Boolean,
) : Actor<PeersMessage>("peers", scope, MAILBOX_CAPACITY) {
    private val connections =
        PeerChannels(group, log) { frame, channel -> trySend(PeersMessage.Received(frame, channel)) }
    private val channels = HashMap<String, Channel>()
    private val connecting = HashSet<String>()
    private val contacts = HashMap<String, Contact>()

    /** The last pong of a member: when it arrived, and whether the key-value store serves the member. */
    private class Contact(
        val at: Duration,
        val isServed: Boolean,
    )

    /** Whether a controller has responded lately; that it has not does not prove that it is dead. */
    fun isReachable(member: String): Boolean = contacts[member]?.let { clock.now() - it.at < UNREACHABLE_AFTER } ?: false

    /** As the peers said lately, by their pongs. */
    fun peerHealth(): PeerHealth {
        val reachable = known.filter { isReachable(it.member) }
        return when {
            reachable.any { contacts[it.member]?.isServed == true } -> PeerHealth.SERVED
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

    /** Accepts connections of peers; fails if the address cannot be bound. */
    fun bind(address: InetSocketAddress): Channel = connections.bind(address)

    override suspend fun receive(message: PeersMessage) {
        when (message) {
            PeersMessage.Announce -> known.forEach { send(it, PeerFrame.RecordsChanged(member)) }
            PeersMessage.Tick -> known.forEach { send(it, PeerFrame.Ping(member)) }
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
            is PeerFrame.Ping -> connections.write(channel, PeerFrame.Pong(member, isServed()))
            is PeerFrame.Pong -> contacts[frame.from] = Contact(clock.now(), frame.served)
        }
    }

    private fun opened(
        peer: Peer,
        channel: Channel?,
    ) {
        connecting -= peer.member
        if (channel == null) return
        channels[peer.member] = channel
        // A change may have been announced while there was no connection.
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
        if (isUnresponsive) contacts.remove(peer.member)
        connect(peer)
    }

    /** Whether nothing has come back for so long that a new connection is to replace the present one. */
    private fun isUnresponsive(member: String): Boolean {
        val contact = contacts[member] ?: return false
        return clock.now() - contact.at > RECONNECT_AFTER
    }

    private fun connect(peer: Peer) {
        if (!connecting.add(peer.member)) return
        connections.connect(
            peer.address,
            onOpened = { enqueue(PeersMessage.Opened(peer, it)) },
            // A process that ended closes its connections: it is not reached from then on.
            onClosed = { contacts.remove(peer.member) },
        )
    }

    private companion object {
        /** A few controllers, a few frames a second each. */
        const val MAILBOX_CAPACITY = 256

        val PING_INTERVAL = 500.milliseconds

        /** Three pings without a pong. */
        val UNREACHABLE_AFTER = 1500.milliseconds

        /** Longer than a short interruption, after which the same connection goes on. */
        val RECONNECT_AFTER = 4.seconds
    }
}
