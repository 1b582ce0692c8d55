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
 * All that the leader of one term knows: jobs, machines and what is on them. It owns these collections and hands them
 * to the parts that decide. Nothing here waits or does input or output: time is an input of every call, and what
 * leaves the process does so through [writeAheadLog] and [commands]. Used on the leader actor's thread only.
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

    /** How long a worker may rely on a renewal of its lease, by the slowest clock, with a margin. */
    private val renewedLease = timings.withClockDrift(timings.lease) + timings.margin

    /** Accepted jobs that have not ended, in the order in which they became known. */
    val jobs = LinkedHashMap<JobId, RunningJob>()
    val dependencyGraph = DependencyGraph(jobs)

    /** Machines that have sent a heartbeat, or that the records name, until they are terminated. */
    val machines = LinkedHashMap<MachineName, Machine>()
    private val terminatedMachines = HashSet<MachineName>()
    private val instanceTypes = HashMap<String, InstanceType>()

    /** Images with which a task was placed on some machine, so that it has them or soon will. */
    private val cachedImages = HashSet<String>()

    /** By name, in the order of the settings. */
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

    /** Later than any start that only a malformed entry of the log records can still be on a machine. */
    private var noDispatchBefore: Duration = Duration.ZERO

    // ---- records of former leaders and of other controllers ----

    /**
     * Takes the records as they stand. A machine that the records name holds its tasks until its heartbeat carries this
     * term, or until [formerLeaseExpiry]: by then every lease that a former leader can have renewed has expired.
     */
    fun load(
        records: RecordView,
        now: Duration,
        formerLeaseExpiry: Duration,
    ) {
        for ((id, job) in records.jobs()) jobChanged(id, job, now)
        RecordLoader(jobs, machines, assignments, writeAheadLog, now, formerLeaseExpiry).load(records)
        for (job in jobs.values) assignments.refresh(job)
        if (records.unreadable.any { Keys.asLog(it) != null }) noDispatchBefore = formerLeaseExpiry
        val recordedTasks = machines.mapValues { it.value.assignments.size }.filterValues { it > 0 }
        reconciliationObserver?.recordsLoaded(recordedTasks, now)
    }

    /** Takes a job record that is new or has changed; one that is not newer than the known one has no effect. */
    fun jobChanged(
        id: JobId,
        record: Versioned<JobRecord>,
        now: Duration,
    ) {
        val known = jobs[id]
        if (known != null) {
            if (record.version.value > known.record.version.value) updateJob(known, record)
            return
        }
        val team = record.value.spec.team
        if (team !in teams) {
            if (jobsOfUnknownTeams.add(id)) log.error("job of a team without settings: job={} team={}", id.value, team)
            return
        }
        val job = newJob(record, now)
        jobs[id] = job
        dependencyGraph.added(job).forEach(assignments::refresh)
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

    /** The job's record is not in the store any more. */
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
        dependencyGraph.removed(job)
    }

    /** Takes the recorded [outcome] of a job that others depend on. */
    fun dependencyEnded(
        id: JobId,
        outcome: JobOutcome,
        now: Duration,
    ) {
        for (job in dependencyGraph.ended(id, outcome)) {
            if (!job.isBlocked) {
                job.becomeRunnable(jobObjectives.objectiveDeadlines(job.spec, job.submittedAt, now), now)
            }
            assignments.refresh(job)
        }
    }

    /** Passes priorities and deadlines on to the jobs that others depend on, where that has changed. */
    fun inheritPriorities(now: Duration) {
        for ((job, inherited) in dependencyGraph.inheritPriorities()) {
            teams[job.spec.team]?.reinsert(job) { job.inherit(inherited.priority, inherited.deadlines, now) }
        }
    }

    /** A follower has renewed these machines' leases on behalf of the leader. */
    fun renewedByFollower(
        machineNames: Set<MachineName>,
        now: Duration,
    ) {
        for (machineName in machineNames) machines[machineName]?.renewedByFollowerAt = now
    }

    /** All instance types that the cloud offers now. */
    fun setInstanceTypes(all: List<InstanceType>) {
        instanceTypes.clear()
        all.associateByTo(instanceTypes) { it.label }
        for (machine in machines.values) machine.instanceType = instanceTypes[machine.type]
    }

    // ---- heartbeats and commands ----

    /** Processes a worker's heartbeat as far as its disposition, which is returned, allows. */
    fun heartbeat(
        heartbeat: Heartbeat,
        now: Duration,
    ): HeartbeatDisposition {
        val known = machines[heartbeat.machineName]
        val disposition = dispositionOf(heartbeat, known)
        when (disposition) {
            HeartbeatDisposition.OUT_OF_DATE, HeartbeatDisposition.SUPERSEDED -> Unit
            HeartbeatDisposition.TOKEN_BEHIND -> if (known != null) acceptDescription(known, heartbeat)
            HeartbeatDisposition.ACCEPTED -> accept(known ?: addMachine(heartbeat), heartbeat, now)
        }
        return disposition
    }

    private fun dispositionOf(
        heartbeat: Heartbeat,
        known: Machine?,
    ): HeartbeatDisposition {
        if (heartbeat.machineName in terminatedMachines) return HeartbeatDisposition.OUT_OF_DATE
        if (heartbeat.fencingToken > term) return HeartbeatDisposition.SUPERSEDED
        val last = known?.heartbeatVersion
        if (last != null && heartbeat.heartbeatVersion <= last) return HeartbeatDisposition.OUT_OF_DATE
        if (heartbeat.fencingToken < term) return HeartbeatDisposition.TOKEN_BEHIND
        return HeartbeatDisposition.ACCEPTED
    }

    /** The worker has turned to another leader meanwhile: what is on the machine is to be shown anew. */
    private fun acceptDescription(
        machine: Machine,
        heartbeat: Heartbeat,
    ) {
        machineHeartbeats.describe(machine, heartbeat)
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
        val last = machine.heartbeatVersion
        // The worker stays with a controller only if its response arrived, and knows this term only from a response:
        // so either shows that it receives responses. Heartbeats alone do not: the responses to them may be lost, and
        // copies of old heartbeats may arrive late.
        machine.receivesResponses = !machine.isReconciled || last == null || heartbeat.heartbeatVersion.follows(last)
        val isNewEpoch = machine.isReconciled && heartbeat.heartbeatVersion.epoch != last?.epoch
        machineHeartbeats.describe(machine, heartbeat)
        machineHeartbeats.contact(machine, now)
        machineHeartbeats.interruptionNotice(machine, heartbeat.interruptionNoticeSeconds, now)
        if (!machine.isReconciled) {
            reconciliationObserver?.machineReconciled(machine, heartbeat.tasks, jobs, now)
            machine.isReconciled = true
        }
        heartbeatReconciliation.reconcile(machine, heartbeat, isNewEpoch, now)
    }

    /** A response that renews the machine's lease is sent: the lease may last until [renewedLease] from now. */
    fun leaseRenewed(
        name: MachineName,
        now: Duration,
    ) {
        machines[name]?.let { it.leaseExpiry = maxOf(it.leaseExpiry, now + renewedLease) }
    }

    /** The commands that answer the newest heartbeat of a machine; starts are among them only if [mayStart]. */
    fun commands(
        machine: Machine,
        mayStart: Boolean,
    ): List<WorkerCommand> = workerCommands.of(machine, mayStart)

    // ---- placement and loss of machines ----

    /** Places tasks on [machine]; false if [isOutOfTime] ended the round before all was placed that may be. */
    fun dispatch(
        machine: Machine,
        now: Duration,
        isOutOfTime: () -> Boolean,
    ): Boolean = now < noDispatchBefore || dispatchRounds.run(machine, now, isOutOfTime)

    /** Whether tasks were placed on [machine] whose starts are not stored yet. */
    fun hasUnrecorded(machine: Machine): Boolean = machine.assignments.values.any { !it.recorded && !it.reserved }

    /** Nothing is on the machine any more: its tasks wait again. The machine may come back with its next heartbeat. */
    fun forget(
        machine: Machine,
        now: Duration,
    ) {
        for (assignment in machine.assignments.values.toList()) {
            if (assignment.reserved) assignments.detach(assignment) else assignments.release(assignment, now)
        }
        reconciliationObserver?.machineLost(machine.name, now)
        machine.reported = emptyMap()
        machine.awaitingClear.clear()
        machine.isReconciled = false
    }

    /** The cloud has confirmed the termination of these machines: nothing is on them, and they never come back. */
    fun terminated(
        names: List<MachineName>,
        now: Duration,
    ) {
        for (name in names) {
            terminatedMachines += name
            val machine = machines[name] ?: continue
            forget(machine, now)
            machines.remove(name)
        }
    }

    // ---- outcomes of writes ----

    /** The store has applied [batch]; returns the machines of which starts are now recorded. */
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

    /** No follower renews the lease from now on, provided that the record names the machine without a gap. */
    private fun renewalRevoked(
        machine: Machine,
        now: Duration,
    ) {
        val isPending = machine.name in writeAheadLog.pendingRevocations
        if (isPending && machine.renewalRevokedAt == null) machine.renewalRevokedAt = now
    }

    /**
     * Applies what the store shows under a key, after a failed precondition or a write with an indeterminate
     * outcome: its [version] and [data], both null where the key does not exist.
     */
    fun resolve(
        key: String,
        version: Version?,
        data: Any?,
    ) = recordResolution.resolve(key, version, data)

    private companion object {
        /** Sequence numbers of the write-ahead log rise across terms: each term has so many bits for its own. */
        const val SEQUENCE_BITS_PER_TERM = 32
    }
}
