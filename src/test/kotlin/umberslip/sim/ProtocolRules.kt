package umberslip.sim

import umberslip.core.JobSpec
import umberslip.core.TaskId
import umberslip.http.Fields
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Checks the protocol's rules against the actual state of the machines and the answers that users got. It does not use
 * the controllers' own view of the cluster.
 */
class ProtocolRules(
    private val simulation: Simulation,
    private val store: InMemoryKeyValueStore,
) {
    private val cancelWithin = simulation.settings[0].workers.cancel
    private val cpuLimits = simulation.settings[0].teams.associate { it.name to it.cpusMax }

    /** The machines that run each task, by job and task. */
    private val running = HashMap<String, HashMap<TaskId, HashSet<SimulatedMachine>>>()

    /** The CPUs that a team's running tasks take, by team. */
    private val usedCpus = HashMap<String, Double>()
    private val specs = HashMap<String, JobSpec>()
    private val completedTasks = HashMap<String, HashSet<Int>>()
    private val lastStarted = HashMap<String, Duration>()

    /** Since when a job has been waiting although a machine has free resources for it, by job. */
    private val waitingSince = HashMap<String, Duration>()
    private val accepted = HashSet<String>()
    private val cancellationRequested = HashSet<String>()

    /** When users were first answered that a job is cancelled, by job. */
    private val answeredCancelled = HashMap<String, Duration>()

    /** When users were first answered that a job is done, by job. */
    private val answeredDone = HashMap<String, Duration>()

    /** The number of attempts of tasks that began to run. */
    var starts = 0
        private set
    val acceptedJobs: Int get() = accepted.size
    val finishedJobs: Int get() = answeredDone.size
    val cancelledJobs: Int get() = answeredCancelled.size

    // ---- jobs ----

    fun register(spec: JobSpec) {
        specs[spec.id.value] = spec
    }

    fun specOf(id: String): JobSpec = specs.getValue(id)

    fun accepted(id: String) {
        accepted += id
    }

    fun isAccepted(id: String): Boolean = id in accepted

    /** Notes that a cancellation is requested. Returns false if one was requested before. */
    fun cancellationRequested(id: String): Boolean = cancellationRequested.add(id)

    /** Returns the accepted jobs that have not ended and for which no cancellation was requested. */
    fun openJobs(): List<String> {
        val unfinished = accepted.filter { it !in answeredDone && it !in answeredCancelled }
        return unfinished.filter { it !in cancellationRequested }
    }

    /** Returns the accepted jobs that have running tasks and for which no cancellation was requested. */
    fun runningJobs(): List<String> =
        running
            .filterValues { tasks -> tasks.values.any { it.isNotEmpty() } }
            .keys
            .filter { it in accepted && it !in cancellationRequested }

    // ---- tasks ----

    fun isCompleted(id: TaskId): Boolean = completedTasks[id.job.value]?.contains(id.index) == true

    /** Notes that a task completed. Returns true if all tasks of its job have completed. */
    fun completed(task: SimulatedTask): Boolean {
        val indices = completedTasks.getOrPut(task.spec.id.value) { HashSet() }
        indices.add(task.id.index)
        return indices.size == task.spec.tasks
    }

    /**
     * Notes that a worker received a start command. Once the cancellation of the job was answered, only start commands
     * that were already under way may still arrive.
     */
    fun startReceived(id: TaskId) {
        val cancelledAt = answeredCancelled[id.job.value] ?: return
        val since = simulation.now() - cancelledAt
        if (since > MAX_START_DELAY) simulation.violated("start of $id $since after its cancellation was answered")
    }

    fun started(
        machine: SimulatedMachine,
        task: SimulatedTask,
    ) {
        starts++
        val id = task.spec.id.value
        lastStarted[id] = simulation.now()
        val machinesByTask = running.getOrPut(id) { HashMap() }
        checkRunsOnce(machine, task, machinesByTask[task.id].orEmpty())
        machinesByTask.getOrPut(task.id) { HashSet() } += machine
        checkQuota(task.spec)
        checkPlacement(machine, task, machinesByTask)
        checkNotCancelled(task)
        checkDependencies(task)
    }

    /** Checks that no other machine runs the task. A machine, even a hung one, counts until its lease expires. */
    private fun checkRunsOnce(
        machine: SimulatedMachine,
        task: SimulatedTask,
        otherMachines: Collection<SimulatedMachine>,
    ) {
        for (other in otherMachines) {
            if (isLeaseValid(other)) simulation.violated("ran_twice: ${task.id} on ${other.name} and ${machine.name}")
        }
    }

    private fun checkQuota(spec: JobSpec) {
        val used = usedCpus.merge(spec.team, spec.cpus, Double::plus) ?: 0.0
        val limit = cpuLimits[spec.team] ?: return
        if (used > limit + EPSILON) simulation.violated("quota: ${spec.team} uses $used")
    }

    private fun checkPlacement(
        machine: SimulatedMachine,
        task: SimulatedTask,
        machinesByTask: Map<TaskId, Set<SimulatedMachine>>,
    ) {
        val spec = task.spec
        val offer = machine.offer
        if (spec.instanceTypes != null && offer.type !in spec.instanceTypes.orEmpty()) reportWrongPlace(task, machine)
        if (spec.zone != null && spec.zone != offer.zone) reportWrongPlace(task, machine)
        if (offer.spot && !spec.spot) reportWrongPlace(task, machine)
        if (!spec.oneZone && !spec.spread) return
        val zones = machinesByTask.values.flatMap { machines -> machines.map { it.offer.zone } }
        if (spec.oneZone && zones.toSet().size > 1) simulation.violated("wrong_place: ${spec.id.value} in $zones")
        if (spec.spread && zones.count { it == offer.zone } > spec.maxPerZone) {
            simulation.violated("wrong_place: ${spec.id.value} not spread")
        }
    }

    private fun reportWrongPlace(
        task: SimulatedTask,
        machine: SimulatedMachine,
    ) = simulation.violated("wrong_place: ${task.id} on ${machine.offer}")

    private fun checkNotCancelled(task: SimulatedTask) {
        val cancelledAt = answeredCancelled[task.spec.id.value] ?: return
        if (simulation.now() - cancelledAt > cancelWithin) simulation.violated("ran_cancelled: ${task.id} starts")
    }

    /**
     * Checks that every dependency has completed all tasks and has an outcome record that says done. Completed tasks
     * alone do not suffice: a job may not start while that record is still to be written.
     */
    private fun checkDependencies(task: SimulatedTask) {
        for (dependency in task.spec.dependencies) {
            val id = dependency.value
            val outcome = store.get("end/$id")?.let { Fields.of(it.data).text("status") }
            if (outcome != "done" || (completedTasks[id]?.size ?: 0) < specs.getValue(id).tasks) {
                simulation.violated("too_early: ${task.id} while $id is ${outcome ?: "not terminal"}")
            }
        }
    }

    /** Notes that a task exited or was killed. */
    fun stopped(
        machine: SimulatedMachine,
        task: SimulatedTask,
    ) {
        if (!task.isRunning) return
        running[task.spec.id.value]?.get(task.id)?.remove(machine)
        usedCpus.merge(task.spec.team, -task.spec.cpus, Double::plus)
    }

    /**
     * Checks that no task on the machine still runs after the time allowed for its cancellation. To be called
     * repeatedly.
     */
    fun checkCancelledTasks(machine: SimulatedMachine) {
        for (task in machine.tasks.values) {
            if (!task.isRunning) continue
            val cancelledAt = answeredCancelled[task.spec.id.value] ?: continue
            if (simulation.now() - cancelledAt > cancelWithin && isLeaseValid(machine)) {
                simulation.violated("ran_cancelled: ${task.id} on ${machine.name}")
            }
        }
    }

    private fun isLeaseValid(machine: SimulatedMachine): Boolean {
        val age = simulation.now() - machine.leaseRenewedAt
        return age <= simulation.workerLease
    }

    // ---- answers to users ----

    /**
     * Notes that a user was answered [status] to a request that was sent at [requestedAt]. The answer may be out of
     * date if the request was already under way when another answer reported the job as done or cancelled.
     */
    fun answered(
        id: String,
        status: String,
        requestedAt: Duration,
    ) {
        val isUnfinished = status == QUEUED || status == RUNNING
        val finalAt = maxOf(answeredDone[id] ?: Duration.ZERO, answeredCancelled[id] ?: Duration.ZERO)
        val isOutdated = finalAt >= requestedAt && isUnfinished
        if (id in answeredDone && status != DONE && !isOutdated) {
            simulation.violated("went_back: $id was done, now $status")
        }
        if (id in answeredCancelled && status != CANCELLED && !isOutdated) {
            simulation.violated("went_back: $id was cancelled, now $status")
        }
        if (status == DONE) answeredDone(id)
        if (isUnfinished) checkNotOrphaned(id, status, requestedAt)
        if (status == CANCELLED) answeredCancelled(id)
    }

    private fun answeredDone(id: String) {
        val isFirst = answeredDone.putIfAbsent(id, simulation.now()) == null
        if (isFirst && (completedTasks[id]?.size ?: 0) < specs.getValue(id).tasks) simulation.violated("not_done: $id")
    }

    /**
     * Checks that the job is not reported as queued or running to a request that was sent after users were answered
     * that the job, or one that it depends on, is cancelled.
     */
    private fun checkNotOrphaned(
        id: String,
        status: String,
        requestedAt: Duration,
    ) {
        val cancelled =
            withDependencies(id).firstOrNull { (answeredCancelled[it] ?: Duration.INFINITE) < requestedAt } ?: return
        simulation.violated("orphaned: $id is $status while $cancelled is cancelled")
    }

    private fun answeredCancelled(id: String) {
        if (withDependencies(id).none { it in cancellationRequested }) {
            simulation.violated("went_back: nobody cancelled $id")
        }
        answeredCancelled.putIfAbsent(id, simulation.now())
    }

    /** Returns the job and all jobs that it depends on, directly or through other jobs. */
    private fun withDependencies(id: String): Set<String> {
        val all = LinkedHashSet<String>()
        val open = ArrayDeque(listOf(id))
        while (open.isNotEmpty()) {
            val next = open.removeLast()
            if (all.add(next)) specs.getValue(next).dependencies.forEach { open += it.value }
        }
        return all
    }

    // ---- waiting ----

    /**
     * Checks that no job waits for longer than [MAX_WAIT] while a machine that it may use has free resources and its
     * team is below its limit. To be called repeatedly once all faults are over.
     */
    fun checkWaiting(machines: Collection<SimulatedMachine>) {
        for (id in accepted) {
            val spec = specs.getValue(id)
            val machine = if (isWaiting(spec)) firstWithFreeResources(spec, machines) else null
            if (machine == null) {
                waitingSince.remove(id)
                continue
            }
            val since = maxOf(waitingSince.getOrPut(id) { simulation.now() }, lastStarted[id] ?: Duration.ZERO)
            if (simulation.now() - since > MAX_WAIT) {
                simulation.violated(
                    "left waiting: $id since $since, but ${machine.name} (${machine.offer}) has free resources; $spec",
                )
            }
        }
    }

    /**
     * Returns the accepted jobs whose dependencies are done and of which some task neither runs nor has completed. Jobs
     * for which a cancellation was requested are left out.
     */
    fun waitingJobs(): List<JobSpec> = accepted.map(specs::getValue).filter(::isWaiting)

    private fun isWaiting(spec: JobSpec): Boolean {
        val id = spec.id.value
        val runningTasks = running[id].orEmpty().values.sumOf { it.size }
        return id !in answeredDone &&
            id !in cancellationRequested &&
            spec.dependencies.all { it.value in answeredDone } &&
            runningTasks + (completedTasks[id]?.size ?: 0) < spec.tasks
    }

    private fun firstWithFreeResources(
        spec: JobSpec,
        machines: Collection<SimulatedMachine>,
    ): SimulatedMachine? {
        val limit = cpuLimits[spec.team]
        if (limit != null && (usedCpus[spec.team] ?: 0.0) + spec.cpus > limit + EPSILON) return null
        val zones = running[spec.id.value].orEmpty().values.flatMap { machines -> machines.map { it.offer.zone } }
        return machines.firstOrNull { isUsable(it) && isAllowed(spec, it, zones) && hasFreeResources(spec, it) }
    }

    private fun isUsable(machine: SimulatedMachine): Boolean {
        val isUp = !machine.isTerminated && machine.upAt <= simulation.now()
        return isUp && !machine.isFaulty
    }

    private fun isAllowed(
        spec: JobSpec,
        machine: SimulatedMachine,
        zones: List<String>,
    ): Boolean {
        val offer = machine.offer
        return (spec.instanceTypes == null || offer.type in spec.instanceTypes.orEmpty()) &&
            (spec.zone == null || spec.zone == offer.zone) &&
            (spec.spot || !offer.spot) &&
            (!spec.oneZone || zones.all { it == offer.zone }) &&
            zones.count { it == offer.zone } < spec.maxPerZone
    }

    private fun hasFreeResources(
        spec: JobSpec,
        machine: SimulatedMachine,
    ): Boolean {
        val instanceType = simulation.size.instanceTypes.first { it.label == machine.offer.type }
        val present = machine.tasks.values.filter { !it.hasExited }
        return instanceType.cpus - present.sumOf { it.spec.cpus } >= spec.cpus &&
            instanceType.memoryGb - present.sumOf { it.spec.memoryGb } >= spec.memoryGb
    }

    /** Describes the jobs that have not ended, for the message of a failed run. */
    fun describeOpenJobs(): String =
        (accepted - answeredDone.keys - answeredCancelled.keys).joinToString("\n") { id ->
            "$id ${specs[id]}, completed tasks: ${completedTasks[id]?.size ?: 0}"
        }

    private companion object {
        const val QUEUED = "queued"
        const val RUNNING = "running"
        const val DONE = "done"
        const val CANCELLED = "aborted"
        const val EPSILON = 1e-6

        /**
         * How long a start command may still be under way after a cancellation was answered: the leader's lease, within
         * which starts are sent, and the time-out after which a worker drops a response.
         */
        val MAX_START_DELAY = 8.seconds
        val MAX_WAIT = 90.seconds
    }
}
