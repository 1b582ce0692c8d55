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
 * Tracks the recovery of one term, which began at [electedAt]: the machines with recorded tasks that are still
 * unreconciled, and the findings on the others. It makes no decisions and stores one entry for each unreconciled
 * machine at most. Pure: time is an input.
 */
class RecoveryTracker(
    private val term: Term,
    private val electedAt: Duration,
) : ReconciliationObserver {
    private val log = LoggerFactory.getLogger("umberslip.recovery")

    /** The number of recorded starts on each unreconciled machine. */
    private val unreconciledStarts = HashMap<MachineName, Int>()
    private val findings = EnumMap<ReconciliationFinding, Int>(ReconciliationFinding::class.java)
    private var recordedTasks = 0
    private var unreconciledTasks = 0
    private var lostTasks = 0
    private var anyReconciled = false
    private var firstAdoptionAt: Duration? = null
    private var mostAccountedForAt: Duration? = null
    private var completedAt: Duration? = null

    /** Machines with recorded tasks that are neither reconciled in this term nor lost. */
    val unreconciledMachines: Set<MachineName> get() = unreconciledStarts.keys

    override fun recordsLoaded(
        recordedTasks: Map<MachineName, Int>,
        now: Duration,
    ) {
        unreconciledStarts.putAll(recordedTasks)
        this.recordedTasks = recordedTasks.values.sum()
        unreconciledTasks = this.recordedTasks
        updateProgress(now)
    }

    override fun machineReconciled(
        machine: Machine,
        reported: List<ReportedTask>,
        jobs: Map<JobId, RunningJob>,
        now: Duration,
    ) = reconciled(machine.name, ReconciliationFinding.classify(machine, reported, jobs).values, now)

    /** The first heartbeat of this term that shows what is on [machineName] led to the findings [found]. */
    fun reconciled(
        machineName: MachineName,
        found: Collection<ReconciliationFinding>,
        now: Duration,
    ) {
        for (finding in found) findings.merge(finding, 1, Int::plus)
        unreconciledTasks -= unreconciledStarts.remove(machineName) ?: 0
        anyReconciled = true
        if (firstAdoptionAt == null && ReconciliationFinding.ADOPTED in found) firstAdoptionAt = now
        updateProgress(now)
    }

    override fun machineLost(
        name: MachineName,
        now: Duration,
    ) {
        val tasks = unreconciledStarts.remove(name) ?: return
        unreconciledTasks -= tasks
        lostTasks += tasks
        updateProgress(now)
    }

    private fun updateProgress(now: Duration) {
        if (mostAccountedForAt == null && (recordedTasks - unreconciledTasks) >= recordedTasks * MOST_TASKS_SHARE) {
            mostAccountedForAt = now
        }
        if (completedAt != null || unreconciledStarts.isNotEmpty()) return
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

    /** Returns the state at [now]. Later changes to the tracker do not affect the snapshot. */
    fun snapshot(now: Duration) =
        RecoverySnapshot(
            term = term,
            phase = currentPhase(),
            elapsed = now - electedAt,
            recordedTasks = recordedTasks,
            unreconciledMachines = unreconciledStarts.size,
            unreconciledTasks = unreconciledTasks,
            lostTasks = lostTasks,
            findings = EnumMap(findings),
            firstAdoptionAfter = firstAdoptionAt?.minus(electedAt),
            mostAccountedForAfter = mostAccountedForAt?.minus(electedAt),
            completedAfter = completedAt?.minus(electedAt),
        )

    private fun currentPhase(): RecoveryPhase =
        when {
            completedAt != null -> RecoveryPhase.COMPLETED
            anyReconciled -> RecoveryPhase.ADOPTING
            else -> RecoveryPhase.WAITING
        }

    private companion object {
        /** The share of the recorded tasks that counts as most of them. */
        const val MOST_TASKS_SHARE = 0.9
    }
}
