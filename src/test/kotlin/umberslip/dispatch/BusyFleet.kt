package umberslip.dispatch

import umberslip.agents.Cause
import umberslip.agents.ReportedTask
import umberslip.cloud.HostName
import umberslip.records.TaskId
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Machines of 16 processors that run what they are told to, each task for as long as its job expects. */
class BusyFleet(
    private val t: TestScheduler,
    machines: Int,
    /** Whether a task fails instead of completing, and after how long. */
    private val failsAfter: (Assignment) -> Duration? = { null },
) {
    private val hosts = List(machines) { "m$it" }
    private val began = HashMap<Pair<TaskId, Long>, Duration>()
    val cpus = machines * PROCESSORS

    /** How many tasks were started so far. */
    val starts: Int get() = began.size

    /** One second passes: every machine reports, is dealt to, and all that is due is written. */
    fun step() {
        for (host in hosts) {
            t.report(host, *reported(host), type = "large")
            t.deal(host)
        }
        t.write()
        t.tick()
    }

    private fun reported(host: String): Array<ReportedTask> {
        val machine = t.scheduler.machines[HostName(host)]
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
            failure != null && ranFor >= failure -> TestScheduler.ended(id, assignment.attempt, Cause.ERROR)
            ranFor >= assignment.job.spec.expectedSeconds.seconds ->
                TestScheduler.ended(id, assignment.attempt, Cause.DONE)
            else -> TestScheduler.running(id, assignment.attempt)
        }
    }

    private companion object {
        const val PROCESSORS = 16.0
    }
}
