package umberslip.scheduling

import umberslip.agents.TaskState
import umberslip.core.JobId
import umberslip.core.JobSpec
import umberslip.core.MachineName
import umberslip.core.Priority
import umberslip.core.Resources
import umberslip.core.Shape
import umberslip.core.TaskId
import umberslip.records.JobRecord
import umberslip.records.Placement
import umberslip.records.ProgressRecord
import umberslip.records.Versioned
import java.util.BitSet
import java.util.TreeSet
import kotlin.time.Duration
import kotlin.time.Duration.Companion.hours
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

/** A task that is, or may be, on a machine. */
class Assignment(
    val job: RunningJob,
    val index: Int,
    var attempt: Long,
    val machineName: MachineName,
    val zone: String,
) {
    val id = TaskId(job.spec.id, index)
    val resources: Resources get() = job.resources

    /** Holds a slot for a gang that is not complete yet: neither recorded nor started. */
    var reserved = false

    /** The start is in the key-value store, in the log or in its progress block, so it may be told to the worker. */
    var recorded = false
    var status: TaskState? = null

    /** The newest heartbeat of its machine shows it. */
    var seen = false
    var runningSince: Duration? = null

    /** What it should still need, by its job's expected run time; null until it runs. */
    fun left(now: Duration): Duration? = runningSince?.let { job.expectedRunTime - (now - it) }

    /** It runs, saves when stopped, and began at least [settled] ago, so it can go on elsewhere at little loss. */
    fun mayMigrate(
        now: Duration,
        settled: Duration,
    ): Boolean {
        val since = runningSince ?: return false
        return gracePeriod == null &&
            status == TaskState.RUNNING &&
            job.spec.checkpointIntervalSeconds > 0 &&
            job.spec.shape == Shape.ARRAY &&
            now - since >= settled
    }

    /** Set once it shall stop; the worker then has this long to save. */
    var gracePeriod: Duration? = null
}

