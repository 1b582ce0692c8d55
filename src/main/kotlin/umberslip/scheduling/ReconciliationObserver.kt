package umberslip.scheduling

import umberslip.agents.ReportedTask
import umberslip.core.JobId
import umberslip.core.MachineName
import umberslip.core.Term
import kotlin.time.Duration

/**
 * Observes how the scheduler state of one term is reconciled with the tasks on the machines. It does not influence any
 * decision. Called on the leader actor's thread.
 */
interface ReconciliationObserver {
    /** Called when the records were loaded. [recordedTasks] is the number of recorded starts on each machine. */
    fun recordsLoaded(
        recordedTasks: Map<MachineName, Int>,
        now: Duration,
    )

    /**
     * Called when the first heartbeat of this term shows that the tasks [reported] are on [machine], before the
     * heartbeat changes any assignment.
     */
    fun machineReconciled(
        machine: Machine,
        reported: List<ReportedTask>,
        jobs: Map<JobId, RunningJob>,
        now: Duration,
    )

    /** Called when no task is on the machine any more, since it is terminated or all its leases have expired. */
    fun machineLost(
        name: MachineName,
        now: Duration,
    )
}

/** A listener for when this controller is elected and when it steps down. Called on the leader actor's thread. */
interface LeaderTermListener {
    /** Called when this controller is elected. Returns the observer of the new term, or null if there is none. */
    fun elected(
        term: Term,
        now: Duration,
    ): ReconciliationObserver?

    /** Called when this controller no longer leads. It may also be called if the controller did not lead before. */
    fun steppedDown()

    /** A listener that observes no term. */
    object None : LeaderTermListener {
        override fun elected(
            term: Term,
            now: Duration,
        ): ReconciliationObserver? = null

        override fun steppedDown() = Unit
    }
}
