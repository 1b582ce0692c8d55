package umberslip.scheduling

import umberslip.core.JobId
import umberslip.core.JobSpec
import umberslip.core.Priority
import umberslip.core.Resources
import umberslip.records.JobRecord
import umberslip.records.Placement
import umberslip.records.ProgressRecord
import umberslip.records.Versioned
import java.util.BitSet
import java.util.TreeSet
import kotlin.time.Duration
import kotlin.time.Duration.Companion.hours

/**
 * An accepted job that has not ended, with all its tasks. Mutable; used on the leader actor's thread only.
 * Times are those of the leader's monotonic clock.
 */
class RunningJob(
    val spec: JobSpec,
    /** The newest job record that is known, with its version in the store. */
    var record: Versioned<JobRecord>,
    /** How many tasks one progress record covers. */
    val tasksPerBlock: Int,
    /** When its user first submitted it. */
    val submittedAt: Duration,
    /** The times by which its users want it done, the earliest first; at least one. */
    objectiveDeadlines: List<Duration>,
    /** Those of them that its own deadline sets; they also hold for the jobs that it depends on. */
    val deadlines: List<Duration> = emptyList(),
) {
    val resources = Resources(spec.cpus, spec.gpus, spec.memoryGb)
    val cancelled: Boolean get() = record.value.cancelled

    // ---- dependencies ----

    /** The jobs that it depends on and whose success is not recorded; nothing is placed while there are any. */
    val pending = HashSet<JobId>()

    /** A job that it depends on is cancelled, so it can never run. */
    var dependencyCancelled = false
    val isBlocked: Boolean get() = dependencyCancelled || pending.isNotEmpty()

    /** Since when it may run: since its submission, or since the last job that it depends on succeeded. */
    var runnableSince: Duration = submittedAt
        private set

    // ---- priority and deadlines ----

    private var ownDeadlines = objectiveDeadlines
    private var inheritedDeadlines = emptyList<Duration>()

    /** Its own objective deadlines and those that it inherits from jobs that depend on it, the earliest first. */
    var objectiveDeadlines: List<Duration> = objectiveDeadlines
        private set

    /** The first of its objective deadlines. */
    val firstDeadline: Duration get() = objectiveDeadlines.first()

    /** Decides its position in the queue, which is why only the queue changes it; see [nextReachableDeadlineAt]. */
    var nextReachableDeadline: Duration = firstDeadline

    /** The highest of its own and of those of the unfinished jobs that depend on it. */
    var priority: Priority = spec.priority
        private set

    // ---- tasks ----

    private val done = BitSet()
    var doneCount = 0
        private set

    /** The tasks that are, or may be, on a machine, by index. */
    val assigned = HashMap<Int, Assignment>()

    /** How many tasks are assigned in each zone; the empty name stands for zones that are not known yet. */
    val zones = HashMap<String, Int>()
    private val blocks = arrayOfNulls<ProgressBlock>((spec.tasks + tasksPerBlock - 1) / tasksPerBlock)

    /** Tasks that were on a machine and wait again; the other waiting ones are [firstUnplaced] and later. */
    private val requeued = TreeSet<Int>()
    private var firstUnplaced = 0

    val finished: Boolean get() = doneCount == spec.tasks

    /** How many tasks may be placed. */
    val waiting: Int get() = if (cancelled || isBlocked || isUnreadable) 0 else spec.tasks - doneCount - assigned.size

    /** Whether nothing of it is on a machine or will be, so that its outcome may be written. */
    val isTerminal: Boolean
        get() =
            when {
                isUnreadable -> false
                cancelled || dependencyCancelled -> assigned.isEmpty()
                else -> finished
            }

    /**
     * A record of the job is malformed, so that what it says is unknown: nothing more of it is started, and nothing is
     * written under its keys, until another leader can read them.
     */
    var isUnreadable = false

    // ---- scheduling ----

    /** Nothing is placed before then, after failures on several machines. */
    var retryAfter: Duration = Duration.ZERO
    val failures = JobFailures()

    /** It has failed on every machine so far, probably by its own fault: its tasks are tried one at a time. */
    var isQuarantined = false

    /** When a task of the job was last placed, or the job became known or runnable. */
    var lastPlaced: Duration = Duration.ZERO

    /** When the job became known or runnable. */
    var waitingSince: Duration = Duration.ZERO
    private val runTime = RunTimeEstimate(spec.expectedSeconds)

    /** The expected run time of a task in seconds, by those observed, else by the specification. */
    val expectedSeconds: Double get() = runTime.seconds
    val expectedRunTime: Duration get() = runTime.duration

    /** How long the gang may hold resources while it is incomplete. */
    var assemblyTimeout: Duration = Duration.ZERO

    /** Since when the incomplete gang holds resources; null while it holds none. */
    var assemblingSince: Duration? = null

    /** The next assembly may begin then. */
    var nextAssemblyAt: Duration = Duration.ZERO

    /** The last job that it depends on has succeeded: its objectives count from now on. */
    fun becomeRunnable(
        ownDeadlines: List<Duration>,
        now: Duration,
    ) {
        runnableSince = now
        lastPlaced = now
        waitingSince = now
        this.ownDeadlines = ownDeadlines
        updateDeadlines(now)
    }

    /** Sets what it inherits from the jobs that depend on it. Its position in the queue may change by this. */
    fun inherit(
        priority: Priority,
        deadlines: List<Duration>,
        now: Duration,
    ) {
        this.priority = priority
        inheritedDeadlines = deadlines
        updateDeadlines(now)
    }

    private fun updateDeadlines(now: Duration) {
        objectiveDeadlines = (ownDeadlines + inheritedDeadlines).sorted()
        nextReachableDeadline = nextReachableDeadlineAt(now)
    }

    /**
     * The first objective deadline that a task started now can meet. Work that has missed one makes way for what can
     * still be in time, and counts again for the next; what has missed all comes last.
     */
    fun nextReachableDeadlineAt(now: Duration): Duration =
        objectiveDeadlines.firstOrNull { now + expectedRunTime <= it }
            ?: (objectiveDeadlines.last() + ALL_MISSED_DELAY)

    /** A task completed after this run time. */
    fun runTimeObserved(runTime: Duration) = this.runTime.observed(runTime)

    /** Whether its tasks may be on that machine, given where its other tasks are. */
    fun mayRunOn(machine: Machine): Boolean {
        if (spec.instanceTypes != null && machine.type !in spec.instanceTypes) return false
        if (spec.zone != null && machine.zone != spec.zone) return false
        if (machine.spot && !spec.spot) return false
        if (spec.oneZone && zones.isNotEmpty() && machine.zone !in zones) return false
        if (!spec.spread) return true
        // Machines that only the records name may be in this zone.
        return (zones[machine.zone] ?: 0) + (zones[""] ?: 0) < spec.maxPerZone
    }

    fun isDone(index: Int): Boolean = done.get(index)

    /** The task completed; it is never placed again. */
    fun setDone(index: Int) {
        if (done.get(index)) return
        done.set(index)
        doneCount++
        requeued.remove(index)
    }

    /** The next task to place, which stays waiting; null if none may be placed. */
    fun nextTask(): Int? {
        if (cancelled || isBlocked) return null
        if (requeued.isNotEmpty()) return requeued.first()
        while (firstUnplaced < spec.tasks && isPlacedOrDone(firstUnplaced)) firstUnplaced++
        return if (firstUnplaced < spec.tasks) firstUnplaced else null
    }

    private fun isPlacedOrDone(index: Int): Boolean = done.get(index) || assigned.containsKey(index)

    /** The task is, or may be, on the assignment's machine, and does not wait. */
    fun place(assignment: Assignment) {
        requeued.remove(assignment.index)
        assigned[assignment.index] = assignment
        zones.merge(assignment.zone, 1, Int::plus)
    }

    /** The task waits again unless it is done. An assignment that was replaced meanwhile has no effect. */
    fun unplace(assignment: Assignment) {
        if (assigned[assignment.index] !== assignment) return
        assigned.remove(assignment.index)
        zones.computeIfPresent(assignment.zone) { _, count -> if (count > 1) count - 1 else null }
        if (!done.get(assignment.index)) requeued.add(assignment.index)
    }

    /** Whether [record] can be that of the block with that number: it names no tasks outside of the block. */
    fun covers(
        number: Int,
        record: ProgressRecord,
    ): Boolean {
        if (number !in blocks.indices) return false
        val range = number * tasksPerBlock until minOf((number + 1) * tasksPerBlock, spec.tasks)
        return record.done.length() <= range.count() && record.placed.all { it.index in range }
    }

    /** The progress block that covers a task. */
    fun block(index: Int): ProgressBlock = blockNumber(index / tasksPerBlock)

    /** The progress block with that number, counted from zero. */
    fun blockNumber(number: Int): ProgressBlock {
        val known = blocks[number]
        return known ?: ProgressBlock(this, number).also { blocks[number] = it }
    }

    /** Blocks that have been used; those of the other tasks have nothing to write. */
    fun knownBlocks(): List<ProgressBlock> = blocks.filterNotNull()

    /** The highest attempt number that any of its tasks was given. */
    fun highestAttempt(): Long = blocks.maxOfOrNull { it?.lastAttempt ?: 0L } ?: 0L

    /** Applies a stored progress record; its placements are left to the caller. */
    fun load(
        number: Int,
        record: Versioned<ProgressRecord>,
    ) {
        val block = blockNumber(number)
        block.version = record.version
        block.lastAttempt = record.value.lastAttempt
        block.storedDone = record.value.done
        val firstIndex = number * tasksPerBlock
        record.value.done
            .stream()
            .forEach { setDone(firstIndex + it) }
    }

    /** The block's progress as it is to be stored; [seq] is that of the newest log entry that it contains. */
    fun progressRecord(
        block: ProgressBlock,
        seq: Long,
    ): ProgressRecord {
        val firstIndex = block.number * tasksPerBlock
        val end = minOf(firstIndex + tasksPerBlock, spec.tasks)
        val placed = ArrayList<Placement>()
        for (index in firstIndex until end) {
            val assignment = assigned[index] ?: continue
            if (!assignment.reserved) placed += Placement(index, assignment.attempt, assignment.machineName)
        }
        return ProgressRecord(done.get(firstIndex, end), placed, block.lastAttempt, seq)
    }

    private companion object {
        /** Puts work that has missed all its deadlines behind what can be in time, though not behind it for ever. */
        val ALL_MISSED_DELAY = 1.hours
    }
}
