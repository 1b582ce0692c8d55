package umberslip.scheduling

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import umberslip.core.MachineName
import umberslip.records.Keys
import umberslip.store.Write
import kotlin.time.Duration.Companion.seconds

/** Tests when the tasks of an unresponsive machine are requeued, and when the leader detects its own partition. */
class LeaseExpiryTest {
    private val leader = TestScheduler()

    @Test
    fun `an unresponsive machine's tasks stay assigned until its leases expire or its termination is confirmed`() {
        val job = leader.job()
        leader.startAll(job)
        leader.scheduler.leaseRenewed(MachineName("m"), leader.now)
        leader.now += leader.timings.lease
        leader.tick()
        assertEquals(3, job.assigned.size)
        leader.now += leader.timings.margin + 1.seconds
        leader.tick()
        assertEquals(3, job.assigned.size, "a follower may have renewed its lease")
        leader.write()
        assertTrue(leader.written.any { it.key == Keys.REVOKED_RENEWALS })
        leader.now += leader.timings.lease
        leader.tick()
        assertEquals(3, job.assigned.size)
        leader.now += leader.timings.margin + 1.seconds
        leader.tick()
        assertEquals(0, job.assigned.size)
        assertEquals(3, job.waiting)

        leader.startAll(job, "n")
        leader.scheduler.machinesTerminated(listOf(MachineName("n")), leader.now)
        assertEquals(3, job.waiting)
        val late = leader.heartbeat("n", sequenceNumber = 99)
        assertEquals(HeartbeatDisposition.OUT_OF_DATE, late, "a late heartbeat of a terminated machine")
    }

    @Test
    fun `a leader that no worker reaches any more detects the loss of contact`() {
        // Found on a recorded day: the other controllers sent every worker back to it until all leases had expired.
        fun heartbeatAll() = listOf("a", "b", "c", "d", "e").forEach { leader.heartbeat(it) }

        fun lostWithin(seconds: Int): Boolean =
            (1..seconds).any {
                leader.now += 1.seconds
                leader.hasLostContact()
            }
        assertFalse(lostWithin(10), "no machine has had contact yet")
        heartbeatAll()
        assertFalse(lostWithin(2))
        heartbeatAll()
        assertFalse(leader.hasLostContact())
        assertTrue(lostWithin(5))
        leader.heartbeat("a", sequenceNumber = 9)
        leader.heartbeat("a", sequenceNumber = 10)
        assertFalse(leader.hasLostContact(), "one of five has contact")
    }

    @Test
    fun `revoked lease renewals stay recorded until contact even if not all of them fit into one value`() {
        // If the record named other machines instead, any follower could renew the leases of the first ones again.
        val names = List(300) { "host-%06d".format(it) }

        fun recordedNames() =
            (leader.written.last { it.key == Keys.REVOKED_RENEWALS } as Write.Put).data.getValue("hosts").let { all ->
                (all as List<*>).map { it as String }
            }
        leader.job { it.copy(tasks = 300, cpus = 4.0) }.let { job ->
            names.forEach { leader.heartbeat(it) }
            leader.now += 2.seconds
            names.forEach { leader.dispatch(it) }
            leader.write()
            assertEquals(300, job.assigned.size)
        }
        leader.now += 100.seconds
        leader.tick()
        leader.write()
        val first = recordedNames()
        assertTrue(first.size in 100..299, "${first.size} are named")
        leader.heartbeat(first[0], sequenceNumber = 5)
        leader.heartbeat(first[0], sequenceNumber = 6)
        leader.now += 1.seconds
        leader.tick()
        leader.write()
        assertEquals(first.drop(1), recordedNames().take(first.size - 1))
        assertEquals(first.size, recordedNames().size, "the next machine takes the free place")
    }
}
