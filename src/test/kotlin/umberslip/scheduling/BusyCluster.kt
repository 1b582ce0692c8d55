package umberslip.scheduling

import umberslip.agents.ExitCause
import umberslip.agents.ReportedTask
import umberslip.core.MachineName
import umberslip.core.TaskId
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Machines of 16 processors that run the tasks started on them, each for the expected run time of its job. */
class BusyCluster(
    private val leader: TestScheduler,
    machines: Int,
    /** Returns after how long a task fails instead of completing; null if it does not fail. */
    private val failsAfter: (Assignment) -> Duration? = { null },
) {
    private val machineNames = MutableList(machines) { "m$it" }
    private val firstReportedAt = HashMap<Pair<TaskId, Long>, Duration>()

    /** The number of processors of all machines. */
    val cpus = machines * CPUS_PER_MACHINE

    /** The number of task attempts that were started so far. */
    val starts: Int get() = firstReportedAt.size

    /** Terminates the machine and all tasks on it. */
    fun terminate(machineName: MachineName) {
        machineNames -= machineName.value
        leader.scheduler.machinesTerminated(listOf(machineName), leader.now)
    }

    /** Lets every machine send a heartbeat and get tasks, writes what is due, and runs the leader's maintenance. */
    fun step() {
        for (machineName in machineNames) {
            leader.heartbeat(machineName, *reportedTasks(machineName), type = "large")
            leader.dispatch(machineName)
        }
        leader.write()
        leader.tick()
    }

    private fun reportedTasks(machineName: String): Array<ReportedTask> {
        val recorded = leader.tasksOn(machineName).filter { it.recorded }
        return recorded.map(::toReportedTask).toTypedArray()
    }

    private fun toReportedTask(assignment: Assignment): ReportedTask {
        val id = assignment.id
        val ranFor = leader.now - firstReportedAt.getOrPut(id to assignment.attempt) { leader.now }
        val failure = failsAfter(assignment)
        return when {
            failure != null && ranFor >= failure -> TestScheduler.ended(id, assignment.attempt, ExitCause.ERROR)
            ranFor >= assignment.job.spec.expectedSeconds.seconds ->
                TestScheduler.ended(id, assignment.attempt, ExitCause.DONE)
            else -> TestScheduler.running(id, assignment.attempt)
        }
    }

    private companion object {
        const val CPUS_PER_MACHINE = 16.0
    }
}
