package umberslip.scheduling

import umberslip.agents.ReportedTask
import umberslip.core.JobId
import umberslip.core.MachineName
import umberslip.core.Term
import kotlin.time.Duration

/**
 * Observes how the scheduler state of one term is reconciled with what is on the machines. Nothing that it does changes
 * a decision. Called on the leader actor's thread.
 */
interface ReconciliationObserver {
    /** The records were loaded; [recordedTasks] has the number of recorded starts on each machine. */
    fun recordsLoaded(
        recordedTasks: Map<MachineName, Int>,
        now: Duration,
    )

    /**
     * The first heartbeat of this term that shows what is on [machine] lists [reported]. Called before the scheduler
     * state is changed by it.
     */
    fun machineReconciled(
        machine: Machine,
        reported: List<ReportedTask>,
        jobs: Map<JobId, RunningJob>,
        now: Duration,
    )

    /** Nothing is on the machine any more: it is terminated, or all its leases have expired. */
    fun machineLost(
        name: MachineName,
        now: Duration,
    )
}

/** Observes when this controller is elected and steps down. Called on the leader actor's thread. */
interface LeaderTermListener {
    /** Returns the observer of the new term; null if it is not to be observed. */
    fun elected(
        term: Term,
        now: Duration,
    ): ReconciliationObserver?

    /** The controller does not lead any more; it may also be called if it did not lead. */
    fun steppedDown()

    /** Observes nothing. */
    object None : LeaderTermListener {
        override fun elected(
            term: Term,
            now: Duration,
        ): ReconciliationObserver? = null

        override fun steppedDown() = Unit
    }
}
