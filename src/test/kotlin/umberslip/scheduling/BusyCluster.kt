package umberslip.scheduling

import umberslip.agents.ExitCause
import umberslip.agents.ReportedTask
import umberslip.core.MachineName
import umberslip.core.TaskId
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Machines of 16 processors that run the tasks started on them, each for as long as its job expects. */
class BusyCluster(
    private val leader: TestScheduler,
    machines: Int,
    /** After how long a task fails instead of completing; null if it does not. */
    private val failsAfter: (Assignment) -> Duration? = { null },
) {
    private val machineNames = MutableList(machines) { "m$it" }
    private val began = HashMap<Pair<TaskId, Long>, Duration>()

    /** All processors of the machines. */
    val cpus = machines * PROCESSORS

    /** How many tasks were started so far. */
    val starts: Int get() = began.size

    /** The machine is gone, with all that is on it. */
    fun terminate(machineName: MachineName) {
        machineNames -= machineName.value
        leader.scheduler.machinesTerminated(listOf(machineName), leader.now)
    }

    /** One second passes: every machine heartbeats, is dispatched to, and all that is due is written. */
    fun step() {
        for (machineName in machineNames) {
            leader.heartbeat(machineName, *reported(machineName), type = "large")
            leader.dispatch(machineName)
        }
        leader.write()
        leader.tick()
    }

    private fun reported(machineName: String): Array<ReportedTask> {
        val recorded = leader.tasksOn(machineName).filter { it.recorded }
        return recorded.map(::reported).toTypedArray()
    }

    private fun reported(assignment: Assignment): ReportedTask {
        val id = assignment.id
        val ranFor = leader.now - began.getOrPut(id to assignment.attempt) { leader.now }
        val failure = failsAfter(assignment)
        return when {
            failure != null && ranFor >= failure -> TestScheduler.ended(id, assignment.attempt, ExitCause.ERROR)
            ranFor >= assignment.job.spec.expectedSeconds.seconds ->
                TestScheduler.ended(id, assignment.attempt, ExitCause.DONE)
            else -> TestScheduler.running(id, assignment.attempt)
        }
    }

    private companion object {
        const val PROCESSORS = 16.0
    }
}
