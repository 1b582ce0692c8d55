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

/** The workers by their protocol: heartbeats, leases, commands, tasks. What tasks do is checked by [rules]. */
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

    /** Until when a zone's workers do not reach a member, by member and zone. */
    private val cutUntil = HashMap<Pair<Int, String>, Duration>()

    /** Heartbeats that were refused since a controller had too many at once. */
    var heartbeatsDropped = 0
        private set

    /** Called when the last task of a job completes on its machine. */
    var onJobCompleted: (jobId: String) -> Unit = {}

    // ---- machines ----

    fun up(): List<SimulatedMachine> = machines.values.filter { !it.isTerminated && it.upAt <= simulation.now() }

    /** All machines that were ever provisioned. */
    fun all(): Collection<SimulatedMachine> = machines.values

    fun countOf(offer: Offer): Int = machines.values.count { !it.isTerminated && it.offer == offer }

    fun existingAt(time: Duration): List<SimulatedMachine> {
        val provisioned = machines.values.filter { it.provisionedAt <= time }
        return provisioned.filter { time < it.terminatedAt }
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
        simulation.scope.launch { live(machine) }
        return MachineName(machine.name)
    }

    fun terminate(names: List<MachineName>) = names.forEach { machines[it.value]?.let(::terminate) }

    fun terminate(machine: SimulatedMachine) {
        if (!machine.isTerminated) machine.terminatedAt = simulation.now()
        machine.isTerminated = true
        killTasks(machine)
    }

    /** Ends and comes back at once, with no tasks, and perhaps with no memory of its epochs. */
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
        time: Duration,
    ) {
        cutUntil[member to zone] = simulation.now() + time
    }

    private suspend fun live(machine: SimulatedMachine) {
        delay((machine.upAt - simulation.now()).inWholeMilliseconds)
        simulation.scope.launch {
            while (!machine.isTerminated) {
                delay(TICK_MILLIS)
                expireLease(machine)
                if (!isHung(machine)) advanceTasks(machine)
                rules.check(machine)
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
        rules.left(machine, task)
        task.state = SimulatedTaskState.EXITED
        task.cause = cause
    }

    private fun killTasks(machine: SimulatedMachine) {
        machine.tasks.values.forEach { rules.left(machine, it) }
        machine.tasks.clear()
    }

    // ---- heartbeats ----

    private fun heartbeatInterval(): Long = random.nextLong(heartbeatMillis * 3 / 4, heartbeatMillis * 5 / 4)

    /** Returns the time until the next heartbeat: short after a redirect to a named controller. */
    private suspend fun heartbeat(machine: SimulatedMachine): Long {
        val sentAt = simulation.now()
        val epoch = machine.epoch
        machine.sequenceNumber++
        val to = machine.target
        val body = heartbeatOf(machine)
        val response = withTimeoutOrNull(RESPONSE_TIMEOUT_MILLIS) { deliver(to, machine, body) }
        if ((response?.body as? Map<*, *>)?.get("error") == Routes.TOO_BUSY) heartbeatsDropped++
        if (machine.isTerminated) return 0
        if (response == null || response.status != 200) return redirect(machine, to, response)
        if (isHung(machine) || machine.epoch != epoch) return heartbeatInterval()
        ProtocolLimits.response(response.body)?.let { simulation.violated("${machine.name} got $it") }
        val fields = Fields.of(Documents.readCbor(Documents.writeCbor(response.body)))
        if (fields.long("warrant") < machine.fencingToken) return heartbeatInterval()
        machine.fencingToken = fields.long("warrant")
        machine.leaseRenewedAt = sentAt
        fields.maps("orders").forEach { execute(machine, it) }
        return heartbeatInterval()
    }

    private fun heartbeatOf(machine: SimulatedMachine): Map<String, Any?> =
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

    private fun redirect(
        machine: SimulatedMachine,
        from: Int,
        response: Response?,
    ): Long {
        val named = (response?.body as? Map<*, *>)?.get("dispatcher") as? String
        val next = members.indexOf(named)
        val isRedirected = next >= 0 && next != from
        machine.target = if (isRedirected) next else (from + 1) % members.size
        return if (isRedirected) random.nextLong(0, 500) else NEXT_NODE_MILLIS
    }

    /** A heartbeat on its way: it may be copied, lost, held back for long, or its response lost. */
    private suspend fun deliver(
        to: Int,
        machine: SimulatedMachine,
        body: Map<String, Any?>,
    ): Response? {
        delay(transitMillis())
        if (random.nextDouble() < simulation.faultRates.copied) deliverCopy(to, body)
        val controller = controllers()[to]
        if (machine.heartbeatsLostUntil > simulation.now()) return null
        val luck = random.nextDouble()
        if (isCut(to, machine.offer.zone) || luck < simulation.faultRates.late) {
            deliverLate(to, body)
            delay(RESPONSE_TIMEOUT_MILLIS + 1000)
            return null
        }
        if (controller == null || luck > 1 - simulation.faultRates.lossy) return null
        val response = controllers().request(controller, "POST", HEARTBEAT_PATH, body).await()
        val responsesAreLost = machine.responsesLostUntil > simulation.now()
        delay(if (responsesAreLost) RESPONSE_TIMEOUT_MILLIS + 1000 else transitMillis())
        val isLost = random.nextDouble() < simulation.faultRates.lossy || controllers()[to] !== controller
        return if (isLost) null else response
    }

    private fun isCut(
        member: Int,
        zone: String,
    ): Boolean {
        val zoneIsCut = (cutUntil[member to zone] ?: Duration.ZERO) > simulation.now()
        val zonesAreCut = controllers().zonesCutUntil > simulation.now()
        return zoneIsCut || (zonesAreCut && simulation.settings[member].zone != zone)
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
        val id = TaskId.parse(name) ?: return simulation.violated("a command for $name")
        val attempt = command.long("try")
        val present = machine.tasks[id]
        val isSameAttempt = present != null && present.attempt == attempt
        when (command.text("verb")) {
            "start" ->
                when {
                    isSameAttempt -> Unit
                    present != null -> simulation.violated("$id is to start on ${machine.name} beside another attempt")
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
        // A completed task that is started again exits as soon as it has its image.
        val isCompleted = rules.isCompleted(id)
        val runTime = (spec.expectedSeconds * random.nextDouble(0.3, 2.0)).seconds
        val completesAt = imageReadyAt + if (isCompleted) Duration.ZERO else runTime
        machine.tasks[id] = SimulatedTask(id, attempt, spec, imageReadyAt, completesAt)
    }

    private companion object {
        const val HEARTBEAT_PATH = "/agent/beat"

        /** One machine in so many fails every task. */
        const val MACHINES_PER_FAULTY = 12

        /** How often a worker looks at its lease and its tasks. */
        const val TICK_MILLIS = 100L

        /** How long a worker waits for the response to a heartbeat. */
        const val RESPONSE_TIMEOUT_MILLIS = 4000L

        /** How long a worker waits before it tries the next controller. */
        const val NEXT_NODE_MILLIS = 1000L
    }
}
