package umberslip.loopback

import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import io.netty.handler.codec.http.HttpMethod
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.asCoroutineDispatcher
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withContext
import umberslip.cloud.Offer
import umberslip.core.JobSpec
import umberslip.core.MachineName
import umberslip.http.Fields
import umberslip.http.HttpClient
import umberslip.http.NoResponseException
import umberslip.http.Reply
import umberslip.http.ServiceUnavailableException
import java.net.InetSocketAddress
import java.util.concurrent.ConcurrentHashMap
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

/** A command that a worker received, or something that happened on it. */
sealed interface WorkerEvent {
    val at: Duration

    data class CommandReceived(
        override val at: Duration,
        val verb: String,
        val task: String,
    ) : WorkerEvent

    data class TaskStarted(
        override val at: Duration,
        val task: String,
        val machineCount: Int,
        /** Whether the task's exit had been recorded before this start. */
        val exitWasRecorded: Boolean,
    ) : WorkerEvent

    /** A worker's lease expired, and its [tasks] tasks were killed. */
    data class LeaseExpired(
        override val at: Duration,
        val tasks: Int,
    ) : WorkerEvent
}

/** Workers that outlive the controllers. All of them run in this process, each with its own epochs and leases. */
class LoopbackWorkers(
    private val controllers: List<InetSocketAddress>,
    private val heartbeatInterval: Duration,
    private val lease: Duration,
) : AutoCloseable {
    private class Task(
        val attempt: Long,
        val endsAt: Duration,
    ) {
        var status = "running"
    }

    private class Worker(
        val name: MachineName,
        val offer: Offer,
    ) {
        var epoch = 1L
        var sequenceNumber = 0L
        var fencingToken = 0L
        var leaseRenewedAt = Duration.ZERO
        var target = 0
        var pausedUntil = Duration.ZERO
        var isTerminated = false
        val tasks = LinkedHashMap<String, Task>()
    }

    private val origin = TimeSource.Monotonic.markNow()
    private val group = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
    private val thread = group.next().asCoroutineDispatcher()
    private val scope = CoroutineScope(thread + SupervisorJob())
    private val clients = controllers.map { HttpClient(group, it, MAX_BODY_BYTES) }
    private val workers = LinkedHashMap<MachineName, Worker>()
    private val events = ArrayList<WorkerEvent>()

    /** Tasks whose exit a controller has recorded, as its command to clear them shows. */
    private val recordedExits = HashSet<String>()
    private val specs = ConcurrentHashMap<String, JobSpec>()

    fun now(): Duration = origin.elapsedNow()

    fun upload(spec: JobSpec) {
        specs[spec.id.value] = spec
    }

    private fun <T> onThread(block: () -> T): T = runBlocking { withContext(thread) { block() } }

    fun events(): List<WorkerEvent> = onThread { events.toList() }

    fun runningCount(): Int =
        onThread {
            workers.values.sumOf { worker -> worker.tasks.values.count { it.status == "running" } }
        }

    /** Returns the tasks on these machines that run, or that have exited and are not cleared. */
    fun tasksOn(machineNames: Collection<MachineName>): Set<String> =
        onThread {
            machineNames.flatMapTo(HashSet()) { workers[it]?.tasks?.keys.orEmpty() }
        }

    fun machineNames(): List<MachineName> = onThread { workers.values.filter { !it.isTerminated }.map { it.name } }

    /** Pauses the heartbeats of these machines for [time]; their tasks keep running. */
    fun pauseHeartbeats(
        machineNames: Collection<MachineName>,
        time: Duration,
    ) = onThread { machineNames.forEach { workers[it]?.pausedUntil = now() + time } }

    fun boot(
        name: MachineName,
        offer: Offer,
    ) {
        scope.launch {
            delay(BOOT_TIME)
            val worker = Worker(name, offer)
            worker.leaseRenewedAt = now()
            workers[name] = worker
            launch { runTasks(worker) }
            while (!worker.isTerminated) {
                if (now() >= worker.pausedUntil) heartbeat(worker)
                delay(heartbeatInterval)
            }
        }
    }

    fun terminate(name: MachineName) {
        scope.launch {
            workers[name]?.let {
                it.isTerminated = true
                it.tasks.clear()
            }
        }
    }

    private suspend fun runTasks(worker: Worker) {
        while (!worker.isTerminated) {
            delay(TICK)
            worker.tasks.values
                .filter { it.status == "running" && it.endsAt <= now() }
                .forEach { it.status = "ended" }
            if (now() - worker.leaseRenewedAt <= lease) continue
            events += WorkerEvent.LeaseExpired(now(), worker.tasks.size)
            worker.tasks.clear()
            worker.epoch++
            worker.leaseRenewedAt = now()
        }
    }

    private suspend fun heartbeat(worker: Worker) {
        val sentAt = now()
        val epoch = worker.epoch
        worker.sequenceNumber++
        val reply = send(worker) ?: return redirect(worker, null)
        if (reply.status != 200) return redirect(worker, reply.fields().textOrNull("dispatcher"))
        if (worker.isTerminated || worker.epoch != epoch || now() - sentAt > RESPONSE_TIMEOUT) return
        val fields = reply.fields()
        if (fields.long("warrant") < worker.fencingToken) return
        worker.fencingToken = fields.long("warrant")
        worker.leaseRenewedAt = sentAt
        fields.maps("orders").forEach { execute(worker, it) }
    }

    private suspend fun send(worker: Worker): Reply? =
        try {
            clients[worker.target].call(HttpMethod.POST, "/agent/beat", heartbeatOf(worker), RESPONSE_TIMEOUT)
        } catch (_: ServiceUnavailableException) {
            null
        } catch (_: NoResponseException) {
            null
        }

    private fun redirect(
        worker: Worker,
        controllerName: String?,
    ) {
        val next = controllerName?.substringAfterLast('-')?.toIntOrNull()
        worker.target = next ?: ((worker.target + 1) % controllers.size)
    }

    private fun heartbeatOf(worker: Worker) =
        mapOf(
            "host" to worker.name.value,
            "endpoint" to "127.0.0.1:1",
            "hosttype" to worker.offer.type,
            "hall" to worker.offer.zone,
            "reclaimable" to worker.offer.spot,
            "shift" to worker.epoch,
            "counter" to worker.sequenceNumber,
            "warrant" to worker.fencingToken,
            "pieces" to
                worker.tasks.map { (name, task) ->
                    val cause = if (task.status == "ended") "done" else null
                    mapOf("piece" to name, "try" to task.attempt, "status" to task.status, "cause" to cause)
                },
        )

    private fun execute(
        worker: Worker,
        command: Fields,
    ) {
        val name = command.text("piece")
        val attempt = command.long("try")
        val task = worker.tasks[name]
        events += WorkerEvent.CommandReceived(now(), command.text("verb"), name)
        when (command.text("verb")) {
            "start" -> if (task == null) start(worker, name, attempt)
            "stop" -> if (task?.attempt == attempt) worker.tasks.remove(name)
            "clear" ->
                if (task?.attempt == attempt && task.status == "ended") {
                    worker.tasks.remove(name)
                    recordedExits += name
                }
        }
    }

    private fun start(
        worker: Worker,
        name: String,
        attempt: Long,
    ) {
        val spec = specs.getValue(name.substringBeforeLast('/'))
        worker.tasks[name] = Task(attempt, now() + spec.expectedSeconds.seconds)
        val machines = workers.values.count { it.tasks[name]?.status == "running" }
        events += WorkerEvent.TaskStarted(now(), name, machines, exitWasRecorded = name in recordedExits)
    }

    override fun close() {
        scope.cancel()
        group.shutdownGracefully(0, 1, java.util.concurrent.TimeUnit.SECONDS).sync()
    }

    private companion object {
        const val MAX_BODY_BYTES = 1 shl 20
        val TICK = 50.milliseconds
        val BOOT_TIME = 300.milliseconds

        /** Workers drop responses that arrive later than this, as the protocol requires. */
        val RESPONSE_TIMEOUT = 4.seconds
    }
}
