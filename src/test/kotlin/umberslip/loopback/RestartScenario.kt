package umberslip.loopback

import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import io.netty.handler.codec.http.HttpMethod
import kotlinx.coroutines.runBlocking
import picocli.CommandLine
import umberslip.cli.Umberslip
import umberslip.core.JobSpec
import umberslip.core.Priority
import umberslip.http.Documents
import umberslip.http.Fields
import umberslip.http.HttpClient
import umberslip.http.NoResponseException
import umberslip.http.ServiceUnavailableException
import umberslip.records.toMap
import umberslip.settings.StoreSettings
import umberslip.sim.Fixtures
import umberslip.toolbox.Toolbox
import java.io.PrintWriter
import java.io.StringWriter
import java.net.InetSocketAddress
import java.nio.file.Path
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

/** The size and timing of a restart on loopback. */
class ScenarioSize(
    val machines: Int,
    val jobs: Int,
    val tasksPerJob: Int,
    val taskSeconds: Double,
    val heartbeatInterval: Duration = 500.milliseconds,
    val lease: Duration = 60.seconds,
    val listLag: Duration = 1.seconds,
)

/** The output and the exit code of `umberslip recovery --json`. */
class RecoveryOutput(
    val exitCode: Int,
    private val json: Fields,
) {
    val status: String get() = json.text("status")

    /** Returns the recovery report of the leader with the highest term, or null if no leader answered. */
    fun leaderReport(): Fields? =
        json
            .maps("controllers")
            .filter { it.has("recovery") }
            .map { it.map("recovery") }
            .maxByOrNull { it.long("term") }

    fun findingCount(name: String): Long = leaderReport()?.map("findings")?.takeIf { it.has(name) }?.long(name) ?: 0
}

