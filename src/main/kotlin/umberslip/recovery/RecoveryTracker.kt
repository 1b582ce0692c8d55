package umberslip.recovery

import org.slf4j.LoggerFactory
import umberslip.cloud.HostName
import umberslip.records.Term
import java.util.EnumMap
import kotlin.time.Duration

/** How far a new owner has come with comparing the records to what is on the machines. */
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
    val findings: Map<TaskFinding, Int>,
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
) {
    private val log = LoggerFactory.getLogger("umberslip.recovery")

    /** How many starts are recorded on each machine that has not been heard. */
    private val unheard = HashMap<HostName, Int>()
    private val findings = EnumMap<TaskFinding, Int>(TaskFinding::class.java)
    private var recordedTasks = 0
    private var unheardTasks = 0
    private var lostTasks = 0
    private var anyHeard = false
    private var firstAdoptionAt: Duration? = null
    private var mostAccountedForAt: Duration? = null
    private var settledAt: Duration? = null

    val unheardMachines: Set<HostName> get() = unheard.keys

    /** What was taken over: the number of starts recorded on each machine. */
    fun tookOver(
        recorded: Map<HostName, Int>,
        now: Duration,
    ) {
        unheard.putAll(recorded)
        recordedTasks = recorded.values.sum()
        unheardTasks = recordedTasks
        accounted(now)
    }

    /** A report has proved, for the first time in this term, what is on [host]. */
    fun heard(
        host: HostName,
        found: Collection<TaskFinding>,
        now: Duration,
    ) {
        for (finding in found) findings.merge(finding, 1, Int::plus)
        unheardTasks -= unheard.remove(host) ?: 0
        anyHeard = true
        if (firstAdoptionAt == null && TaskFinding.ADOPTED in found) firstAdoptionAt = now
        accounted(now)
    }

    /** [host] is certainly gone, with all that was recorded on it. */
    fun gone(
        host: HostName,
        now: Duration,
    ) {
        val tasks = unheard.remove(host) ?: return
        unheardTasks -= tasks
        lostTasks += tasks
        accounted(now)
    }

    private fun accounted(now: Duration) {
        if (mostAccountedForAt == null && (recordedTasks - unheardTasks) >= recordedTasks * MOST) {
            mostAccountedForAt = now
        }
        if (settledAt != null || unheard.isNotEmpty()) return
        settledAt = now
        log.info(
            "recovery under term {} settled after {}: {} recorded tasks, {} lost with their machines, found {}",
            term.value,
            now - beganAt,
            recordedTasks,
            lostTasks,
            findings,
        )
    }

    fun snapshot(now: Duration) =
        RecoverySnapshot(
            term = term,
            phase = phase(),
            elapsed = now - beganAt,
            recordedTasks = recordedTasks,
            unheardMachines = unheard.size,
            unheardTasks = unheardTasks,
            lostTasks = lostTasks,
            findings = EnumMap<TaskFinding, Int>(TaskFinding::class.java).also { it.putAll(findings) },
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
