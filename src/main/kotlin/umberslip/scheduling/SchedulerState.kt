package umberslip.scheduling

import org.slf4j.LoggerFactory
import umberslip.agents.Heartbeat
import umberslip.agents.WorkerCommand
import umberslip.cloud.InstanceType
import umberslip.core.JobId
import umberslip.core.MachineName
import umberslip.core.Term
import umberslip.records.JobOutcome
import umberslip.records.JobRecord
import umberslip.records.Keys
import umberslip.records.ProgressRecord
import umberslip.records.RecordView
import umberslip.records.Versioned
import umberslip.settings.Settings
import umberslip.settings.Timings
import umberslip.store.Version
import java.time.Instant
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * The scheduling state of the leader in one term: the jobs, the machines and the tasks assigned to them.
 *
 * It owns these collections and passes them to the classes that make the decisions. No call blocks or does input or
 * output. Time is an input; records to be written and commands for workers are obtained from [writeAheadLog] and
 * [commands]. Used on the leader actor's thread only.
 */
class SchedulerState(
    private val settings: Settings,
    timings: Timings,
    val term: Term,
    leaderVersion: Version,
    private val wallClock: () -> Instant,
    logSlots: Int = WriteAheadLog.slotCount(settings.storeLimits.valueBytes),
    private val reconciliationObserver: ReconciliationObserver? = null,
) {
    private val log = LoggerFactory.getLogger("umberslip.scheduling")
    private val tasksPerBlock = ProgressRecord.tasksPerBlock(settings.storeLimits.blockBytes)

    /** The longest time for which a worker may rely on a renewed lease, given the slowest clock and a margin. */
    private val maxLeaseDuration = timings.withClockDrift(timings.lease) + timings.margin

    /** Accepted jobs that have not ended, in the order in which this leader learned of them. */
    val jobs = LinkedHashMap<JobId, RunningJob>()
    val dependencyGraph = DependencyGraph(jobs)

    /** Machines that have sent a heartbeat or are named by the records, and whose termination is not confirmed. */
    val machines = LinkedHashMap<MachineName, Machine>()
    private val terminatedMachines = HashSet<MachineName>()
    private val instanceTypes = HashMap<String, InstanceType>()

    /** The images of all tasks placed so far. Each image is on some machine or will soon be fetched there. */
    private val cachedImages = HashSet<String>()

    /** The dispatchers of the teams by the team's name, in the order of the settings. */
    val teams: Map<String, Dispatcher> = settings.teams.associate { it.name to Dispatcher(it, cachedImages) }
    private val jobsOfUnknownTeams = HashSet<JobId>()
    private val jobObjectives = JobObjectives(settings.objectives)

    val writeAheadLog =
        WriteAheadLog(settings.storeLimits, leaderVersion, term.value shl SEQUENCE_BITS_PER_TERM, logSlots)
    internal val failures = FailureTracker(jobs)
    private val starvationGuard = StarvationGuard()
    private val assignments =
        AssignmentLifecycle(jobs, machines, teams, cachedImages, starvationGuard, writeAheadLog)
    internal val gangAssembly = GangAssembly(teams, assignments, settings.workers.assemblyTimeout)
    private val dispatchRounds = DispatchRounds(teams, starvationGuard, assignments, gangAssembly)
    private val machineHeartbeats = MachineHeartbeats(instanceTypes, writeAheadLog.pendingRevocations)
    private val heartbeatReconciliation = HeartbeatReconciliation(assignments, failures)
    private val workerCommands = WorkerCommands(jobs)
    private val recordResolution = RecordResolution(jobs, assignments, writeAheadLog, ::updateJob, ::remove)

    /**
     * Nothing is placed before this time. The starts in a malformed entry of the log are unknown, and their tasks may
     * be on machines until all leases from former leaders have expired.
     */
    private var noDispatchBefore: Duration = Duration.ZERO

    // ---- records of former leaders and of other controllers ----

    /**
     * Loads the current records. Recorded tasks stay assigned to their machine at least until one of its heartbeats
     * carries this term, or until [formerLeaseExpiry], by which time every lease that a former leader may have renewed
     * has expired.
     */
    fun load(
        records: RecordView,
        now: Duration,
        formerLeaseExpiry: Duration,
    ) {
        for ((id, job) in records.jobs()) jobChanged(id, job, now)
        RecordLoader(jobs, machines, assignments, writeAheadLog, now, formerLeaseExpiry).load(records)
        for (job in jobs.values) assignments.refresh(job)
        if (records.unreadable.any { Keys.parseLogSlot(it) != null }) noDispatchBefore = formerLeaseExpiry
        val recordedTasks = machines.mapValues { it.value.assignments.size }.filterValues { it > 0 }
        reconciliationObserver?.recordsLoaded(recordedTasks, now)
    }

    /** Applies a job record that is new or has changed. A record that is not newer than the held one has no effect. */
    fun jobChanged(
        id: JobId,
        record: Versioned<JobRecord>,
        now: Duration,
    ) {
        val existing = jobs[id]
        if (existing != null) {
            if (record.version.value > existing.record.version.value) updateJob(existing, record)
            return
        }
        val team = record.value.spec.team
        if (team !in teams) {
            if (jobsOfUnknownTeams.add(id)) log.error("job of an unknown team ignored: job={} team={}", id.value, team)
            return
        }
        val job = newJob(record, now)
        jobs[id] = job
        dependencyGraph.add(job).forEach(assignments::refresh)
        assignments.refresh(job)
    }

    private fun updateJob(
        job: RunningJob,
        record: Versioned<JobRecord>,
    ) {
        job.record = record
        if (job.cancelled) {
            assignments.withdrawUnrecorded(job)
            dependencyGraph.cancelDependents(job).forEach(assignments::refresh)
        }
        assignments.refresh(job)
    }

    private fun newJob(
        record: Versioned<JobRecord>,
        now: Duration,
    ): RunningJob {
        val spec = record.value.spec
        val age = (wallClock().toEpochMilli() - record.value.submitted.toEpochMilli()).milliseconds
        val submittedAt = now - age
        val job =
            RunningJob(
                spec,
                record,
                tasksPerBlock,
                submittedAt,
                jobObjectives.objectiveDeadlines(spec, submittedAt, submittedAt),
                jobObjectives.deadlines(spec, submittedAt),
            )
        job.assemblyTimeout = settings.workers.assemblyTimeout
        job.lastPlaced = now
        job.waitingSince = now
        return job
    }

    /** Removes a job whose record is no longer in the store. */
    fun jobRemoved(id: JobId) {
        jobs[id]?.let { remove(it) }
    }

    private fun remove(job: RunningJob) {
        if (jobs.remove(job.spec.id) == null) return
        job.assigned.values
            .toList()
            .forEach(assignments::detach)
        teams[job.spec.team]?.remove(job)
        starvationGuard.remove(job)
        writeAheadLog.remove(job)
        dependencyGraph.remove(job)
    }

    /** Applies the recorded [outcome] of a job that other jobs depend on. */
    fun dependencyEnded(
        id: JobId,
        outcome: JobOutcome,
        now: Duration,
    ) {
        for (job in dependencyGraph.recordOutcome(id, outcome)) {
            if (!job.isBlocked) {
                job.becomeRunnable(jobObjectives.objectiveDeadlines(job.spec, job.submittedAt, now), now)
            }
            assignments.refresh(job)
        }
    }

    /** Updates the priorities and deadlines that jobs inherit from dependent jobs, where these have changed. */
    fun inheritPriorities(now: Duration) {
        for ((job, inherited) in dependencyGraph.inheritPriorities()) {
            teams[job.spec.team]?.reinsert(job) { job.inherit(inherited.priority, inherited.deadlines, now) }
        }
    }

    /** Notes that a follower has renewed the leases of these machines on behalf of the leader. */
    fun renewedByFollower(
        machineNames: Set<MachineName>,
        now: Duration,
    ) {
        for (machineName in machineNames) machines[machineName]?.renewedByFollowerAt = now
    }

    /** Replaces the instance types by [all], which the cloud offers now. */
    fun setInstanceTypes(all: List<InstanceType>) {
        instanceTypes.clear()
        all.associateByTo(instanceTypes) { it.label }
        for (machine in machines.values) machine.instanceType = instanceTypes[machine.type]
    }

    // ---- heartbeats and commands ----

    /** Processes a worker's heartbeat as its disposition requires, and returns the disposition. */
    fun heartbeat(
        heartbeat: Heartbeat,
        now: Duration,
    ): HeartbeatDisposition {
        val machine = machines[heartbeat.machineName]
        val disposition = dispositionOf(heartbeat, machine)
        when (disposition) {
            HeartbeatDisposition.OUT_OF_DATE, HeartbeatDisposition.SUPERSEDED -> Unit
            HeartbeatDisposition.TOKEN_BEHIND -> if (machine != null) acceptDescription(machine, heartbeat)
            HeartbeatDisposition.ACCEPTED -> accept(machine ?: addMachine(heartbeat), heartbeat, now)
        }
        return disposition
    }

    private fun dispositionOf(
        heartbeat: Heartbeat,
        machine: Machine?,
    ): HeartbeatDisposition {
        if (heartbeat.machineName in terminatedMachines) return HeartbeatDisposition.OUT_OF_DATE
        if (heartbeat.fencingToken > term) return HeartbeatDisposition.SUPERSEDED
        val newest = machine?.heartbeatVersion
        if (newest != null && heartbeat.heartbeatVersion <= newest) return HeartbeatDisposition.OUT_OF_DATE
        if (heartbeat.fencingToken < term) return HeartbeatDisposition.TOKEN_BEHIND
        return HeartbeatDisposition.ACCEPTED
    }

    /**
     * Updates the description of the machine from a heartbeat with an older fencing token. The worker has turned to
     * another leader meanwhile, so a heartbeat with this term has to show again which tasks are on the machine.
     */
    private fun acceptDescription(
        machine: Machine,
        heartbeat: Heartbeat,
    ) {
        machineHeartbeats.applyDescription(machine, heartbeat)
        machine.isReconciled = false
    }

    private fun addMachine(heartbeat: Heartbeat): Machine {
        val machine = Machine(heartbeat.machineName, heartbeat.type, heartbeat.zone, heartbeat.spot)
        machines[heartbeat.machineName] = machine
        return machine
    }

    private fun accept(
        machine: Machine,
        heartbeat: Heartbeat,
        now: Duration,
    ) {
        val previous = machine.heartbeatVersion
        // A worker stays with a controller only if it received the response, and learns this term only from a response.
        // So a first heartbeat with this term, or one that directly follows the previous one, shows that the worker
        // receives responses. Any other heartbeat does not: the response to the previous one may have been lost, and
        // copies of old heartbeats may arrive late.
        machine.receivesResponses =
            !machine.isReconciled || previous == null || heartbeat.heartbeatVersion.follows(previous)
        val isNewEpoch = machine.isReconciled && heartbeat.heartbeatVersion.epoch != previous?.epoch
        machineHeartbeats.applyDescription(machine, heartbeat)
        machineHeartbeats.recordContact(machine, now)
        machineHeartbeats.applyInterruptionNotice(machine, heartbeat.interruptionNoticeSeconds, now)
        if (!machine.isReconciled) {
            reconciliationObserver?.machineReconciled(machine, heartbeat.tasks, jobs, now)
            machine.isReconciled = true
        }
        heartbeatReconciliation.reconcile(machine, heartbeat, isNewEpoch, now)
    }

    /** Extends the lease expiry of the machine, since a response that renews the lease is being sent. */
    fun leaseRenewed(
        name: MachineName,
        now: Duration,
    ) {
        machines[name]?.let { it.leaseExpiry = maxOf(it.leaseExpiry, now + maxLeaseDuration) }
    }

    /** Returns the commands that answer the newest heartbeat of [machine]. Starts are included only if [mayStart]. */
    fun commands(
        machine: Machine,
        mayStart: Boolean,
    ): List<WorkerCommand> = workerCommands.commandsFor(machine, mayStart)

    // ---- placement and loss of machines ----

    /** Places tasks on [machine]. Returns false if [isOutOfTime] ended the round while more tasks might be placed. */
    fun dispatch(
        machine: Machine,
        now: Duration,
        isOutOfTime: () -> Boolean,
    ): Boolean = now < noDispatchBefore || dispatchRounds.run(machine, now, isOutOfTime)

    /** Whether the start of a task on [machine] is not stored yet. Tasks that only reserve resources do not count. */
    fun hasUnrecordedStarts(machine: Machine): Boolean = machine.assignments.values.any { !it.recorded && !it.reserved }

    /**
     * Releases all tasks of a machine on which nothing runs any more, so that they wait to be placed again. The machine
     * itself is kept and can be reconciled again by its next heartbeat.
     */
    fun releaseTasks(
        machine: Machine,
        now: Duration,
    ) {
        for (assignment in machine.assignments.values.toList()) {
            if (assignment.reserved) assignments.detach(assignment) else assignments.release(assignment, now)
        }
        reconciliationObserver?.machineLost(machine.name, now)
        machine.reported = emptyMap()
        machine.exitsAwaitingClear.clear()
        machine.isReconciled = false
    }

    /**
     * Removes machines whose termination the cloud has confirmed, and releases their tasks. Late heartbeats of these
     * machines are out of date.
     */
    fun machinesTerminated(
        names: List<MachineName>,
        now: Duration,
    ) {
        for (name in names) {
            terminatedMachines += name
            val machine = machines[name] ?: continue
            releaseTasks(machine, now)
            machines.remove(name)
        }
    }

    // ---- outcomes of writes ----

    /** Updates the state after the store has applied [batch]. Returns the machines that have newly recorded starts. */
    fun applied(
        batch: WriteBatch,
        version: Version,
        now: Duration,
    ): Set<MachineName> {
        val machinesWithStarts = writeAheadLog.applied(batch, version)
        batch.revokedRenewals?.forEach { machines[it]?.let { machine -> renewalRevoked(machine, now) } }
        for ((job, outcome) in batch.finishedJobs) {
            remove(job)
            dependencyEnded(job.spec.id, outcome, now)
        }
        return machinesWithStarts
    }

    /**
     * Notes that no follower renews the machine's lease from now on, since the stored record names the machine. This is
     * certain only while the record keeps naming it, so a revocation that is no longer pending has no effect.
     */
    private fun renewalRevoked(
        machine: Machine,
        now: Duration,
    ) {
        val isPending = machine.name in writeAheadLog.pendingRevocations
        if (isPending && machine.renewalRevokedAt == null) machine.renewalRevokedAt = now
    }

    /**
     * Applies the stored state of [key] after a failed precondition or a write with an indeterminate outcome. [version]
     * and [data] are null if the key does not exist.
     */
    fun resolve(
        key: String,
        version: Version?,
        data: Any?,
    ) = recordResolution.resolve(key, version, data)

    private companion object {
        /**
         * The bits of a sequence number of the write-ahead log that count within a term. The bits above them hold the
         * term, so sequence numbers rise across terms.
         */
        const val SEQUENCE_BITS_PER_TERM = 32
    }
}
