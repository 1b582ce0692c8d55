package umberslip.records

import org.slf4j.LoggerFactory
import umberslip.core.JobId
import umberslip.core.Term
import umberslip.http.MalformedMessageException
import umberslip.store.Change
import umberslip.store.Entry
import umberslip.store.Version
import java.util.BitSet

/**
 * This controller's copy of the records of all unfinished jobs. It does no I/O, since the [RecordWatcher] reads the
 * key-value store, and it is confined to one thread. Changes may be applied repeatedly and out of order; the newest
 * version of a key wins.
 */
class RecordReplica : RecordView {
    private val log = LoggerFactory.getLogger("umberslip.records")
    private val jobs = HashMap<JobId, Versioned<JobRecord>>()
    private val blocks = HashMap<JobId, HashMap<Int, Versioned<ProgressRecord>>>()
    private val logEntries = HashMap<Int, Versioned<LogRecord>>()

    /** The rows of the log by job and slot, because each query for a job needs only the rows of that job. */
    private val logRows = HashMap<JobId, HashMap<Int, LogRow>>()

    /** The versions of malformed records by key. */
    private val malformed = HashMap<String, Version>()
    override val unreadable: Set<String> get() = malformed.keys

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

    override fun log(): Map<Int, Versioned<LogRecord>> = logEntries

    override fun progress(id: JobId): Progress {
        val stored = blocks[id]?.values.orEmpty().map { it.value }
        val storedSeq = stored.minOfOrNull { it.seq } ?: 0L
        val placed = BitSet()
        val loggedDone = BitSet()
        for (block in stored) for (placement in block.placed) placed.set(placement.index)
        // Rows are replayed in log order, since a later entry may repeat starts and exits of an earlier one.
        for (row in rowsAfter(storedSeq, id)) {
            for (start in row.starts) placed.set(start.index)
            for (exit in row.exits) {
                placed.clear(exit.index)
                if (exit.done) loggedDone.set(exit.index)
            }
        }
        val tasks = jobs[id]?.value?.spec?.tasks ?: 0
        val done = minOf(stored.sumOf { it.done.cardinality() } + loggedDone.cardinality(), tasks)
        return Progress(done, running = placed.cardinality().coerceAtMost(tasks - done))
    }

    /** Returns the job's rows from the log entries after [seq], in log order. */
    private fun rowsAfter(
        seq: Long,
        id: JobId,
    ): List<LogRow> {
        val rowsBySlot = logRows[id] ?: return emptyList()
        return rowsBySlot
            .mapNotNull { (slot, row) -> logEntries[slot]?.let { it.value.seq to row } }
            .filter { (rowSeq, _) -> rowSeq > seq }
            .sortedBy { (rowSeq, _) -> rowSeq }
            .map { (_, row) -> row }
    }

    /** Applies a change that the key-value store reported. Returns null if no controller has to react to it. */
    fun apply(change: Change): RecordEvent? =
        when (change) {
            is Change.Put -> put(Entry(change.key, change.data, change.version))
            is Change.Delete -> remove(change.key, change.version)
        }

    /**
     * Applies the result of a complete read. Jobs, progress blocks and a leader that are missing from [entries] were
     * removed from the key-value store.
     */
    fun replace(entries: List<Entry>): List<RecordEvent> {
        val present = entries.mapTo(HashSet()) { it.key }
        val heldKeys = ArrayList<String>()
        jobs.keys.mapTo(heldKeys, Keys::job)
        for ((id, blocksOfJob) in blocks) blocksOfJob.keys.mapTo(heldKeys) { Keys.progress(id, it) }
        heldKeys += Keys.LEADER
        val removals = heldKeys.filter { it !in present }.mapNotNull { remove(it, NEWER_THAN_ANY) }
        return removals + entries.mapNotNull(::put)
    }

    private fun put(entry: Entry): RecordEvent? =
        try {
            val event = putParsed(entry)
            if (malformed[entry.key]?.let { it.value < entry.version.value } == true) malformed.remove(entry.key)
            event
        } catch (e: MalformedMessageException) {
            // The record is reported and its contents are not guessed. Its key is not written, and its job is neither
            // run nor treated as removed.
            if (malformed.put(entry.key, entry.version) == null) {
                log.error(
                    "malformed record neither used nor overwritten: key={} version={} reason={}",
                    entry.key,
                    entry.version.value,
                    e.message,
                )
            }
            null
        }

