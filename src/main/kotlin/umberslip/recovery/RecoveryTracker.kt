package umberslip.recovery

import org.slf4j.LoggerFactory
import umberslip.agents.ReportedTask
import umberslip.core.JobId
import umberslip.core.MachineName
import umberslip.core.Term
import umberslip.scheduling.Machine
import umberslip.scheduling.ReconciliationObserver
import umberslip.scheduling.RunningJob
import java.util.EnumMap
import kotlin.time.Duration

/**
 * Follows the recovery of one term, which began at [electedAt]: which machines with recorded tasks are still
 * unreconciled, and what was found on the others. It decides nothing and has one entry for each unreconciled machine
 * at most. Pure: time is an input.
 */
class RecoveryTracker(
    private val term: Term,
    private val electedAt: Duration,
) : ReconciliationObserver {
    private val log = LoggerFactory.getLogger("umberslip.recovery")

    /** How many starts are recorded on each unreconciled machine. */
    private val unreconciled = HashMap<MachineName, Int>()
    private val findings = EnumMap<ReconciliationFinding, Int>(ReconciliationFinding::class.java)
    private var recordedTasks = 0
    private var unreconciledTasks = 0
    private var lostTasks = 0
    private var anyReconciled = false
    private var firstAdoptionAt: Duration? = null
    private var mostAccountedForAt: Duration? = null
    private var completedAt: Duration? = null

    /** Machines with recorded tasks whose first heartbeat of this term is still to come. */
    val unreconciledMachines: Set<MachineName> get() = unreconciled.keys

    override fun recordsLoaded(
        recordedTasks: Map<MachineName, Int>,
        now: Duration,
    ) {
        unreconciled.putAll(recordedTasks)
        this.recordedTasks = recordedTasks.values.sum()
        unreconciledTasks = this.recordedTasks
        updateProgress(now)
    }

    override fun machineReconciled(
        machine: Machine,
        reported: List<ReportedTask>,
        jobs: Map<JobId, RunningJob>,
        now: Duration,
    ) = reconciled(machine.name, ReconciliationFinding.of(machine, reported, jobs).values, now)

    /** A heartbeat has shown, for the first time in this term, what is on [machineName]. */
    fun reconciled(
        machineName: MachineName,
        found: Collection<ReconciliationFinding>,
        now: Duration,
    ) {
        for (finding in found) findings.merge(finding, 1, Int::plus)
        unreconciledTasks -= unreconciled.remove(machineName) ?: 0
        anyReconciled = true
        if (firstAdoptionAt == null && ReconciliationFinding.ADOPTED in found) firstAdoptionAt = now
        updateProgress(now)
    }

    override fun machineLost(
        name: MachineName,
        now: Duration,
    ) {
        val tasks = unreconciled.remove(name) ?: return
        unreconciledTasks -= tasks
        lostTasks += tasks
        updateProgress(now)
    }

    private fun updateProgress(now: Duration) {
        if (mostAccountedForAt == null && (recordedTasks - unreconciledTasks) >= recordedTasks * MOST) {
            mostAccountedForAt = now
        }
        if (completedAt != null || unreconciled.isNotEmpty()) return
        completedAt = now
        log.info(
            "recovery completed: term={} after={} recorded_tasks={} lost_tasks={} findings={}",
            term.value,
            now - electedAt,
            recordedTasks,
            lostTasks,
            findings.mapKeys { it.key.jsonName },
        )
    }

    /** The state at [now], which does not change with the tracker. */
    fun snapshot(now: Duration) =
        RecoverySnapshot(
            term = term,
            phase = phase(),
            elapsed = now - electedAt,
            recordedTasks = recordedTasks,
            unreconciledMachines = unreconciled.size,
            unreconciledTasks = unreconciledTasks,
            lostTasks = lostTasks,
            findings = EnumMap(findings),
            firstAdoptionAfter = firstAdoptionAt?.minus(electedAt),
            mostAccountedForAfter = mostAccountedForAt?.minus(electedAt),
            completedAfter = completedAt?.minus(electedAt),
        )

    private fun phase(): RecoveryPhase =
        when {
            completedAt != null -> RecoveryPhase.COMPLETED
            anyReconciled -> RecoveryPhase.ADOPTING
            else -> RecoveryPhase.WAITING
        }

    private companion object {
        /** The share of the recorded tasks that counts as most of them. */
        const val MOST = 0.9
    }
}
