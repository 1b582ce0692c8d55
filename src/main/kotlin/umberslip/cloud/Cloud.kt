package umberslip.cloud

import io.netty.handler.codec.http.HttpMethod
import umberslip.core.MachineName
import umberslip.core.Resources
import umberslip.http.HttpClient
import umberslip.http.MalformedMessageException
import umberslip.http.NoResponseException
import umberslip.http.Reply
import umberslip.http.ServiceUnavailableException
import umberslip.store.RateLimiter
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** A machine type as the cloud describes it; prices are per hour. */
data class InstanceType(
    val label: String,
    val cpus: Double,
    val gpus: Double,
    val memoryGb: Double,
    val fetchGbPerSecond: Double,
    val price: Double,
    val spotPrice: Double,
    val boot: Duration,
    val zones: List<String>,
) {
    /** All that a machine of this type has to offer. */
    val resources: Resources get() = Resources(cpus, gpus, memoryGb)
}

enum class MachineStatus { BOOTING, RUNNING, FAILED }

data class ListedMachine(
    val name: MachineName,
    val type: String,
    val zone: String,
    val spot: Boolean,
    val status: MachineStatus,
    val age: Duration,
)

/** What can be rented: a type in a zone, of one kind. */
data class Offer(
    val type: String,
    val zone: String,
    val spot: Boolean,
)

/**
 * The cloud by its published protocol; throws [ServiceUnavailableException] or [NoResponseException] as the key-value
 * store does.
 */
interface Cloud {
    suspend fun instanceTypes(): List<InstanceType>

    /** The machines rented; null where there is no capacity. */
    suspend fun provision(
        name: String,
        offer: Offer,
        number: Int,
    ): List<MachineName>?

    suspend fun terminate(machineNames: List<MachineName>)

    suspend fun listMachines(): List<ListedMachine>
}

class HttpCloud(
    private val http: HttpClient,
    private val requests: RateLimiter,
) : Cloud {
    override suspend fun instanceTypes(): List<InstanceType> =
        ok(call(HttpMethod.GET, "/flavors", null)).fields().maps("hosttypes").map {
            InstanceType(
                it.text("label"),
                it.number("vcpus"),
                it.numberOrNull("accelerators") ?: 0.0,
                it.number("memory_gb"),
                it.numberOrNull("pull_gb_per_s") ?: 1.0,
                it.number("rate"),
                it.number("market_price"),
                it.number("boot_s").seconds,
                it.textsOrNull("halls") ?: emptyList(),
            )
        }

    override suspend fun provision(
        name: String,
        offer: Offer,
        number: Int,
    ): List<MachineName>? {
        val body =
            mapOf(
                "hire" to name,
                "hosttype" to offer.type,
                "hall" to offer.zone,
                "reclaimable" to offer.spot,
                "number" to number,
            )
        val reply = call(HttpMethod.POST, "/rentals", body)
        if (reply.status == 503 && reply.fields().textOrNull("error") == "no capacity") return null
        return (ok(reply).fields().textsOrNull("hosts") ?: emptyList()).map(::MachineName)
    }

    override suspend fun terminate(machineNames: List<MachineName>) {
        ok(call(HttpMethod.POST, "/rentals/release", mapOf("hosts" to machineNames.map { it.value })))
    }

    override suspend fun listMachines(): List<ListedMachine> {
        val all = ArrayList<ListedMachine>()
        var after = ""
        while (true) {
            val f =
                ok(
                    call(
                        HttpMethod.GET,
                        if (after.isEmpty()) "/rentals?page=500" else "/rentals?after=$after&page=500",
                        null,
                    ),
                ).fields()
            for (it in f.maps("hosts")) {
                val status =
                    when (it.text("status")) {
                        "booting" -> MachineStatus.BOOTING
                        "failed" -> MachineStatus.FAILED
                        else -> MachineStatus.RUNNING
                    }
                all +=
                    ListedMachine(
                        MachineName(it.text("uid")),
                        it.text("hosttype"),
                        it.text("hall"),
                        it.flag("reclaimable"),
                        status,
                        it.number("age_s").seconds,
                    )
            }
            if (!f.flag("has_next") || all.isEmpty()) return all
            after = all.last().name.value
        }
    }

    private fun ok(reply: Reply): Reply =
        if (reply.status == 200) {
            reply
        } else {
            throw ServiceUnavailableException("cloud answered ${reply.status} ${reply.body}")
        }

    private suspend fun call(
        method: HttpMethod,
        path: String,
        body: Any?,
    ): Reply {
        requests.take(1, urgent = false)
        return try {
            http.call(method, path, body, TIMEOUT)
        } catch (e: MalformedMessageException) {
            throw NoResponseException("cloud: ${e.message}")
        }
    }

    private companion object {
        val TIMEOUT = 5.seconds
    }
}
