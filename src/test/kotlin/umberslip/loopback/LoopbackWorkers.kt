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

/** What all workers were told and did, in order of time. */
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
        /** Its end had been recorded before. */
        val exitWasRecorded: Boolean,
    ) : WorkerEvent

    /** Its lease ran out, and its tasks were killed. */
    data class LeaseExpired(
        override val at: Duration,
        val tasks: Int,
    ) : WorkerEvent
}

/** Workers that outlive the controllers; all of them in this process, each with its own sessions and leases. */
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
    private val clients = controllers.map { HttpClient(group, it, MAX_BODY) }
    private val workers = LinkedHashMap<MachineName, Worker>()
    private val events = ArrayList<WorkerEvent>()

    /** Tasks whose end some controller has recorded, since it had the worker clear them. */
    private val recordedExits = HashSet<String>()
    private val specs = ConcurrentHashMap<String, JobSpec>()

    fun now(): Duration = origin.elapsedNow()

    fun upload(spec: JobSpec) {
        specs[spec.id.value] = spec
    }

    private fun <T> onThread(what: () -> T): T = runBlocking { withContext(thread) { what() } }

    fun events(): List<WorkerEvent> = onThread { events.toList() }

    fun running(): Int = onThread { workers.values.sumOf { w -> w.tasks.values.count { it.status == "running" } } }

    /** What runs, or has ended and is not cleared, on these machines. */
    fun tasksOn(machineNames: Collection<MachineName>): Set<String> =
        onThread {
            machineNames.flatMapTo(HashSet()) { workers[it]?.tasks?.keys.orEmpty() }
        }

    fun names(): List<MachineName> = onThread { workers.values.filter { !it.isTerminated }.map { it.name } }

    /** They run on, and report nothing for a while. */
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
            launch { run(worker) }
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

    private suspend fun run(worker: Worker) {
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
        val sent = now()
        val epoch = worker.epoch
        worker.sequenceNumber++
        val reply = send(worker) ?: return redirect(worker, null)
        if (reply.status != 200) return redirect(worker, reply.fields().textOrNull("dispatcher"))
        if (worker.isTerminated || worker.epoch != epoch || now() - sent > RESPONSE_TIMEOUT) return
        val fields = reply.fields()
        if (fields.long("warrant") < worker.fencingToken) return
        worker.fencingToken = fields.long("warrant")
        worker.leaseRenewedAt = sent
        fields.maps("orders").forEach { execute(worker, it) }
    }

    private suspend fun send(worker: Worker): Reply? =
        try {
            clients[worker.target].call(HttpMethod.POST, "/agent/beat", body(worker), RESPONSE_TIMEOUT)
        } catch (_: ServiceUnavailableException) {
            null
        } catch (_: NoResponseException) {
            null
        }

    private fun redirect(
        worker: Worker,
        named: String?,
    ) {
        val next = named?.substringAfterLast('-')?.toIntOrNull()
        worker.target = next ?: ((worker.target + 1) % controllers.size)
    }

    private fun body(worker: Worker) =
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
        val here = worker.tasks[name]
        events += WorkerEvent.CommandReceived(now(), command.text("verb"), name)
        when (command.text("verb")) {
            "start" -> if (here == null) start(worker, name, attempt)
            "stop" -> if (here?.attempt == attempt) worker.tasks.remove(name)
            "clear" ->
                if (here?.attempt == attempt && here.status == "ended") {
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
        const val MAX_BODY = 1 shl 20
        val TICK = 50.milliseconds
        val BOOT_TIME = 300.milliseconds

        /** Answers that come later than that are dropped, as the protocol says. */
        val RESPONSE_TIMEOUT = 4.seconds
    }
}
