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

/** The cloud's published protocol over real sockets; its list lags, and machines may vanish from it. */
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
    private val answersByRequest = HashMap<String, List<String>>()

    /** Requests beyond the protocol's limits, which were answered 400. */
    private val refusals = ArrayList<String>()
    private val server = CborServer { synchronized(this) { answer(it) } }

    val address get() = server.address

    fun refusals(): List<String> = synchronized(this) { refusals.toList() }

    /** When each machine was rented, since the start. */
    fun provisionedAt(): List<Duration> = synchronized(this) { instances.values.map { it.provisionedAt } }

    fun now(): Duration = origin.elapsedNow()

    /** Takes machines back with no notice. */
    fun interrupt(machineNames: Collection<MachineName>) = synchronized(this) { machineNames.forEach(::terminate) }

    private fun terminate(machineName: MachineName) {
        val machine = instances[machineName] ?: return
        if (machine.terminatedAt != null) return
        machine.terminatedAt = now()
        onTerminate(machineName)
    }

    private fun answer(request: CborRequest): CborAnswer =
        when {
            request.path == "/flavors" -> CborAnswer(200, mapOf("hosttypes" to ClusterSize.TYPES.map(::instanceType)))
            request.path == "/rentals" && request.method == "GET" -> list(request.query)
            request.path == "/rentals" -> provision(request.fields())
            request.path == "/rentals/release" -> terminate(request.fields())
            else -> CborAnswer(404, mapOf("error" to "no such path"))
        }

    private fun instanceType(it: InstanceType) =
        mapOf(
            "label" to it.label,
            "vcpus" to it.cpus,
            "memory_gb" to it.memoryGb,
            "pull_gb_per_s" to it.fetchGbPerSecond,
            "rate" to it.price,
            "market_price" to it.spotPrice,
            "boot_s" to it.boot.toDouble(DurationUnit.SECONDS),
            "halls" to it.zones,
        )

    private fun refused(violation: String): CborAnswer {
        refusals += violation
        return CborAnswer(400, mapOf("error" to violation))
    }

    private fun terminate(fields: Fields): CborAnswer {
        val machineNames = fields.textsOrNull("hosts").orEmpty().map(::MachineName)
        ProtocolLimits.terminationViolation(machineNames)?.let { return refused(it) }
        machineNames.forEach(::terminate)
        return CborAnswer(200, emptyMap<String, Any?>())
    }

    private fun provision(fields: Fields): CborAnswer {
        val request = fields.text("hire")
        val offer = Offer(fields.text("hosttype"), fields.text("hall"), fields.flag("reclaimable"))
        val wanted = fields.long("number").toInt()
        ProtocolLimits.provisioningViolation(offer, wanted, ClusterSize.TYPES)?.let { return refused(it) }
        answersByRequest[request]?.let { return CborAnswer(200, mapOf("hosts" to it)) }
        val available = capacity - instances.values.count { it.terminatedAt == null }
        val number = minOf(wanted, available)
        if (number <= 0) return CborAnswer(503, mapOf("error" to "no capacity"))
        val names = List(number) { MachineName("host-%06d".format(instances.size + it)) }
        for (name in names) {
            instances[name] = Instance(name, offer, now())
            onBoot(name, offer)
        }
        return CborAnswer(200, mapOf("hosts" to names.map { it.value }.also { answersByRequest[request] = it }))
    }

    private fun list(query: Map<String, String>): CborAnswer {
        val pageSize = query["page"]?.toInt() ?: ProtocolLimits.MACHINES_PER_PAGE
        if (pageSize > ProtocolLimits.MACHINES_PER_PAGE) return refused("a list with pages of $pageSize")
        val asOf = now() - listLag
        val after = query["after"].orEmpty()
        val following =
            instances.values.filter {
                it.name.value > after && it.provisionedAt <= asOf && asOf < (it.terminatedAt ?: Duration.INFINITE)
            }
        val listed = following.take(pageSize)
        val machineNames =
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
        return CborAnswer(200, mapOf("hosts" to machineNames, "has_next" to (following.size > listed.size)))
    }

    override fun close() = server.close()
}
