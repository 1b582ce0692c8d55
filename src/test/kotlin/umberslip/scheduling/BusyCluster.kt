package umberslip.scheduling

import umberslip.agents.ExitCause
import umberslip.agents.ReportedTask
import umberslip.core.MachineName
import umberslip.core.TaskId
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Machines of 16 processors that run what they are told to, each task for as long as its job expects. */
class BusyCluster(
    private val t: TestScheduler,
    machines: Int,
    /** Whether a task fails instead of completing, and after how long. */
    private val failsAfter: (Assignment) -> Duration? = { null },
) {
    private val machineNames = List(machines) { "m$it" }
    private val began = HashMap<Pair<TaskId, Long>, Duration>()
    val cpus = machines * PROCESSORS

    /** How many tasks were started so far. */
    val starts: Int get() = began.size

    /** One second passes: every machine heartbeats, is dispatched to, and all that is due is written. */
    fun step() {
        for (machineName in machineNames) {
            t.heartbeat(machineName, *reported(machineName), type = "large")
            t.dispatch(machineName)
        }
        t.write()
        t.tick()
    }

    private fun reported(machineName: String): Array<ReportedTask> {
        val machine = t.scheduler.machines[MachineName(machineName)]
        val recorded =
            machine
                ?.assignments
                ?.values
                ?.filter { it.recorded }
                .orEmpty()
        return recorded.map(::reported).toTypedArray()
    }

    private fun reported(assignment: Assignment): ReportedTask {
        val id = assignment.id
        val ranFor = t.now - began.getOrPut(id to assignment.attempt) { t.now }
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
