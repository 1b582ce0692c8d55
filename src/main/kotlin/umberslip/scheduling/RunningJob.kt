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
 * All times are readings of the leader's monotonic clock.
 */
class RunningJob(
    val spec: JobSpec,
    /** The newest job record that the leader knows, with its version in the store. */
    var record: Versioned<JobRecord>,
    /** How many tasks one progress record covers. */
    val tasksPerBlock: Int,
    /** When the user first submitted the job. */
    val submittedAt: Duration,
    /** The times by which the job should be done, the earliest first; there is at least one. */
    objectiveDeadlines: List<Duration>,
    /** The objective deadlines that follow from the job's own deadline; the jobs that it depends on inherit them. */
    val deadlines: List<Duration> = emptyList(),
) {
    val resources = Resources(spec.cpus, spec.gpus, spec.memoryGb)
    val cancelled: Boolean get() = record.value.cancelled

    // ---- dependencies ----

    /** The dependencies whose success is not recorded. No task of the job is placed while there are any. */
    val pendingDependencies = HashSet<JobId>()

    /** Whether a job that this one depends on, directly or indirectly, is cancelled, so that this one can never run. */
    var dependencyCancelled = false
    val isBlocked: Boolean get() = dependencyCancelled || pendingDependencies.isNotEmpty()

    /** Since when the job may run: since its submission, or since the last of its dependencies succeeded. */
    var runnableSince: Duration = submittedAt
        private set

    // ---- priority and deadlines ----

    private var ownObjectiveDeadlines = objectiveDeadlines
    private var inheritedDeadlines = emptyList<Duration>()

    /** The job's own objective deadlines and those inherited from jobs that depend on it, the earliest first. */
    var objectiveDeadlines: List<Duration> = objectiveDeadlines
        private set

    /** The earliest objective deadline. */
    val firstDeadline: Duration get() = objectiveDeadlines.first()

    /**
     * The result of [nextReachableDeadlineAt] when it was last updated. The job's position in its team's queue depends
     * on it, so only [Dispatcher.reinsert] may change it while the job is queued.
     */
    var nextReachableDeadline: Duration = firstDeadline

    /** The highest of the job's own priority and the priorities of the unfinished jobs that depend on it. */
    var priority: Priority = spec.priority
        private set

    // ---- tasks ----

    private val done = BitSet()
    var doneCount = 0
        private set

    /** The assignments of the tasks that are, or may be, on a machine, by task index. */
    val assigned = HashMap<Int, Assignment>()

    /** The number of assigned tasks in each zone; the empty name stands for zones that are not known yet. */
    val zones = HashMap<String, Int>()
    private val blocks = arrayOfNulls<ProgressBlock>((spec.tasks + tasksPerBlock - 1) / tasksPerBlock)

    /** Tasks that were on a machine and wait again. Other waiting tasks have index [firstNeverAssigned] or higher. */
    private val requeued = TreeSet<Int>()
    private var firstNeverAssigned = 0

    val finished: Boolean get() = doneCount == spec.tasks

    /** The number of tasks that wait to be placed. Zero while none may be placed. */
    val waiting: Int get() = if (cancelled || isBlocked || isUnreadable) 0 else spec.tasks - doneCount - assigned.size

    /** Whether no task is on a machine or will be placed on one, so that the job's outcome may be written. */
    val isTerminal: Boolean
        get() =
            when {
                isUnreadable -> false
                cancelled || dependencyCancelled -> assigned.isEmpty()
                else -> finished
            }

    /**
     * Whether a record of the job is malformed. As its contents are unknown, no further task is started and nothing is
     * written under the job's keys until another leader can read the records.
     */
    var isUnreadable = false

    // ---- scheduling ----

    /** The time before which no task is placed, set after failures on several machines. */
    var retryAfter: Duration = Duration.ZERO
    val failures = JobFailures()

    /**
     * Whether the job has failed on every machine so far, so that the fault is probably its own. Its tasks are tried
     * one at a time.
     */
    var isQuarantined = false

    /** When a task of the job was last placed; until then, the same as [waitingSince]. */
    var lastPlaced: Duration = Duration.ZERO

    /** When the job became known to the leader, or runnable if that was later. */
    var waitingSince: Duration = Duration.ZERO
    private val runTime = RunTimeEstimate(spec.expectedSeconds)

    /** The expected run time of a task in seconds, as observed, or as specified before any task has completed. */
    val expectedSeconds: Double get() = runTime.seconds
    val expectedRunTime: Duration get() = runTime.duration

    /** How long an incomplete gang may hold resources. */
    var assemblyTimeout: Duration = Duration.ZERO

    /** Since when the incomplete gang holds resources; null while it holds none. */
    var assemblingSince: Duration? = null

    /** The time before which the gang is not assembled again. */
    var nextAssemblyAt: Duration = Duration.ZERO

    /** Notes that the last dependency has succeeded. The objectives of the job count from [now]. */
    fun becomeRunnable(
        ownObjectiveDeadlines: List<Duration>,
        now: Duration,
    ) {
        runnableSince = now
        lastPlaced = now
        waitingSince = now
        this.ownObjectiveDeadlines = ownObjectiveDeadlines
        updateDeadlines(now)
    }

    /**
     * Sets the effective [priority] and the [deadlines] that the job inherits from the jobs that depend on it. This may
     * change the job's position in the queue.
     */
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
        objectiveDeadlines = (ownObjectiveDeadlines + inheritedDeadlines).sorted()
        nextReachableDeadline = nextReachableDeadlineAt(now)
    }

    /**
     * Returns the first objective deadline that a task started at [now] can meet. A job that has missed a deadline is
     * ordered by its next one, behind jobs that can still meet an earlier deadline. A job that has missed all of its
     * deadlines is placed last, [ALL_MISSED_DELAY] after the latest.
     */
    fun nextReachableDeadlineAt(now: Duration): Duration =
        objectiveDeadlines.firstOrNull { now + expectedRunTime <= it }
            ?: (objectiveDeadlines.last() + ALL_MISSED_DELAY)

    /** Updates the expected run time after a task has completed in [runTime]. */
    fun runTimeObserved(runTime: Duration) = this.runTime.add(runTime)

    /** Whether another task may run on [machine], given the zones of the job's other tasks. */
    fun mayRunOn(machine: Machine): Boolean {
        if (spec.instanceTypes != null && machine.type !in spec.instanceTypes) return false
        if (spec.zone != null && machine.zone != spec.zone) return false
        if (machine.spot && !spec.spot) return false
        if (spec.oneZone && zones.isNotEmpty() && machine.zone !in zones) return false
        if (!spec.spread) return true
        // Machines that only the records name have no known zone yet and may be in this one.
        return (zones[machine.zone] ?: 0) + (zones[""] ?: 0) < spec.maxPerZone
    }

    fun isDone(index: Int): Boolean = done.get(index)

    /** Marks the task as done, so that it is never placed again. */
    fun setDone(index: Int) {
        if (done.get(index)) return
        done.set(index)
        doneCount++
        requeued.remove(index)
    }

    /** Returns the index of the next task to place, without placing it, or null if none may be placed. */
    fun nextTask(): Int? {
        if (cancelled || isBlocked) return null
        if (requeued.isNotEmpty()) return requeued.first()
        while (firstNeverAssigned < spec.tasks && isAssignedOrDone(firstNeverAssigned)) firstNeverAssigned++
        return if (firstNeverAssigned < spec.tasks) firstNeverAssigned else null
    }

    private fun isAssignedOrDone(index: Int): Boolean = done.get(index) || assigned.containsKey(index)

    /** Marks the task as assigned: it is, or may be, on the assignment's machine and no longer waits. */
    fun assign(assignment: Assignment) {
        requeued.remove(assignment.index)
        assigned[assignment.index] = assignment
        zones.merge(assignment.zone, 1, Int::plus)
    }

    /** Removes [assignment] unless it was replaced meanwhile. The task waits again unless it is done. */
    fun unassign(assignment: Assignment) {
        if (assigned[assignment.index] !== assignment) return
        assigned.remove(assignment.index)
        zones.computeIfPresent(assignment.zone) { _, count -> if (count > 1) count - 1 else null }
        if (!done.get(assignment.index)) requeued.add(assignment.index)
    }

    /** Whether [record] can be the record of block [number]: the block exists, and the record names only its tasks. */
    fun matchesBlock(
        number: Int,
        record: ProgressRecord,
    ): Boolean {
        if (number !in blocks.indices) return false
        val range = number * tasksPerBlock until minOf((number + 1) * tasksPerBlock, spec.tasks)
        return record.done.length() <= range.count() && record.placed.all { it.index in range }
    }

    /** Returns the progress block that covers a task. */
    fun block(index: Int): ProgressBlock = blockByNumber(index / tasksPerBlock)

    /** Returns the progress block with that number, counted from zero, and creates it on first use. */
    fun blockByNumber(number: Int): ProgressBlock {
        val existing = blocks[number]
        return existing ?: ProgressBlock(this, number).also { blocks[number] = it }
    }

    /** Returns the blocks that have been used. The other blocks have nothing to write. */
    fun usedBlocks(): List<ProgressBlock> = blocks.filterNotNull()

    /** Returns the highest attempt number that any task of the job was given. */
    fun highestAttempt(): Long = blocks.maxOfOrNull { it?.lastAttempt ?: 0L } ?: 0L

    /** Applies a stored progress record except for its placements, which the caller applies. */
    fun load(
        number: Int,
        record: Versioned<ProgressRecord>,
    ) {
        val block = blockByNumber(number)
        block.version = record.version
        block.lastAttempt = record.value.lastAttempt
        block.storedDone = record.value.done
        val firstIndex = number * tasksPerBlock
        record.value.done
            .stream()
            .forEach { setDone(firstIndex + it) }
    }

    /** Returns the block's progress as it is to be stored; [seq] is that of the newest log entry that it includes. */
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
        /** Puts a job that has missed all its deadlines behind jobs that can meet theirs, but not indefinitely. */
        val ALL_MISSED_DELAY = 1.hours
    }
}