    private fun putParsed(entry: Entry): RecordEvent? {
        val job = Keys.parseJobId(entry.key)
        val progressKey = if (job == null) Keys.parseProgressKey(entry.key) else null
        val slot = Keys.parseLogSlot(entry.key)
        when {
            job != null -> return putJob(job, entry)
            progressKey != null -> putProgress(progressKey, entry)
            slot != null -> putLogEntry(slot, entry)
            entry.key == Keys.LEADER -> return putLeader(entry)
            entry.key == Keys.TERM -> term = Versioned(TermRecord.parse(entry.data).term, entry.version)
            entry.key == Keys.REVOKED_RENEWALS -> putRevokedRenewals(entry)
            entry.key == Keys.BOOTING_MACHINES -> bootingMachines = entry.data
            Keys.isFollowerRenewalsKey(entry.key) -> {
                return RecordEvent.LeasesRenewedByFollower(MachineSetRecord.parse(entry.data).machineNames)
            }
        }
        return null
    }

    private fun Entry.isNewerThan(held: Versioned<*>?): Boolean = held == null || version.value > held.version.value

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
        key: ProgressKey,
        entry: Entry,
    ) {
        val blocksOfJob = blocks.getOrPut(key.job) { HashMap() }
        if (!entry.isNewerThan(blocksOfJob[key.block])) return
        blocksOfJob[key.block] = Versioned(ProgressRecord.parse(entry.data), entry.version)
    }

    private fun putLogEntry(
        slot: Int,
        entry: Entry,
    ) {
        val replaced = logEntries[slot]
        if (!entry.isNewerThan(replaced)) return
        val record = LogRecord.parse(entry.data)
        replaced
            ?.value
            ?.rows
            ?.keys
            ?.forEach { removeLogRow(it, slot) }
        logEntries[slot] = Versioned(record, entry.version)
        for ((job, row) in record.rows) logRows.getOrPut(job) { HashMap() }[slot] = row
    }

    private fun removeLogRow(
        job: JobId,
        slot: Int,
    ) {
        val rowsBySlot = logRows[job] ?: return
        rowsBySlot.remove(slot)
        if (rowsBySlot.isEmpty()) logRows.remove(job)
    }

    private fun putLeader(entry: Entry): RecordEvent? {
        if (!entry.isNewerThan(leader)) return null
        leader = Versioned(LeaderRecord.parse(entry.data), entry.version)
        return RecordEvent.LeaderChanged(leader)
    }

    private fun putRevokedRenewals(entry: Entry) {
        if (!entry.isNewerThan(revokedRenewals)) return
        revokedRenewals = Versioned(MachineSetRecord.parse(entry.data), entry.version)
    }

    private fun remove(
        key: String,
        version: Version,
    ): RecordEvent? {
        malformed.remove(key)
        val job = Keys.parseJobId(key)
        val progressKey = if (job == null) Keys.parseProgressKey(key) else null
        return when {
            job != null -> removeJob(job, version)
            progressKey != null -> {
                removeProgress(progressKey, version)
                null
            }
            key == Keys.LEADER -> removeLeader(version)
            else -> null
        }
    }

    private fun Versioned<*>.isOlderThan(removal: Version): Boolean = version.value < removal.value

    private fun removeJob(
        id: JobId,
        removal: Version,
    ): RecordEvent? {
        val held = jobs[id] ?: return null
        if (!held.isOlderThan(removal)) return null
        jobs.remove(id)
        return RecordEvent.JobRemoved(id)
    }

    private fun removeProgress(
        key: ProgressKey,
        removal: Version,
    ) {
        val blocksOfJob = blocks[key.job] ?: return
        if (blocksOfJob[key.block]?.isOlderThan(removal) == true) blocksOfJob.remove(key.block)
        if (blocksOfJob.isEmpty()) blocks.remove(key.job)
    }

    private fun removeLeader(removal: Version): RecordEvent? {
        val held = leader ?: return null
        if (!held.isOlderThan(removal)) return null
        leader = null
        return RecordEvent.LeaderChanged(null)
    }

    private companion object {
        /** For keys that a complete read does not contain: they were removed, whatever version is held. */
        val NEWER_THAN_ANY = Version(Long.MAX_VALUE)
    }
}
