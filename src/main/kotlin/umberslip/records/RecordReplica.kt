package umberslip.records

import org.slf4j.LoggerFactory
import umberslip.core.JobId
import umberslip.core.MachineName
import umberslip.core.Term
import umberslip.http.Fields
import umberslip.http.MalformedMessageException
import umberslip.store.Change
import umberslip.store.Entry
import umberslip.store.Version
import java.util.BitSet

/** What a change of the records means to those who act on them. */
sealed interface RecordEvent {
    data class JobChanged(
        val id: JobId,
        val job: Versioned<JobRecord>,
    ) : RecordEvent

    /** The job's record is gone: it ended, and how is told by its end's record. */
    data class JobRemoved(
        val id: JobId,
    ) : RecordEvent

    /** Another controller answered heartbeats of these machines lately. */
    data class LeasesRenewedByFollower(
        val machineNames: Set<MachineName>,
    ) : RecordEvent

    data class LeaderChanged(
        val leader: Versioned<LeaderRecord>?,
    ) : RecordEvent
}

/** How many tasks of a job are done, and how many are on machines, as the records say. */
data class Progress(
    val done: Int,
    val running: Int,
)

/** A reader's copy of the records, to look at and not to change. */
interface RecordView {
    val leader: Versioned<LeaderRecord>?
    val term: Versioned<Term>?
    val bootingMachines: Any?
    val revokedRenewals: Versioned<MachineSetRecord>?

    fun job(id: JobId): Versioned<JobRecord>?

    fun jobs(): Map<JobId, Versioned<JobRecord>>

    fun progressRecords(): Map<JobId, Map<Int, Versioned<ProgressRecord>>>

    /** Logged starts and ends by slot. */
    fun log(): Map<Int, Versioned<LogRecord>>

    fun progress(id: JobId): Progress
}

/**
 * This controller's copy of the records of all jobs that have not ended. Pure state; the reading is the
 * [RecordWatcher]'s.
 */
class RecordReplica : RecordView {
    private val log = LoggerFactory.getLogger("umberslip.records")
    private val jobs = HashMap<JobId, Versioned<JobRecord>>()
    private val blocks = HashMap<JobId, HashMap<Int, Versioned<ProgressRecord>>>()
    private val entries = HashMap<Int, Versioned<LogRecord>>()

    /** The rows of the log by job, since every question about a job asks for its own. */
    private val rowsOf = HashMap<JobId, HashMap<Int, LogRow>>()
    private val corrupt = HashSet<String>()

    /** The keys of records that cannot be read; they are left alone. */
    val unreadable: Set<String> get() = corrupt

    override var leader: Versioned<LeaderRecord>? = null
        private set
    override var term: Versioned<Term>? = null
        private set
    override var bootingMachines: Any? = null
        private set
    override var revokedRenewals: Versioned<MachineSetRecord>? = null
        private set

    override fun job(id: JobId): Versioned<JobRecord>? = jobs[id]

    override fun jobs(): Map<JobId, Versioned<JobRecord>> = jobs

    override fun progressRecords(): Map<JobId, Map<Int, Versioned<ProgressRecord>>> = blocks

    override fun log(): Map<Int, Versioned<LogRecord>> = entries

    override fun progress(id: JobId): Progress {
        val stored = blocks[id]?.values.orEmpty().map { it.value }
        val storedSeq = stored.minOfOrNull { it.seq } ?: 0L
        val placed = BitSet()
        val done = BitSet()
        for (block in stored) for (placement in block.placed) placed.set(placement.index)
        // Replayed in order, since a later entry may repeat what an earlier one says.
        for (row in rowsAfter(storedSeq, id)) {
            for (start in row.starts) placed.set(start.index)
            for (end in row.ends) {
                placed.clear(end.index)
                if (end.done) done.set(end.index)
            }
        }
        val tasks = jobs[id]?.value?.spec?.tasks ?: 0
        val doneCount = minOf(stored.sumOf { it.done.cardinality() } + done.cardinality(), tasks)
        return Progress(doneCount, placed.cardinality().coerceAtMost(tasks - doneCount))
    }

    /** What the log says of a job in entries later than that one, in their order. */
    private fun rowsAfter(
        seq: Long,
        id: JobId,
    ): List<LogRow> {
        val bySlot = rowsOf[id] ?: return emptyList()
        return bySlot
            .mapNotNull { (slot, row) -> entries[slot]?.let { it.value.seq to row } }
            .filter { (rowSeq, _) -> rowSeq > seq }
            .sortedBy { (rowSeq, _) -> rowSeq }
            .map { (_, row) -> row }
    }

    fun apply(change: Change): RecordEvent? =
        when (change) {
            is Change.Put -> put(Entry(change.key, change.data, change.version))
            is Change.Drop -> drop(change.key, change.version)
        }

