package umberslip.recovery

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Test
import umberslip.core.MachineName
import umberslip.core.Term
import kotlin.random.Random
import kotlin.time.Duration.Companion.seconds

class RecoveryTrackerTest {
    @Test
    fun `a recovery without recorded tasks is settled at once`() {
        val tracker = RecoveryTracker(Term(3), 10.seconds)
        tracker.recordsLoaded(emptyMap(), 10.seconds)
        assertEquals(RecoveryPhase.SETTLED, tracker.snapshot(10.seconds).phase)
    }

    /** Machines report, are lost, report again or again after their loss, in any order. */
    @Test
    fun `every recorded task is unheard, found or lost, and the recovery ends with the last of them`() {
        for (seed in 1..200) {
            val random = Random(seed)
            val recorded = List(random.nextInt(1, 20)) { MachineName("m$it") }.associateWith { random.nextInt(1, 9) }
            val tracker = RecoveryTracker(Term(2), 100.seconds)
            tracker.recordsLoaded(recorded, 100.seconds)
            val open = recorded.toMutableMap()
            var found = 0
            var lost = 0
            var now = 100.seconds
            while (open.isNotEmpty()) {
                assertNull(tracker.snapshot(now).settled, "seed $seed")
                now += 1.seconds
                val machineName = recorded.keys.random(random)
                val tasks = open.remove(machineName) ?: 0
                if (random.nextBoolean()) {
                    tracker.reconciled(machineName, List(tasks) { ReconciliationFinding.ADOPTED }, now)
                    found += tasks
                } else {
                    tracker.machineLost(machineName, now)
                    lost += tasks
                }
                val snapshot = tracker.snapshot(now)
                assertEquals(open.keys, tracker.unheardMachines)
                assertEquals(open.values.sum(), snapshot.unheardTasks)
                assertEquals(lost, snapshot.lostTasks)
                assertEquals(found, snapshot.findings[ReconciliationFinding.ADOPTED] ?: 0)
                assertEquals(snapshot.recordedTasks, snapshot.unheardTasks + found + lost)
            }
            val settledAfter = now - 100.seconds
            // Machines heard or lost later change nothing about it.
            tracker.reconciled(MachineName("new"), emptyList(), now + 5.seconds)
            assertEquals(settledAfter, tracker.snapshot(now + 9.seconds).settled)
            assertEquals(RecoveryPhase.SETTLED, tracker.snapshot(now + 9.seconds).phase)
        }
    }

    @Test
    fun `nine tenths are accounted for before the last machine is`() {
        val tracker = RecoveryTracker(Term(2), 0.seconds)
        tracker.recordsLoaded(List(10) { MachineName("m$it") }.associateWith { 1 }, 0.seconds)
        assertEquals(RecoveryPhase.WAITING, tracker.snapshot(0.seconds).phase)
        for (i in 0 until 10) tracker.reconciled(MachineName("m$i"), listOf(ReconciliationFinding.ADOPTED), (i + 1).seconds)
        val snapshot = tracker.snapshot(20.seconds)
        assertEquals(1.seconds, snapshot.firstAdoption)
        assertEquals(9.seconds, snapshot.mostAccountedFor)
        assertEquals(10.seconds, snapshot.settled)
    }
}