/** An accepted job that has not ended, with all its tasks. */
class RunningJob(
    val spec: JobSpec,
    var record: Versioned<JobRecord>,
    val tasksPerBlock: Int,
    /** When its user first handed it in. */
    val submittedAt: Duration,
    /** The times by which its users want it done, the earliest first; at least one. */
    objectiveDeadlines: List<Duration>,
    /** Those of them that its own deadline sets; they hold for the jobs that it needs, too. */
    val deadlines: List<Duration> = emptyList(),
) {
    /** Needed jobs whose recorded end is not known to be done; nothing is placed while there are any. */
    val pending = HashSet<JobId>()

    /** A job that it needs is cancelled, so it can never be done. */
    var dependencyCancelled = false

    val isBlocked: Boolean get() = dependencyCancelled || pending.isNotEmpty()

    /** From when on it could run: it was handed in, or the last job that it needs was done. */
    var runnableSince: Duration = submittedAt
        private set
    private var own = objectiveDeadlines
    private var inherited = emptyList<Duration>()

    /** Its own objectiveDeadlines and those that it has for the sake of jobs that need it. */
    var objectiveDeadlines: List<Duration> = objectiveDeadlines
        private set
    val due: Duration get() = objectiveDeadlines.first()

    /** The next target that it can still meet; its place in the queue goes by it. */
    var nextReachableDeadline: Duration = due

    /** The highest of its own and of any unfinished job that needs it. */
    var priority: Priority = spec.priority
        private set

    /** The last job that it needs is done: what its users wait for counts from now on. */
    fun becomeRunnable(
        own: List<Duration>,
        now: Duration,
    ) {
        runnableSince = now
        lastPlaced = now
        waitingSince = now
        this.own = own
        retarget(now)
    }

    /** For the sake of jobs that need it. */
    fun inherit(
        priority: Priority,
        inherited: List<Duration>,
        now: Duration,
    ) {
        this.priority = priority
        this.inherited = inherited
        retarget(now)
    }

    private fun retarget(now: Duration) {
        objectiveDeadlines = (own + inherited).sorted()
        nextReachableDeadline = nextReachableDeadlineAt(now)
    }

    val resources = Resources(spec.cpus, spec.gpus, spec.memoryGb)
    private val done = BitSet()
    var doneCount = 0
        private set
    val assigned = HashMap<Int, Assignment>()
    private val blocks = arrayOfNulls<ProgressBlock>((spec.tasks + tasksPerBlock - 1) / tasksPerBlock)

    /** Tasks that came back from a machine and wait again; the rest of the waiting are [fresh] and later. */
    private val returned = TreeSet<Int>()
    private var fresh = 0
    val zones = HashMap<String, Int>()

    val cancelled: Boolean get() = record.value.cancelled
    val finished: Boolean get() = doneCount == spec.tasks
    val waiting: Int get() = if (cancelled || isBlocked) 0 else spec.tasks - doneCount - assigned.size

    /** Nothing of it runs or will run. */
    val isTerminal: Boolean get() = if (cancelled || dependencyCancelled) assigned.isEmpty() else finished

    fun isDone(index: Int): Boolean = done.get(index)

    fun setDone(index: Int) {
        if (done.get(index)) return
        done.set(index)
        doneCount++
        returned.remove(index)
    }

    /** After failures on several machines, the job's tasks wait before the next try. */
    var retryAfter: Duration = Duration.ZERO
    val failures = JobFailures()

    /** It fails on every machine so far, probably by its own mistake: its tasks are tried one at a time. */
    var isQuarantined = false

    /** When a task of the job was last placed, or the job came. */
    var lastPlaced: Duration = Duration.ZERO

    var waitingSince: Duration = Duration.ZERO

    /** Own observation of a task's run time, once there is one. */
    private var observedSeconds: Double? = null

    /** The expected run time of a task: what was seen, else what the leader thinks. */
    val expected: Double get() = observedSeconds ?: spec.expectedSeconds.coerceAtLeast(1.0)

    /** [expected] as a time; kept, since it is asked for with every task that is looked at. */
    var expectedRunTime: Duration = expected.seconds
        private set

    fun observed(took: Duration) {
        val seconds = took.toDouble(DurationUnit.SECONDS)
        observedSeconds = observedSeconds?.let { it * (1 - NEWEST_SHARE) + seconds * NEWEST_SHARE } ?: seconds
        expectedRunTime = expected.seconds
    }

    /** How long a gang may gather slots; doubles whenever it had to give them back. */
    var assemblyTimeout: Duration = Duration.ZERO
    var assemblingSince: Duration? = null
    var nextAssemblyAt: Duration = Duration.ZERO

    fun block(index: Int): ProgressBlock = blockNumber(index / tasksPerBlock)

    fun blockNumber(number: Int): ProgressBlock = blocks[number] ?: ProgressBlock(this, number).also { blocks[number] = it }

    fun knownBlocks(): List<ProgressBlock> = blocks.filterNotNull()

    fun highestAttempt(): Long = blocks.maxOfOrNull { it?.lastAttempt ?: 0L } ?: 0L

    /** The next task to place, without taking it; null where none waits. */
    fun peek(): Int? {
        if (cancelled || isBlocked) return null
        returned.firstOrNull()?.let { return it }
        while (fresh < spec.tasks && (done.get(fresh) || assigned.containsKey(fresh))) fresh++
        return if (fresh < spec.tasks) fresh else null
    }

    fun place(a: Assignment) {
        returned.remove(a.index)
        assigned[a.index] = a
        zones.merge(a.zone, 1, Int::plus)
    }

    fun unplace(a: Assignment) {
        if (assigned[a.index] !== a) return
        assigned.remove(a.index)
        zones.computeIfPresent(a.zone) { _, n -> if (n > 1) n - 1 else null }
        if (!done.get(a.index)) returned.add(a.index)
    }

    fun load(
        number: Int,
        record: Versioned<ProgressRecord>,
    ) {
        val block = blockNumber(number)
        block.version = record.version
        block.lastAttempt = record.value.lastAttempt
        block.storedDone = record.value.done
        val base = number * tasksPerBlock
        record.value.done
            .stream()
            .forEach { setDone(base + it) }
    }

    fun progressRecord(
        block: ProgressBlock,
        seq: Long,
    ): ProgressRecord {
        val base = block.number * tasksPerBlock
        val end = minOf(base + tasksPerBlock, spec.tasks)
        val placed = ArrayList<Placement>()
        for (i in base until end) {
            assigned[i]?.takeIf { !it.reserved }?.let { placed += Placement(i, it.attempt, it.machineName) }
        }
        return ProgressRecord(done.get(base, end), placed, block.lastAttempt, seq)
    }

    /**
     * Work that is late for one target makes way for what can still be in time, but for the next one it counts again.
     */
    fun nextReachableDeadlineAt(now: Duration): Duration =
        objectiveDeadlines.firstOrNull { now + expectedRunTime <= it }
            ?: (objectiveDeadlines.last() + LATE)

    private companion object {
        val LATE = 1.hours

        /** The weight of the newest run time in the mean of those observed. */
        const val NEWEST_SHARE = 0.3
    }
}
