package umberslip.loopback

import umberslip.cloud.InstanceType
import umberslip.cloud.Offer
import umberslip.core.MachineName
import umberslip.http.Fields
import umberslip.sim.ClusterSize
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
    private val server = CborServer { synchronized(this) { answer(it) } }

    val address get() = server.address

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
            request.path == "/flavors" -> CborAnswer(200, mapOf("hosttypes" to ClusterSize.SMALL.map(::instanceType)))
            request.path == "/rentals" && request.method == "GET" -> list()
            request.path == "/rentals" -> provision(request.fields())
            request.path == "/rentals/release" -> {
                request
                    .fields()
                    .textsOrNull("hosts")
                    .orEmpty()
                    .forEach { terminate(MachineName(it)) }
                CborAnswer(200, emptyMap<String, Any?>())
            }
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

    private fun provision(fields: Fields): CborAnswer {
        val request = fields.text("hire")
        answersByRequest[request]?.let { return CborAnswer(200, mapOf("hosts" to it)) }
        val offer = Offer(fields.text("hosttype"), fields.text("hall"), fields.flag("reclaimable"))
        val available = capacity - instances.values.count { it.terminatedAt == null }
        val number = minOf(fields.long("number").toInt(), available)
        if (number <= 0) return CborAnswer(503, mapOf("error" to "no capacity"))
        val names = List(number) { MachineName("host-%06d".format(instances.size + it)) }
        for (name in names) {
            instances[name] = Instance(name, offer, now())
            onBoot(name, offer)
        }
        return CborAnswer(200, mapOf("hosts" to names.map { it.value }.also { answersByRequest[request] = it }))
    }

    private fun list(): CborAnswer {
        val asOf = now() - listLag
        val listed =
            instances.values.filter { it.provisionedAt <= asOf && asOf < (it.terminatedAt ?: Duration.INFINITE) }
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
        return CborAnswer(200, mapOf("hosts" to machineNames, "has_next" to false))
    }

    override fun close() = server.close()
}
