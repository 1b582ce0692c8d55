package umberslip.sim

import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import umberslip.cloud.Offer
import umberslip.core.JobSpec
import umberslip.core.MachineName
import umberslip.core.TaskId
import umberslip.daemon.Routes
import umberslip.http.Documents
import umberslip.http.Fields
import umberslip.http.Response
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * The machines and their workers, which follow the worker protocol: heartbeats, leases, commands and tasks. Task events
 * are reported to [rules].
 */
class SimulatedWorkers(
    private val simulation: Simulation,
    private val rules: ProtocolRules,
    private val controllers: () -> SimulatedControllers,
) {
    private val random = simulation.random
    private val members = simulation.members
    private val heartbeatMillis =
        simulation.settings[0]
            .workers.heartbeatInterval.inWholeMilliseconds
    private val machines = LinkedHashMap<String, SimulatedMachine>()

    /** The time until which a zone's workers cannot reach a controller, by member and zone. */
    private val cutUntil = HashMap<Pair<Int, String>, Duration>()

    /** The number of heartbeats that a controller refused because it had too many at once. */
    var heartbeatsDropped = 0
        private set

    /** Called when the last task of a job completes on its machine. */
    var onJobCompleted: (jobId: String) -> Unit = {}

    // ---- machines ----

    /** Returns the machines that have booted and are not terminated. */
    fun findUp(): List<SimulatedMachine> = machines.values.filter { !it.isTerminated && it.upAt <= simulation.now() }

    /** Returns all machines that were ever provisioned, including terminated ones. */
    fun allMachines(): Collection<SimulatedMachine> = machines.values

    fun countMachines(offer: Offer): Int = machines.values.count { !it.isTerminated && it.offer == offer }

    fun machinesAt(instant: Duration): List<SimulatedMachine> {
        val provisioned = machines.values.filter { it.provisionedAt <= instant }
        return provisioned.filter { instant < it.terminatedAt }
    }

    fun boot(offer: Offer): MachineName {
        val now = simulation.now()
        val machine =
            SimulatedMachine(
                name = "h-%05d".format(machines.size),
                offer = offer,
                provisionedAt = now,
                upAt = now + random.nextLong(1000, 9000).milliseconds,
                isFaulty = random.nextInt(MACHINES_PER_FAULTY) == 0,
            )
        machines[machine.name] = machine
        simulation.scope.launch { runMachine(machine) }
        return MachineName(machine.name)
    }

    fun terminate(names: List<MachineName>) = names.forEach { machines[it.value]?.let(::terminate) }

    fun terminate(machine: SimulatedMachine) {
        if (!machine.isTerminated) machine.terminatedAt = simulation.now()
        machine.isTerminated = true
        killTasks(machine)
    }

    /**
     * Reboots the machine, which takes no time and ends its tasks. If it [forgetsEpoch], it starts again with the first
     * epoch and without its sequence number and fencing token; otherwise it begins the next epoch.
     */
    fun reboot(
        machine: SimulatedMachine,
        forgetsEpoch: Boolean,
    ) {
        killTasks(machine)
        machine.epoch = if (forgetsEpoch) 1 else machine.epoch + 1
        if (forgetsEpoch) machine.sequenceNumber = 0
        if (forgetsEpoch) machine.fencingToken = 0
        machine.leaseRenewedAt = simulation.now()
    }

    fun cut(
        member: Int,
        zone: String,
        duration: Duration,
    ) {
        cutUntil[member to zone] = simulation.now() + duration
    }

    private suspend fun runMachine(machine: SimulatedMachine) {
        delay((machine.upAt - simulation.now()).inWholeMilliseconds)
        simulation.scope.launch {
            while (!machine.isTerminated) {
                delay(TICK_MILLIS)
                expireLease(machine)
                if (!isHung(machine)) advanceTasks(machine)
                rules.checkCancelledTasks(machine)
            }
        }
        var wait = heartbeatInterval()
        while (!machine.isTerminated) {
            delay(wait)
            wait = if (isHung(machine)) heartbeatInterval() else heartbeat(machine)
        }
    }

    private fun isHung(machine: SimulatedMachine): Boolean = machine.hungUntil > simulation.now()

    private fun expireLease(machine: SimulatedMachine) {
        if (simulation.now() - machine.leaseRenewedAt <= simulation.workerLease) return
        killTasks(machine)
        machine.epoch++
        machine.leaseRenewedAt = simulation.now()
    }

    // ---- tasks ----

    private fun advanceTasks(machine: SimulatedMachine) {
        for (task in machine.tasks.values) {
            if (task.state == SimulatedTaskState.FETCHING && task.imageReadyAt <= simulation.now()) {
                task.state = SimulatedTaskState.RUNNING
                rules.started(machine, task)
            }
            if (task.isRunning && task.completesAt <= simulation.now()) {
                exit(machine, task, if (machine.isFaulty) "error" else "done")
                if (!machine.isFaulty && rules.completed(task)) onJobCompleted(task.spec.id.value)
            }
        }
    }

    private fun exit(
        machine: SimulatedMachine,
        task: SimulatedTask,
        cause: String,
    ) {
        rules.stopped(machine, task)
        task.state = SimulatedTaskState.EXITED
        task.cause = cause
    }

    private fun killTasks(machine: SimulatedMachine) {
        machine.tasks.values.forEach { rules.stopped(machine, it) }
        machine.tasks.clear()
    }

    // ---- heartbeats ----

    private fun heartbeatInterval(): Long = random.nextLong(heartbeatMillis * 3 / 4, heartbeatMillis * 5 / 4)

    /**
     * Sends a heartbeat, carries out the commands of the response, and returns the milliseconds until the next
     * heartbeat. The time is short after a redirect to a named controller.
     */
    private suspend fun heartbeat(machine: SimulatedMachine): Long {
        val sentAt = simulation.now()
        val epoch = machine.epoch
        machine.sequenceNumber++
        val to = machine.target
        val body = heartbeatBody(machine)
        val response = withTimeoutOrNull(RESPONSE_TIMEOUT_MILLIS) { deliver(to, machine, body) }
        if ((response?.body as? Map<*, *>)?.get("error") == Routes.TOO_BUSY) heartbeatsDropped++
        if (machine.isTerminated) return 0
        if (response == null || response.status != 200) return retarget(machine, to, response)
        if (isHung(machine) || machine.epoch != epoch) return heartbeatInterval()
        ProtocolLimits.responseViolation(response.body)?.let { simulation.violated("${machine.name} received $it") }
        val fields = Fields.of(Documents.readCbor(Documents.writeCbor(response.body)))
        if (fields.long("warrant") < machine.fencingToken) return heartbeatInterval()
        machine.fencingToken = fields.long("warrant")
        machine.leaseRenewedAt = sentAt
        fields.maps("orders").forEach { execute(machine, it) }
        return heartbeatInterval()
    }

    private fun heartbeatBody(machine: SimulatedMachine): Map<String, Any?> =
        mapOf(
            "host" to machine.name,
            "endpoint" to "",
            "hosttype" to machine.offer.type,
            "hall" to machine.offer.zone,
            "reclaimable" to machine.offer.spot,
            "shift" to machine.epoch,
            "counter" to machine.sequenceNumber,
            "warrant" to machine.fencingToken,
            "warning_s" to null,
            "pieces" to
                machine.tasks.values.map {
                    mapOf(
                        "piece" to it.id.toString(),
                        "try" to it.attempt,
                        "status" to it.state.wireName,
                        "cause" to it.cause,
                    )
                },
        )

    /** Chooses the controller for the next heartbeat and returns the milliseconds until it is sent. */
    private fun retarget(
        machine: SimulatedMachine,
        from: Int,
        response: Response?,
    ): Long {
        val leaderName = (response?.body as? Map<*, *>)?.get("dispatcher") as? String
        val next = members.indexOf(leaderName)
        val isRedirected = next >= 0 && next != from
        machine.target = if (isRedirected) next else (from + 1) % members.size
        return if (isRedirected) random.nextLong(0, 500) else NEXT_CONTROLLER_MILLIS
    }

    /**
     * Delivers a heartbeat and returns the response. The heartbeat may be delivered twice, late or never, and the
     * response may be lost. Returns null if no response arrives.
     */
    private suspend fun deliver(
        to: Int,
        machine: SimulatedMachine,
        body: Map<String, Any?>,
    ): Response? {
        delay(transitMillis())
        if (random.nextDouble() < simulation.faultRates.copied) deliverCopy(to, body)
        val controller = controllers()[to]
        if (machine.heartbeatsLostUntil > simulation.now()) return null
        val draw = random.nextDouble()
        if (isCut(to, machine.offer.zone) || draw < simulation.faultRates.late) {
            deliverLate(to, body)
            delay(RESPONSE_TIMEOUT_MILLIS + 1000)
            return null
        }
        if (controller == null || draw > 1 - simulation.faultRates.lossy) return null
        val response = controllers().request(controller, "POST", HEARTBEAT_PATH, body).await()
        val areResponsesLost = machine.responsesLostUntil > simulation.now()
        delay(if (areResponsesLost) RESPONSE_TIMEOUT_MILLIS + 1000 else transitMillis())
        val isLost = random.nextDouble() < simulation.faultRates.lossy || controllers()[to] !== controller
        return if (isLost) null else response
    }

    private fun isCut(
        member: Int,
        zone: String,
    ): Boolean {
        val isZoneCut = (cutUntil[member to zone] ?: Duration.ZERO) > simulation.now()
        val areZonesCut = controllers().zonesCutUntil > simulation.now()
        return isZoneCut || (areZonesCut && simulation.settings[member].zone != zone)
    }

    private fun deliverCopy(
        to: Int,
        body: Map<String, Any?>,
    ) {
        val copyTo = if (random.nextInt(4) == 0) random.nextInt(members.size) else to
        simulation.scope.launch {
            delay(random.nextLong(1000, 45_000))
            controllers()[copyTo]?.let { controllers().request(it, "POST", HEARTBEAT_PATH, body) }
        }
    }

    private fun deliverLate(
        to: Int,
        body: Map<String, Any?>,
    ) {
        simulation.scope.launch {
            delay(random.nextLong(3000, 40_000))
            controllers()[to]?.let { controllers().request(it, "POST", HEARTBEAT_PATH, body) }
        }
    }

    private fun transitMillis(): Long {
        val isSlow = random.nextInt(20) == 0
        return if (isSlow) random.nextLong(100, 3000) else random.nextLong(1, 40)
    }

    // ---- commands ----

    private fun execute(
        machine: SimulatedMachine,
        command: Fields,
    ) {
        val name = command.text("piece")
        val id = TaskId.parse(name) ?: return simulation.violated("a command for $name, which is not a task ID")
        val attempt = command.long("try")
        val present = machine.tasks[id]
        val isSameAttempt = present != null && present.attempt == attempt
        when (command.text("verb")) {
            "start" ->
                when {
                    isSameAttempt -> Unit
                    present != null -> simulation.violated("start of $id on ${machine.name}, which has another attempt")
                    else -> start(machine, id, attempt)
                }
            "stop" -> if (present != null && isSameAttempt && !present.hasExited) exit(machine, present, "halted")
            "clear" -> if (present != null && isSameAttempt && present.hasExited) machine.tasks.remove(id)
        }
    }

    private fun start(
        machine: SimulatedMachine,
        id: TaskId,
        attempt: Long,
    ) {
        rules.startReceived(id)
        val spec: JobSpec = rules.specOf(id.job.value)
        val imageReadyAt = simulation.now() + random.nextLong(100, 2500).milliseconds
        // A task that has completed before and is started again exits as soon as its image has been fetched.
        val isCompleted = rules.isCompleted(id)
        val runTime = (spec.expectedSeconds * random.nextDouble(0.3, 2.0)).seconds
        val completesAt = imageReadyAt + if (isCompleted) Duration.ZERO else runTime
        machine.tasks[id] = SimulatedTask(id, attempt, spec, imageReadyAt, completesAt)
    }

    private companion object {
        const val HEARTBEAT_PATH = "/agent/beat"

        /** One machine in this many is faulty and fails every task. */
        const val MACHINES_PER_FAULTY = 12

        /** How often a worker checks its lease and its tasks. */
        const val TICK_MILLIS = 100L

        /** How long a worker waits for the response to a heartbeat. */
        const val RESPONSE_TIMEOUT_MILLIS = 4000L

        /** How long a worker waits before it sends its heartbeat to the next controller. */
        const val NEXT_CONTROLLER_MILLIS = 1000L
    }
}
