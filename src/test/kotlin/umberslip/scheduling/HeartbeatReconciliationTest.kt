package umberslip.scheduling

import io.kotest.property.Arb
import io.kotest.property.PropTestConfig
import io.kotest.property.arbitrary.long
import io.kotest.property.checkAll
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import umberslip.agents.WorkerCommand
import umberslip.core.MachineName
import umberslip.core.TaskId
import umberslip.core.Term
import kotlin.random.Random
import kotlin.time.Duration.Companion.seconds

/** Tests what heartbeats show about a machine and its tasks, and which heartbeats must not be trusted. */
class HeartbeatReconciliationTest {
    private val leader = TestScheduler()

    @Test
    fun `a heartbeat with an older fencing token or sequence number changes no assignment`() {
        val job = leader.job()
        leader.startAll(job)
        assertEquals(HeartbeatDisposition.OUT_OF_DATE, leader.heartbeat("m", sequenceNumber = 1))
        val withOlderToken = leader.heartbeat("m", fencingToken = Term(4), sequenceNumber = 50)
        assertEquals(HeartbeatDisposition.TOKEN_BEHIND, withOlderToken)
        assertEquals(3, job.assigned.size)
        assertEquals(emptyList<WorkerCommand>(), leader.commands("m"))
        val withNewerToken = leader.heartbeat("m", fencingToken = Term(6), sequenceNumber = 51)
        assertEquals(HeartbeatDisposition.SUPERSEDED, withNewerToken)
    }

    private class DelayedHeartbeat(
        val sequenceNumber: Long,
        val fencingToken: Term,
        val attempts: Map<TaskId, Long>,
    )

    private class DelayedResponse(
        val term: Term,
        val commands: List<WorkerCommand>,
    )

    /** The actual state of a machine, and the messages in transit to and from it. */
    private class ActualMachine(
        var fencingToken: Term,
    ) {
        /** The attempt of each task on the machine. */
        val attempts = LinkedHashMap<TaskId, Long>()
        var sequenceNumber = 0L

        /** Copies of heartbeats that arrive later. */
        val delayedHeartbeats = ArrayList<DelayedHeartbeat>()

        /** The last response of a former leader, which may still arrive. */
        var delayedResponse: DelayedResponse? = null

        fun execute(commands: List<WorkerCommand>) {
            for (command in commands) {
                when (command) {
                    is WorkerCommand.Start -> attempts.putIfAbsent(command.task, command.attempt)
                    is WorkerCommand.Stop -> attempts.remove(command.task, command.attempt)
                    is WorkerCommand.Clear -> Unit
                }
            }
        }
    }

    /** A random history of a machine and its leaders, with failovers, cancellations, and late or lost messages. */
    private class History(
        private val random: Random,
    ) {
        private var leader = TestScheduler()
        private val machine = ActualMachine(leader.term)
        private val jobs =
            List(4) { leader.job { it.copy(tasks = 3, cpus = 0.5, memoryGb = 0.1) } }.map { it.spec.id }

        /** The number of heartbeats of former terms that arrived. */
        var tokensBehind = 0
            private set

        fun step() {
            leader.now += 1.seconds
            when (random.nextInt(8)) {
                0 -> leader = leader.successor()
                1 -> machine.delayedHeartbeats.removeFirstOrNull()?.let { deliver(it, responseArrives = false) }
                2 -> leader.scheduler.jobs[jobs.random(random)]?.let(leader::cancel)
                3 -> deliverDelayedResponse()
                else -> heartbeat()
            }
            for ((task, attempt) in machine.attempts) checkIsAssigned(task, attempt)
        }

        private fun deliverDelayedResponse() {
            val response = machine.delayedResponse ?: return
            machine.delayedResponse = null
            if (response.term >= machine.fencingToken) machine.execute(response.commands)
        }

        private fun heartbeat() {
            val attempts = machine.attempts.toMap()
            val heartbeat = DelayedHeartbeat(++machine.sequenceNumber, machine.fencingToken, attempts)
            if (random.nextInt(3) == 0) machine.delayedHeartbeats += heartbeat
            // The heartbeat is lost or arrives only later, or it is answered now; the response may be lost.
            if (random.nextInt(5) > 0) deliver(heartbeat, responseArrives = random.nextInt(5) > 0)
        }

        private fun deliver(
            heartbeat: DelayedHeartbeat,
            responseArrives: Boolean,
        ) {
            val disposition =
                leader.heartbeat(
                    "m",
                    *heartbeat.attempts.map { (task, attempt) -> TestScheduler.running(task, attempt) }.toTypedArray(),
                    fencingToken = heartbeat.fencingToken,
                    sequenceNumber = heartbeat.sequenceNumber,
                )
            if (disposition == HeartbeatDisposition.TOKEN_BEHIND) tokensBehind++
            if (disposition == HeartbeatDisposition.ACCEPTED) respond(responseArrives)
            if (responseArrives && disposition in ANSWERED) machine.fencingToken = leader.term
        }

        private fun respond(responseArrives: Boolean) {
            leader.dispatch("m")
            leader.write()
            val commands = leader.commands("m")
            if (responseArrives) machine.execute(commands)
            machine.delayedResponse = if (responseArrives) null else DelayedResponse(leader.term, commands)
        }

        private fun checkIsAssigned(
            task: TaskId,
            attempt: Long,
        ) {
            val job = leader.scheduler.jobs[task.job]
            val assignment = job?.assigned?.get(task.index)
            assertTrue(
                assignment?.machineName == MachineName("m") && assignment.attempt == attempt,
                "$task is on the machine but not assigned to it",
            )
        }
    }

