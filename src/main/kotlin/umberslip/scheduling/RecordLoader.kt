package umberslip.scheduling

import org.slf4j.LoggerFactory
import umberslip.core.JobId
import umberslip.core.MachineName
import umberslip.records.Keys
import umberslip.records.LogRecord
import umberslip.records.LoggedExit
import umberslip.records.Placement
import umberslip.records.ProgressRecord
import umberslip.records.RecordView
import umberslip.records.Versioned
import kotlin.time.Duration

/**
 * Loads what former leaders recorded: the progress of jobs, then the write-ahead log on top of it, and the machines
 * whose lease renewal is revoked. The jobs themselves are loaded before. Used once in each term.
 */
internal class RecordLoader(
    private val jobs: Map<JobId, RunningJob>,
    private val machines: MutableMap<MachineName, Machine>,
    private val assignments: AssignmentLifecycle,
    private val writeAheadLog: WriteAheadLog,
    private val now: Duration,
    /** The time by which every lease that a former leader can have renewed has expired. */
    private val formerLeaseExpiry: Duration,
) {
    private val log = LoggerFactory.getLogger("umberslip.scheduling")

    /** Loads everything but the jobs. */
    fun load(records: RecordView) {
        markUnreadable(records.unreadable)
        loadProgress(records)
        for ((number, record) in records.log().entries.sortedBy { it.value.value.seq }) {
            loadLogEntry(number, record, records)
        }
        records.revokedRenewals?.let {
            writeAheadLog.loadRevokedRenewals(it, machines.keys)
            for (machineName in it.value.machineNames) machines[machineName]?.renewalRevokedAt = now
        }
    }

    /** Marks malformed records. Their contents are unknown, so they are neither used nor overwritten. */
    private fun markUnreadable(unreadable: Set<String>) {
        for (key in unreadable) {
            val job = Keys.parseJobId(key) ?: Keys.parseProgressKey(key)?.job
            jobs[job]?.isUnreadable = true
            writeAheadLog.markUnreadable(key)
        }
    }

    private fun loadProgress(records: RecordView) {
        for ((id, blocks) in records.progressRecords()) {
            val job = jobs[id]
            if (job != null) {
                for ((number, record) in blocks) loadBlock(job, number, record)
            } else if (Keys.job(id) !in records.unreadable) {
                blocks.keys.forEach { writeAheadLog.deleteKey(Keys.progress(id, it)) }
            }
        }
    }

    private fun loadBlock(
        job: RunningJob,
        number: Int,
        record: Versioned<ProgressRecord>,
    ) {
        if (!job.matchesBlock(number, record.value)) {
            val key = Keys.progress(job.spec.id, number)
            log.error("malformed record neither used nor overwritten: key={} reason=tasks outside its block", key)
            job.isUnreadable = true
            return
        }
        job.load(number, record)
        for (placement in record.value.placed) restoreAssignment(job, placement)
    }

    private fun loadLogEntry(
        number: Int,
        entry: Versioned<LogRecord>,
        records: RecordView,
    ) {
        val affectedBlocks = LinkedHashSet<ProgressBlock>()
        for ((id, row) in entry.value.rows) {
            val job = jobs[id] ?: continue
            val stored = records.progressRecords()[id]

            // A progress record that was written after this entry contains it.
            fun containsEntry(block: ProgressBlock) = (stored?.get(block.number)?.value?.seq ?: 0L) >= entry.value.seq
            val starts = row.starts.filter { it.index < job.spec.tasks }
            val exits = row.exits.filter { it.index < job.spec.tasks }
            for (start in starts) {
                val block = job.block(start.index)
                if (containsEntry(block)) continue
                applyStart(job, block, start)
                affectedBlocks += block
            }
            for (exit in exits) {
                val block = job.block(exit.index)
                if (containsEntry(block)) continue
                applyExit(job, exit)
                affectedBlocks += block
            }
        }
        writeAheadLog.loadEntry(number, entry.version, affectedBlocks, now)
    }

    private fun applyStart(
        job: RunningJob,
        block: ProgressBlock,
        start: Placement,
    ) {
        // Later entries take precedence, since a task is placed again only once it is certainly off its former machine.
        job.assigned[start.index]?.let(assignments::detach)
        if (!job.isDone(start.index)) restoreAssignment(job, start)
        block.lastAttempt = maxOf(block.lastAttempt, start.attempt)
        block.startLogged(start)
    }

    private fun applyExit(
        job: RunningJob,
        exit: LoggedExit,
    ) {
        if (exit.done) job.setDone(exit.index)
        val assignment = job.assigned[exit.index] ?: return
        if (exit.done || assignment.attempt == exit.attempt) assignments.detach(assignment)
    }

    private fun restoreAssignment(
        job: RunningJob,
        placement: Placement,
    ) {
        val machine = machines.getOrPut(placement.machineName) { newUnreportedMachine(placement.machineName) }
        val assignment = Assignment(job, placement.index, placement.attempt, placement.machineName, machine.zone)
        assignment.recorded = true
        assignments.attach(assignment, machine)
    }

    /** Creates a machine that only the records name. Its type and zone become known with its first heartbeat. */
    private fun newUnreportedMachine(name: MachineName): Machine {
        val machine = Machine(name, type = "", zone = "", spot = false)
        machine.leaseExpiry = formerLeaseExpiry
        machine.loadedAt = now
        return machine
    }
}
