package umberslip.peers

import okio.Buffer
import okio.EOFException

/**
 * A message between controllers. The loss of any message does no harm. On the wire, a message consists of a length of
 * four bytes, a kind of one byte and a body that depends on the kind. Released versions read and write the same bytes.
 */
sealed interface PeerFrame {
    /** Announces that a job was accepted or cancelled, so the leader should read the records now. */
    data class RecordsChanged(
        val from: String,
    ) : PeerFrame

    /** Asks whether the receiver is reachable. */
    data class Ping(
        val from: String,
    ) : PeerFrame

    /** The response to a ping. [isServedByStore] tells whether the key-value store serves the sender of the pong. */
    data class Pong(
        val from: String,
        val isServedByStore: Boolean,
    ) : PeerFrame

    /** Returns the encoded frame, preceded by its length. */
    fun encode(): Buffer {
        val body = Buffer()
        when (this) {
            is RecordsChanged -> body.writeByte(RECORDS_CHANGED).writeUtf8(from)
            is Ping -> body.writeByte(PING).writeUtf8(from)
            is Pong -> body.writeByte(PONG).writeByte(if (isServedByStore) 1 else 0).writeUtf8(from)
        }
        return Buffer().writeInt(body.size.toInt()).apply { writeAll(body) }
    }

    companion object {
        private const val RECORDS_CHANGED = 1
        private const val PING = 2
        private const val PONG = 3

        /** Member names are short, so a longer frame cannot be valid. */
        const val MAX_BYTES = 1024

        /** Decodes a frame without its length. Returns null if the frame is malformed or of an unknown kind. */
        fun decode(body: Buffer): PeerFrame? =
            try {
                when (body.readByte().toInt()) {
                    RECORDS_CHANGED -> RecordsChanged(body.readUtf8())
                    PING -> Ping(body.readUtf8())
                    PONG -> body.readByte().let { Pong(body.readUtf8(), it.toInt() != 0) }
                    else -> null
                }
            } catch (_: EOFException) {
                null
            }
    }
}
