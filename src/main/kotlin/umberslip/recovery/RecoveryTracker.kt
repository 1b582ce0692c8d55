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

/** How far a new leader has come with comparing the records to what is on the machines. */
enum class RecoveryPhase {
    /** No machine with recorded tasks has reported yet. */
    WAITING,

    /** Some have, others are still to be heard or to be given up. */
    ADOPTING,

    /** Every recorded start is accounted for. */
    SETTLED,
}

/** A recovery at one moment, as operators see it. Times are counted from the takeover. */
data class RecoverySnapshot(
    val term: Term,
    val phase: RecoveryPhase,
    val elapsed: Duration,
    val recordedTasks: Int,
    val unheardMachines: Int,
    /** Tasks recorded on machines that are still unheard: they count as running until these are certainly gone. */
    val unheardTasks: Int,
    /** Tasks recorded on machines that were given up: they wait to be started again. */
    val lostTasks: Int,
    val findings: Map<ReconciliationFinding, Int>,
    val firstAdoption: Duration?,
    val mostAccountedFor: Duration?,
    val settled: Duration?,
)

/**
 * Follows the recovery of one term: which machines with recorded tasks are still unheard, and what was found on the
 * others. It decides nothing and keeps no more than one entry for each unheard machine. Pure: time is an input.
 */
class RecoveryTracker(
    private val term: Term,
    private val beganAt: Duration,
) : ReconciliationObserver {
    private val log = LoggerFactory.getLogger("umberslip.recovery")

    /** How many starts are recorded on each machine that has not been heard. */
    private val unheard = HashMap<MachineName, Int>()
    private val findings = EnumMap<ReconciliationFinding, Int>(ReconciliationFinding::class.java)
    private var totalTasks = 0
    private var unheardTasks = 0
    private var lostTasks = 0
    private var anyHeard = false
    private var firstAdoptionAt: Duration? = null
    private var mostAccountedForAt: Duration? = null
    private var settledAt: Duration? = null

    val unheardMachines: Set<MachineName> get() = unheard.keys

    override fun recordsLoaded(
        recordedTasks: Map<MachineName, Int>,
        now: Duration,
    ) {
        unheard.putAll(recordedTasks)
        totalTasks = recordedTasks.values.sum()
        unheardTasks = totalTasks
        accounted(now)
    }

    override fun machineReconciled(
        machine: Machine,
        reported: List<ReportedTask>,
        jobs: Map<JobId, RunningJob>,
        now: Duration,
    ) = reconciled(machine.name, ReconciliationFinding.of(machine, reported, jobs).values, now)

    /** A heartbeat has proved, for the first time in this term, what is on [machineName]. */
    fun reconciled(
        machineName: MachineName,
        found: Collection<ReconciliationFinding>,
        now: Duration,
    ) {
        for (finding in found) findings.merge(finding, 1, Int::plus)
        unheardTasks -= unheard.remove(machineName) ?: 0
        anyHeard = true
        if (firstAdoptionAt == null && ReconciliationFinding.ADOPTED in found) firstAdoptionAt = now
        accounted(now)
    }

    override fun machineLost(
        name: MachineName,
        now: Duration,
    ) {
        val tasks = unheard.remove(name) ?: return
        unheardTasks -= tasks
        lostTasks += tasks
        accounted(now)
    }

    private fun accounted(now: Duration) {
        if (mostAccountedForAt == null && (totalTasks - unheardTasks) >= totalTasks * MOST) {
            mostAccountedForAt = now
        }
        if (settledAt != null || unheard.isNotEmpty()) return
        settledAt = now
        log.info(
            "recovery under term {} settled after {}: {} recorded tasks, {} lost with their machines, found {}",
            term.value,
            now - beganAt,
            totalTasks,
            lostTasks,
            findings,
        )
    }

    fun snapshot(now: Duration) =
        RecoverySnapshot(
            term = term,
            phase = phase(),
            elapsed = now - beganAt,
            recordedTasks = totalTasks,
            unheardMachines = unheard.size,
            unheardTasks = unheardTasks,
            lostTasks = lostTasks,
            findings = EnumMap<ReconciliationFinding, Int>(ReconciliationFinding::class.java).also { it.putAll(findings) },
            firstAdoption = firstAdoptionAt?.minus(beganAt),
            mostAccountedFor = mostAccountedForAt?.minus(beganAt),
            settled = settledAt?.minus(beganAt),
        )

    private fun phase(): RecoveryPhase =
        when {
            settledAt != null -> RecoveryPhase.SETTLED
            anyHeard -> RecoveryPhase.ADOPTING
            else -> RecoveryPhase.WAITING
        }

    private companion object {
        /** The share of the recorded tasks that counts as most of them. */
        const val MOST = 0.9
    }
}