    @Test
    fun `tasks on a machine stay assigned to it whichever heartbeats of former terms arrive`() =
        runBlocking<Unit> {
            var tokensBehind = 0
            checkAll(PropTestConfig(seed = 5, iterations = 300), Arb.long()) { seed ->
                val history = History(Random(seed))
                repeat(25) { history.step() }
                tokensBehind += history.tokensBehind
            }
            assertTrue(tokensBehind > 100, "only $tokensBehind heartbeats of former terms")
        }

    @Test
    fun `a machine that does not receive responses gets no new work and does not count as up`() {
        val first = leader.job { it.copy(tasks = 1) }
        leader.startAll(first)
        leader.now += 5.seconds
        // The sequence number rose by more than one: the worker was at another controller, so no response reached it.
        leader.heartbeat("m", *first.placedTasks().map(::running).toTypedArray(), sequenceNumber = 5)
        leader.job { it.copy(tasks = 2) }
        leader.dispatch("m")
        assertEquals(
            setOf(first.spec.id),
            leader.tasksOn("m").map { it.job.spec.id }.toSet(),
        )
        assertEquals(5.seconds, leader.machine("m").timeSinceContact(leader.now))
        assertFalse(leader.machine("m").isUsable)
        // A new epoch makes former commands obsolete; a response that arrived makes the machine usable again.
        leader.heartbeat("m", epoch = 2, sequenceNumber = 9)
        assertEquals(0, leader.machine("m").assignments.size)
        leader.heartbeat("m", epoch = 2, sequenceNumber = 10)
        leader.dispatch("m")
        assertEquals(3, leader.machine("m").assignments.size)
    }

    @Test
    fun `late copies of heartbeats add no machine, count as no contact and change no assignment`() {
        val ofFormerTerm = leader.heartbeat("unknown", fencingToken = Term(4), sequenceNumber = 7)
        assertEquals(HeartbeatDisposition.TOKEN_BEHIND, ofFormerTerm)
        assertNull(leader.scheduler.machines[MachineName("unknown")], "a copy from before this term")
        val job = leader.job()
        leader.startAll(job)
        leader.now += 20.seconds
        assertEquals(HeartbeatDisposition.OUT_OF_DATE, leader.heartbeat("m", sequenceNumber = 1))
        assertEquals(20.seconds, leader.machine("m").timeSinceContact(leader.now))
        assertEquals(3, job.assigned.size)
    }

    private companion object {
        /** The dispositions whose response carries the leader's term. */
        val ANSWERED = setOf(HeartbeatDisposition.ACCEPTED, HeartbeatDisposition.TOKEN_BEHIND)
    }
}