    /** Takes all keys as read page by page; what is not among them is gone. */
    fun replace(entries: List<Entry>): List<RecordEvent> {
        val seen = entries.mapTo(HashSet()) { it.key }
        val gone = ArrayList<String>()
        jobs.keys.forEach { gone += Keys.job(it) }
        blocks.forEach { (id, all) -> all.keys.forEach { gone += Keys.progress(id, it) } }
        gone += Keys.LEADER
        return gone.filter { it !in seen }.mapNotNull { drop(it, Version(Long.MAX_VALUE)) } + entries.mapNotNull(::put)
    }

    private fun put(entry: Entry): RecordEvent? =
        try {
            putParsed(entry)
        } catch (e: MalformedMessageException) {
            // Reported, never guessed at: the key is left alone and its job neither runs nor is forgotten.
            if (corrupt.add(entry.key)) {
                log.error("record {} at {} cannot be read: {}", entry.key, entry.version.value, e.message)
            }
            null
        }

    private fun putParsed(entry: Entry): RecordEvent? {
        val job = Keys.asJob(entry.key)
        val block = if (job == null) Keys.asProgress(entry.key) else null
        val slot = Keys.asLog(entry.key)
        when {
            job != null -> return putJob(job, entry)
            block != null -> putProgress(block.first, block.second, entry)
            slot != null -> putLogEntry(slot, entry)
            entry.key == Keys.LEADER -> return putOwner(entry)
            entry.key == Keys.TERM -> putTerm(entry)
            entry.key == Keys.REVOKED_RENEWALS -> putRevokedRenewals(entry)
            entry.key == Keys.BOOTING_MACHINES -> bootingMachines = entry.data
            Keys.isFollowerRenewals(entry.key) -> return RecordEvent.LeasesRenewedByFollower(MachineSetRecord.parse(entry.data).machineNames)
        }
        return null
    }

    /** Whether an entry is newer than what is known of its key. */
    private fun Entry.isNewerThan(known: Versioned<*>?): Boolean = known == null || version.value > known.version.value

    private fun putJob(
        id: JobId,
        entry: Entry,
    ): RecordEvent? {
        if (!entry.isNewerThan(jobs[id])) return null
        val job = Versioned(JobRecord.parse(entry.data), entry.version)
        jobs[id] = job
        return RecordEvent.JobChanged(id, job)
    }

    private fun putProgress(
        id: JobId,
        number: Int,
        entry: Entry,
    ) {
        val all = blocks.getOrPut(id) { HashMap() }
        if (entry.isNewerThan(all[number])) all[number] = Versioned(ProgressRecord.parse(entry.data), entry.version)
    }

    private fun putLogEntry(
        slot: Int,
        entry: Entry,
    ) {
        if (entry.isNewerThan(entries[slot])) logged(slot, Versioned(LogRecord.parse(entry.data), entry.version))
    }

    private fun putOwner(entry: Entry): RecordEvent? {
        if (!entry.isNewerThan(leader)) return null
        leader = Versioned(LeaderRecord.parse(entry.data), entry.version)
        return RecordEvent.LeaderChanged(leader)
    }

    private fun putTerm(entry: Entry) {
        val number = Fields.of(entry.data, Keys.TERM).long("term")
        term = Versioned(Term(number), entry.version)
    }

    private fun putRevokedRenewals(entry: Entry) {
        if (entry.isNewerThan(revokedRenewals)) revokedRenewals = Versioned(MachineSetRecord.parse(entry.data), entry.version)
    }

    private fun logged(
        slot: Int,
        record: Versioned<LogRecord>,
    ) {
        entries[slot]?.value?.rows?.keys?.forEach { job ->
            val rows = rowsOf[job] ?: return@forEach
            rows.remove(slot)
            if (rows.isEmpty()) rowsOf.remove(job)
        }
        entries[slot] = record
        for ((job, row) in record.value.rows) rowsOf.getOrPut(job) { HashMap() }[slot] = row
    }

    private fun drop(
        key: String,
        version: Version,
    ): RecordEvent? {
        corrupt.remove(key)
        val jobId = Keys.asJob(key)
        val block = if (jobId == null) Keys.asProgress(key) else null
        return when {
            jobId != null -> {
                val job = jobs[jobId]?.takeIf { it.version.value < version.value }
                if (job == null) {
                    null
                } else {
                    jobs.remove(jobId)
                    RecordEvent.JobRemoved(jobId)
                }
            }
            block != null -> {
                val all = blocks[block.first]
                if (all != null) {
                    val known = all[block.second]
                    if (known != null && known.version.value < version.value) all.remove(block.second)
                    if (all.isEmpty()) blocks.remove(block.first)
                }
                null
            }
            key == Keys.LEADER -> {
                val known = leader
                if (known != null && known.version.value < version.value) {
                    leader = null
                    RecordEvent.LeaderChanged(null)
                } else {
                    null
                }
            }
            else -> null
        }
    }
}
