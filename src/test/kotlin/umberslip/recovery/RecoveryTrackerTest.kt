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
    fun `a recovery without recorded tasks is completed at once`() {
        val tracker = RecoveryTracker(Term(3), 10.seconds)
        tracker.recordsLoaded(emptyMap(), 10.seconds)
        assertEquals(RecoveryPhase.COMPLETED, tracker.snapshot(10.seconds).phase)
    }

    /** In any order, machines are reconciled, are lost, or send heartbeats again after either. */
    @Test
    fun `every recorded task is unreconciled, found or lost, and the last unreconciled one completes the recovery`() {
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
                assertNull(tracker.snapshot(now).completedAfter, "seed $seed")
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
                assertEquals(open.keys, tracker.unreconciledMachines)
                assertEquals(open.values.sum(), snapshot.unreconciledTasks)
                assertEquals(lost, snapshot.lostTasks)
                assertEquals(found, snapshot.findings[ReconciliationFinding.ADOPTED] ?: 0)
                assertEquals(snapshot.recordedTasks, snapshot.unreconciledTasks + found + lost)
            }
            val completedAfter = now - 100.seconds
            // Machines that are reconciled later do not change the time of completion.
            tracker.reconciled(MachineName("new"), emptyList(), now + 5.seconds)
            assertEquals(completedAfter, tracker.snapshot(now + 9.seconds).completedAfter)
            assertEquals(RecoveryPhase.COMPLETED, tracker.snapshot(now + 9.seconds).phase)
        }
    }

    @Test
    fun `nine tenths of the tasks are accounted for before the last machine is reconciled`() {
        val tracker = RecoveryTracker(Term(2), 0.seconds)
        tracker.recordsLoaded(List(10) { MachineName("m$it") }.associateWith { 1 }, 0.seconds)
        assertEquals(RecoveryPhase.WAITING, tracker.snapshot(0.seconds).phase)
        for (i in 0 until 10) {
            tracker.reconciled(MachineName("m$i"), listOf(ReconciliationFinding.ADOPTED), (i + 1).seconds)
        }
        val snapshot = tracker.snapshot(20.seconds)
        assertEquals(1.seconds, snapshot.firstAdoptionAfter)
        assertEquals(9.seconds, snapshot.mostAccountedForAfter)
        assertEquals(10.seconds, snapshot.completedAfter)
    }
}
