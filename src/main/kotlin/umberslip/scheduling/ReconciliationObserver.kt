package umberslip.scheduling

import umberslip.agents.ReportedTask
import umberslip.core.JobId
import umberslip.core.MachineName
import umberslip.core.Term
import kotlin.time.Duration

/**
 * Is told how the scheduler state of one term is reconciled with what is on the machines. It only observes: nothing
 * that it does changes a decision. Called on the leader actor's thread.
 */
interface ReconciliationObserver {
    /** The records were loaded; [recordedTasks] has the number of recorded starts on each machine. */
    fun recordsLoaded(
        recordedTasks: Map<MachineName, Int>,
        now: Duration,
    )

    /**
     * The first heartbeat of this term that is proof of what is on [machine] lists [reported]. Called before the
     * scheduler state changes by it.
     */
    fun machineReconciled(
        machine: Machine,
        reported: List<ReportedTask>,
        jobs: Map<JobId, RunningJob>,
        now: Duration,
    )

    /** The machine is certainly gone, with all that was recorded on it. */
    fun machineLost(
        name: MachineName,
        now: Duration,
    )
}

/** Is told when this controller begins and ends to lead. Called on the leader actor's thread. */
interface LeaderTermListener {
    /** Answers the observer of the new term; null where nobody wants to observe it. */
    fun elected(
        term: Term,
        now: Duration,
    ): ReconciliationObserver?

    fun steppedDown()

    /** For a leader that nobody observes. */
    object None : LeaderTermListener {
        override fun elected(
            term: Term,
            now: Duration,
        ): ReconciliationObserver? = null

        override fun steppedDown() = Unit
    }
}