/** Three controller processes, with workers, a cloud and a key-value store that outlive them. */
class RestartScenario(
    private val size: ScenarioSize,
    directory: Path,
    extraArguments: List<String> = emptyList(),
) : AutoCloseable {
    private val storeLimits =
        StoreSettings(rps = 500.0, writeRps = 200.0, valueBytes = 8 * 1024, transactionOps = 24)
    private val store = LoopbackKeyValueStore(storeLimits)

    /**
     * Initialized last, because workers need the controllers' addresses. The cloud boots workers only once a controller
     * requests machines.
     */
    lateinit var workers: LoopbackWorkers
        private set
    val cloud: LoopbackCloud =
        LoopbackCloud(
            size.machines,
            size.listLag,
            { name, offer -> workers.boot(name, offer) },
            { workers.terminate(it) },
        )
    val controllers = ControllerProcesses(CONTROLLERS, directory, extraArguments, ::settingsJson)
    private val group = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
    private val clients = controllers.addresses.map { HttpClient(group, it, 1 shl 20) }
    val jobs: List<JobSpec> = List(size.jobs, ::job)

    init {
        workers = LoopbackWorkers(controllers.addresses, size.heartbeatInterval, size.lease)
        controllers.startAll()
    }

    private fun job(number: Int): JobSpec =
        Fixtures.unboundJob(Random(number), number).copy(
            priority = if (number % 2 == 0) Priority.NORMAL else Priority.IDLE,
            tasks = size.tasksPerJob,
            expectedSeconds = size.taskSeconds * (1 + number % 3) / 2,
            deadlineSeconds = null,
        )

    private fun settingsJson(
        member: Int,
        bind: List<InetSocketAddress>,
        peers: List<InetSocketAddress>,
    ): String {
        val peerEntries =
            peers.indices.filter { it != member }.joinToString {
                """{"member":"c-$it","area":"${area(it)}","addr":"${hostAndPort(peers[it])}"}"""
            }
        val seconds = { time: Duration -> time.toDouble(DurationUnit.SECONDS) }
        return """{"member":"c-$member","area":"${area(member)}","bind":"${hostAndPort(bind[member])}",
            "peer_listen":"${hostAndPort(peers[member])}","known":[$peerEntries],
            "endpoints":{"cloud":"${hostAndPort(cloud.address)}","state":"${hostAndPort(store.address)}"},
            "settings":{"nodes":$CONTROLLERS,"zones":["east","west"],
            "teams":[{"name":"green","cpus":0.0,"cpus_max":0.0,"gpus":0.0,"gpus_max":0.0}],
            "objectives":[{"kind":"finished","class":"batch","within_s":60.0,"share":0.9}],
            "workers":{"report_s":${seconds(size.heartbeatInterval)},"lease_s":${seconds(size.lease)},
            "gang_wait_s":30.0,"gang_peer_s":4.0,"cancel_s":${seconds(size.lease + 20.seconds)}},
            "state":{"rps":${storeLimits.rps},"write_rps":${storeLimits.writeRps},
            "value_kb":${storeLimits.valueBytes / 1024.0},"txn_ops":${storeLimits.transactionOps}},
            "cloud":{"rps":10.0,"list_lag_s":${seconds(size.listLag)}},
            "quota":{"cpu":0.25,"ram_mb":200.0,"sockets":2000},"skew_ms":25.0}}"""
    }

    private fun hostAndPort(address: InetSocketAddress) = "${address.hostString}:${address.port}"

    private fun area(member: Int) = if (member % 2 == 0) "east" else "west"

    /** Submits each job to any controller that accepts it. */
    fun submitAll() {
        for (spec in jobs) {
            workers.upload(spec)
            awaitUntil("job ${spec.id.value} is accepted") {
                ask(HttpMethod.POST, "/api/jobs", spec.toMap())?.first in setOf(200, 201)
            }
        }
    }

    /** Runs `umberslip recovery --json` with the addresses of all controllers, as an operator does. */
    fun recovery(): RecoveryOutput {
        val out = StringWriter()
        val addresses = controllers.addresses.flatMap { listOf("--controller", hostAndPort(it)) }
        val arguments = listOf("recovery", "--json", "--config", controllers.settingsFile(0).toString()) + addresses
        val exitCode = Umberslip.commandLine().setOut(PrintWriter(out)).execute(*arguments.toTypedArray())
        return RecoveryOutput(exitCode, Fields.of(Documents.readJson(out.toString())))
    }

    /** Saves the records into an archive, as an operator does. */
    fun saveRecords(file: Path) {
        val arguments = listOf("records", "save", "--config", controllers.settingsFile(0).toString(), file.toString())
        check(Toolbox.commandLine().execute(*arguments.toTypedArray()) == 0) { "the command `records save` failed" }
    }

    /** Compares two archives of records with `records compare`, and returns its output. */
    fun compareRecords(
        before: Path,
        after: Path,
    ): Fields {
        val out = StringWriter()
        val settings = controllers.settingsFile(0).toString()
        Toolbox
            .commandLine()
            .setOut(PrintWriter(out))
            .execute("records", "compare", "--json", "--config", settings, "$before", "$after")
        return Fields.of(Documents.readJson(out.toString()))
    }

    /** Returns the status that a job's user gets, or null if no controller returns one. */
    fun statusOf(spec: JobSpec): String? =
        ask(HttpMethod.GET, "/api/jobs/${spec.id.value}", null)?.let { (status, body) ->
            if (status == 200) (body as Map<*, *>)["status"] as String else null
        }

    private fun ask(
        method: HttpMethod,
        path: String,
        body: Any?,
    ): Pair<Int, Any?>? =
        clients.firstNotNullOfOrNull { client ->
            try {
                runBlocking { client.call(method, path, body, 5.seconds) }.let { it.status to it.body }
            } catch (_: ServiceUnavailableException) {
                null
            } catch (_: NoResponseException) {
                null
            }?.takeIf { it.first < FIRST_SERVER_ERROR }
        }

    /** Waits until [condition] is met. The time-out is far longer than needed, so speed does not affect the result. */
    fun awaitUntil(
        description: String,
        condition: () -> Boolean,
    ) {
        val deadline = workers.now() + AWAIT_TIMEOUT
        while (!condition()) {
            check(workers.now() < deadline) { "not within $AWAIT_TIMEOUT: $description\n${controllers.recentLogs()}" }
            Thread.sleep(POLL_MILLIS)
        }
    }

    override fun close() {
        controllers.close()
        workers.close()
        cloud.close()
        store.close()
        group.shutdownGracefully(0, 1, java.util.concurrent.TimeUnit.SECONDS).sync()
        val refusals = cloud.refusals() + store.refusals
        check(refusals.isEmpty()) { "requests exceeded the limits of the protocol: ${refusals.take(5)}" }
    }

    companion object {
        const val CONTROLLERS = 3
        private const val FIRST_SERVER_ERROR = 500
        private const val POLL_MILLIS = 50L
        private val AWAIT_TIMEOUT = 180.seconds
    }
}
