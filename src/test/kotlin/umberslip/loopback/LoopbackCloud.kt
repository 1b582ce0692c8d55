package umberslip.loopback

import umberslip.cloud.InstanceType
import umberslip.cloud.Offer
import umberslip.core.MachineName
import umberslip.http.Fields
import umberslip.sim.ClusterSize
import umberslip.sim.ProtocolLimits
import kotlin.time.Duration
import kotlin.time.DurationUnit
import kotlin.time.TimeSource

/** A server of the cloud's published protocol over real sockets. Its list lags, and machines can be interrupted. */
class LoopbackCloud(
    private val capacity: Int,
    private val listLag: Duration,
    private val onBoot: (MachineName, Offer) -> Unit,
    private val onTerminate: (MachineName) -> Unit,
) : AutoCloseable {
    private class Instance(
        val name: MachineName,
        val offer: Offer,
        val provisionedAt: Duration,
    ) {
        var terminatedAt: Duration? = null
    }

    private val origin = TimeSource.Monotonic.markNow()
    private val instances = LinkedHashMap<MachineName, Instance>()
    private val machinesByRequest = HashMap<String, List<String>>()

    /** Descriptions of the requests that exceeded the protocol's limits and were answered with 400. */
    private val refusals = ArrayList<String>()
    private val server = CborServer { synchronized(this) { handle(it) } }

    val address get() = server.address

    fun refusals(): List<String> = synchronized(this) { refusals.toList() }

    /** Returns when each machine was provisioned, as the time since the start of this cloud. */
    fun provisionedAt(): List<Duration> = synchronized(this) { instances.values.map { it.provisionedAt } }

    fun now(): Duration = origin.elapsedNow()

    /** Terminates machines without notice. */
    fun interrupt(machineNames: Collection<MachineName>) = synchronized(this) { machineNames.forEach(::terminate) }

    private fun terminate(machineName: MachineName) {
        val instance = instances[machineName] ?: return
        if (instance.terminatedAt != null) return
        instance.terminatedAt = now()
        onTerminate(machineName)
    }

    private fun handle(request: CborRequest): CborAnswer =
        when {
            request.path == "/flavors" -> CborAnswer(200, mapOf("hosttypes" to ClusterSize.TYPES.map(::typeFields)))
            request.path == "/rentals" && request.method == "GET" -> listMachines(request.query)
            request.path == "/rentals" -> provision(request.fields())
            request.path == "/rentals/release" -> terminate(request.fields())
            else -> CborAnswer(404, mapOf("error" to "no such path"))
        }

    private fun typeFields(type: InstanceType) =
        mapOf(
            "label" to type.label,
            "vcpus" to type.cpus,
            "memory_gb" to type.memoryGb,
            "pull_gb_per_s" to type.fetchGbPerSecond,
            "rate" to type.price,
            "market_price" to type.spotPrice,
            "boot_s" to type.boot.toDouble(DurationUnit.SECONDS),
            "halls" to type.zones,
        )

    private fun refuse(violation: String): CborAnswer {
        refusals += violation
        return CborAnswer(400, mapOf("error" to violation))
    }

    private fun terminate(fields: Fields): CborAnswer {
        val machineNames = fields.textsOrNull("hosts").orEmpty().map(::MachineName)
        ProtocolLimits.terminationViolation(machineNames)?.let { return refuse(it) }
        machineNames.forEach(::terminate)
        return CborAnswer(200, emptyMap<String, Any?>())
    }

    private fun provision(fields: Fields): CborAnswer {
        val requestName = fields.text("hire")
        val offer = Offer(fields.text("hosttype"), fields.text("hall"), fields.flag("reclaimable"))
        val requested = fields.long("number").toInt()
        ProtocolLimits.provisioningViolation(offer, requested, ClusterSize.TYPES)?.let { return refuse(it) }
        machinesByRequest[requestName]?.let { return CborAnswer(200, mapOf("hosts" to it)) }
        val available = capacity - instances.values.count { it.terminatedAt == null }
        val number = minOf(requested, available)
        if (number <= 0) return CborAnswer(503, mapOf("error" to "no capacity"))
        val names = List(number) { MachineName("host-%06d".format(instances.size + it)) }
        for (name in names) {
            instances[name] = Instance(name, offer, now())
            onBoot(name, offer)
        }
        return CborAnswer(200, mapOf("hosts" to names.map { it.value }.also { machinesByRequest[requestName] = it }))
    }

    private fun listMachines(query: Map<String, String>): CborAnswer {
        val pageSize = query["page"]?.toInt() ?: ProtocolLimits.MACHINES_PER_PAGE
        if (pageSize > ProtocolLimits.MACHINES_PER_PAGE) return refuse("a list with pages of $pageSize")
        val asOf = now() - listLag
        val after = query["after"].orEmpty()
        val matching =
            instances.values.filter {
                it.name.value > after && it.provisionedAt <= asOf && asOf < (it.terminatedAt ?: Duration.INFINITE)
            }
        val listed = matching.take(pageSize)
        val hosts =
            listed.map {
                mapOf(
                    "uid" to it.name.value,
                    "endpoint" to "127.0.0.1:1",
                    "hosttype" to it.offer.type,
                    "hall" to it.offer.zone,
                    "reclaimable" to it.offer.spot,
                    "status" to "running",
                    "age_s" to (asOf - it.provisionedAt).toDouble(DurationUnit.SECONDS),
                )
            }
        return CborAnswer(200, mapOf("hosts" to hosts, "has_next" to (matching.size > listed.size)))
    }

    override fun close() = server.close()
}
