package umberslip.scheduling

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import umberslip.core.JobSpec
import umberslip.core.MachineName
import umberslip.core.Priority
import umberslip.core.Shape
import java.time.Instant
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds
import kotlin.time.toJavaDuration

/** Tests that machines are reserved for starving jobs with large tasks, as late as possible and within fair share. */
class LargeTaskReservationsTest {
    private val leader = TestScheduler()
    private val cluster = BusyCluster(leader, MACHINES)
    private val smallTasks = SmallTaskLoad(leader, cluster, seed = 1)

    @Test
    fun `no machine is reserved before a job needs all of its remaining time`() {
        val large = submitAfterSmallWork()
        val submitted = leader.now
        stepUntil { reservedFor(large).isNotEmpty() }
        assertTrue(leader.now - submitted >= 90.seconds, "reserved ${leader.now - submitted} after the submission")
        assertTrue(leader.now - submitted < 4.minutes, "reserved ${leader.now - submitted} after the submission")
    }

    @Test
    fun `no machine is reserved for a job that is larger than the cluster`() {
        val large = submitAfterSmallWork { it.copy(tasks = MACHINES * 2 + 1) }
        assertNeverReserved(large)
    }

    @Test
    fun `other teams' work of higher priority is deducted from the fair share`() {
        val large = submitAfterSmallWork { it.copy(team = "blue", cpus = 8.0, tasks = 3) }
        assertNeverReserved(large)
    }

    @Test
    fun `a reservation does not let a team exceed its limit`() {
        val idleLoad = SmallTaskLoad(leader, cluster, seed = 1) { it.copy(priority = Priority.IDLE) }
        leader.job { it.copy(team = "blue", tasks = 16, priority = Priority.HIGH, expectedSeconds = 1000.0) }
        repeat(20) { idleLoad.step() }
        val large = List(2) { leader.job { toLargeJob(it).copy(team = "blue", cpus = 8.0, tasks = 1) } }
        val quota =
            leader.scheduler.teams
                .getValue("blue")
                .quota
        repeat(MAX_STEPS) {
            idleLoad.step()
            val reserved = large.sumOf { reservedFor(it).size }
            assertTrue(quota.usedCpus + reserved * 8.0 <= 24.0, "${quota.usedCpus} used, $reserved machines reserved")
        }
        assertEquals(1, large.sumOf { it.assigned.size })
    }

    @Test
    fun `no machine is reserved for a gang, which reserves resources itself`() {
        val gang = submitAfterSmallWork { it.copy(shape = Shape.GANG, tasks = 2) }
        assertNeverReserved(gang)
    }

    @Test
    fun `only machines on which the job may run are reserved`() {
        val large = submitAfterSmallWork { it.copy(zone = "west") }
        assertNeverReserved(large)
    }

    @Test
    fun `urgent and guaranteed work uses a reserved machine, normal work does not`() {
        val large = submitAfterSmallWork()
        stepUntil { reservedFor(large).isNotEmpty() }
        val machine = reservedFor(large).first()
        val normal = leader.job { it.copy(priority = Priority.NORMAL) }
        assertFalse(admits(machine, normal))
        assertTrue(admits(machine, leader.job { it.copy(priority = Priority.HIGH) }))
        assertTrue(admits(machine, leader.job { it.copy(team = "blue", priority = Priority.IDLE) }), "guaranteed work")
    }

    @Test
    fun `another machine is reserved after a reserved machine is lost`() {
        val large = submitAfterSmallWork()
        stepUntil { reservedFor(large).isNotEmpty() }
        val lost = reservedFor(large).map { it.name }.toSet()
        lost.forEach(cluster::terminate)
        stepUntil { reservedFor(large).any { it.name !in lost } || large.waiting == 0 }
        stepUntil { large.waiting == 0 }
    }

    @Test
    fun `a reservation ends with its job`() {
        val large = submitAfterSmallWork()
        stepUntil { reservedFor(large).isNotEmpty() }
        leader.cancel(large)
        repeat(2) { smallTasks.step() }
        assertEquals(emptyList<MachineName>(), reservedFor(large).map { it.name })
    }

    @Test
    fun `the next leader reserves machines again`() {
        val large = submitAfterSmallWork()
        stepUntil { reservedFor(large).isNotEmpty() }
        val failoverAt = leader.now
        val jobAge = failoverAt - large.submittedAt
        val successor = leader.successor { Instant.EPOCH + jobAge.toJavaDuration() }
        val successorsCluster = BusyCluster(successor, MACHINES)
        val job = successor.scheduler.jobs.getValue(large.spec.id)
        val reservationDeadline = failoverAt + FAILOVER_BOUND
        while (successor.now < reservationDeadline &&
            successor.scheduler.machines.values
                .none { it.reservedFor === job }
        ) {
            successor.now += 1.seconds
            successorsCluster.step()
        }
        assertTrue(
            successor.scheduler.machines.values
                .any { it.reservedFor === job } || job.waiting == 0,
        )
    }

    private fun toLargeJob(spec: JobSpec): JobSpec =
        spec.copy(
            priority = Priority.IDLE,
            tasks = 4,
            cpus = 16.0,
            expectedSeconds = 200.0,
            deadlineSeconds = null,
        )

    /** Submits a job, altered by [change], whose tasks need a whole machine each; small tasks run on all machines. */
    private fun submitAfterSmallWork(change: (JobSpec) -> JobSpec = { it }): RunningJob {
        repeat(30) { smallTasks.step() }
        return leader.job { change(toLargeJob(it)) }
    }

    private fun stepUntil(condition: () -> Boolean) {
        repeat(MAX_STEPS) {
            if (condition()) return
            smallTasks.step()
        }
        assertTrue(condition(), "condition not met within $MAX_STEPS s")
    }

    private fun assertNeverReserved(job: RunningJob) {
        repeat(MAX_STEPS) {
            smallTasks.step()
            val reserved =
                leader.scheduler.machines.values
                    .filter { it.reservedFor === job && isForLargeTask(it) }
            assertEquals(emptyList<MachineName>(), reserved.map { it.name })
        }
    }

    private fun reservedFor(job: RunningJob): List<Machine> =
        leader.scheduler.machines.values
            .filter { it.reservedFor === job && isForLargeTask(it) }

    private fun isForLargeTask(machine: Machine): Boolean = machine.reservation?.yieldsToUrgent == true

    private fun admits(
        machine: Machine,
        job: RunningJob,
    ): Boolean {
        val reservation = checkNotNull(machine.reservation)
        return reservation.admits(
            job,
            leader.scheduler.teams
                .getValue(job.spec.team)
                .quota,
        )
    }

    private companion object {
        const val MACHINES = 8
        const val MAX_STEPS = 300

        /** Allows for every machine's first heartbeat and the next search for machines. */
        val FAILOVER_BOUND = 10.seconds
    }
}
