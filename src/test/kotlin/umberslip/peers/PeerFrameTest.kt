package umberslip.peers

import io.kotest.property.Arb
import io.kotest.property.PropTestConfig
import io.kotest.property.arbitrary.byte
import io.kotest.property.arbitrary.byteArray
import io.kotest.property.arbitrary.int
import io.kotest.property.arbitrary.string
import io.kotest.property.checkAll
import kotlinx.coroutines.runBlocking
import okio.Buffer
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

class PeerFrameTest {
    private val propertyConfig = PropTestConfig(seed = 5, iterations = 200)

    @Test
    fun `decoding an encoded frame returns the same frame`() =
        runBlocking<Unit> {
            checkAll(propertyConfig, Arb.string(0, 40)) { member ->
                val pongs = listOf(PeerFrame.Pong(member, true), PeerFrame.Pong(member, false))
                for (frame in listOf(PeerFrame.RecordsChanged(member), PeerFrame.Ping(member)) + pongs) {
                    val bytes = frame.encode()
                    assertEquals(bytes.readInt().toLong(), bytes.size)
                    assertEquals(frame, PeerFrame.decode(bytes))
                }
            }
        }

    @Test
    fun `decoding malformed bytes returns null without an exception`() =
        runBlocking<Unit> {
            assertNull(PeerFrame.decode(Buffer()))
            checkAll(propertyConfig, Arb.byteArray(Arb.int(0..40), Arb.byte())) { bytes ->
                val frame = PeerFrame.decode(Buffer().write(bytes))
                assertTrue(frame == null || bytes[0].toInt() in 1..3)
            }
        }
}
