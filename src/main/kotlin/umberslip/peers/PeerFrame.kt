package umberslip.peers

import okio.Buffer
import okio.EOFException

/**
 * A message between controllers; losing any of them does no harm. On the connection each is a length of four bytes, a
 * kind of one byte and the rest by kind. Released versions read and write the same bytes.
 */
sealed interface PeerFrame {
    /** A job was accepted or cancelled: whoever leads should read the records now. */
    data class RecordsChanged(
        val from: String,
    ) : PeerFrame

    /** Asks whether the receiver can be reached. */
    data class Ping(
        val from: String,
    ) : PeerFrame

    /** The response to a ping; [served] tells whether the key-value store serves the sender. */
    data class Pong(
        val from: String,
        val served: Boolean,
    ) : PeerFrame

    /** The frame with its length. */
    fun encode(): Buffer {
        val body = Buffer()
        when (this) {
            is RecordsChanged -> body.writeByte(RECORDS_CHANGED).writeUtf8(from)
            is Ping -> body.writeByte(PING).writeUtf8(from)
            is Pong -> body.writeByte(PONG).writeByte(if (served) 1 else 0).writeUtf8(from)
        }
        return Buffer().writeInt(body.size.toInt()).apply { writeAll(body) }
    }

    companion object {
        private const val RECORDS_CHANGED = 1
        private const val PING = 2
        private const val PONG = 3

        /** Member names are short; a longer frame is not one of these. */
        const val MAX_BYTES = 1024

        /** Reads a frame without its length; null for one that is unreadable or of a kind not known yet. */
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
