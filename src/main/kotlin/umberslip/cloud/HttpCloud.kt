package umberslip.cloud

import io.netty.handler.codec.http.HttpMethod
import umberslip.core.MachineName
import umberslip.http.Fields
import umberslip.http.HttpClient
import umberslip.http.MalformedMessageException
import umberslip.http.NoResponseException
import umberslip.http.Reply
import umberslip.http.ServiceUnavailableException
import umberslip.store.RateLimiter
import kotlin.time.Duration.Companion.seconds

/** The cloud over HTTP. Requests wait for [requests], so that the cloud's rate limit is respected. */
class HttpCloud(
    private val http: HttpClient,
    private val requests: RateLimiter,
) : Cloud {
    override suspend fun instanceTypes(): List<InstanceType> =
        requireOk(call(HttpMethod.GET, CloudProtocol.INSTANCE_TYPES_PATH, null))
            .fields()
            .maps(CloudProtocol.INSTANCE_TYPES)
            .map(::instanceType)

    private fun instanceType(fields: Fields) =
        InstanceType(
            label = fields.text(CloudProtocol.LABEL),
            cpus = fields.number(CloudProtocol.CPUS),
            gpus = fields.numberOrNull(CloudProtocol.GPUS) ?: 0.0,
            memoryGb = fields.number(CloudProtocol.MEMORY_GB),
            fetchGbPerSecond = fields.numberOrNull(CloudProtocol.FETCH_GB_PER_SECOND) ?: 1.0,
            price = fields.number(CloudProtocol.PRICE),
            spotPrice = fields.number(CloudProtocol.SPOT_PRICE),
            boot = fields.number(CloudProtocol.BOOT_SECONDS).seconds,
            zones = fields.textsOrNull(CloudProtocol.ZONES) ?: emptyList(),
        )

    override suspend fun provision(
        name: String,
        offer: Offer,
        number: Int,
    ): List<MachineName>? {
        val body =
            mapOf(
                CloudProtocol.REQUEST_NAME to name,
                CloudProtocol.INSTANCE_TYPE to offer.type,
                CloudProtocol.ZONE to offer.zone,
                CloudProtocol.SPOT to offer.spot,
                CloudProtocol.NUMBER to number,
            )
        val reply = call(HttpMethod.POST, CloudProtocol.MACHINES_PATH, body)
        if (isNoCapacity(reply)) return null
        return (requireOk(reply).fields().textsOrNull(CloudProtocol.MACHINES) ?: emptyList()).map(::MachineName)
    }

    private fun isNoCapacity(reply: Reply): Boolean {
        if (reply.status != 503) return false
        return reply.fields().textOrNull(CloudProtocol.ERROR) == CloudProtocol.NO_CAPACITY
    }

    override suspend fun terminate(machineNames: List<MachineName>) {
        val body = mapOf(CloudProtocol.MACHINES to machineNames.map { it.value })
        requireOk(call(HttpMethod.POST, CloudProtocol.TERMINATE_PATH, body))
    }

    override suspend fun listMachines(): List<ListedMachine> {
        val machines = ArrayList<ListedMachine>()
        var after = ""
        while (true) {
            val page = requireOk(call(HttpMethod.GET, CloudProtocol.pagePath(after), null)).fields()
            page.maps(CloudProtocol.MACHINES).mapTo(machines, ::listedMachine)
            if (!page.flag(CloudProtocol.HAS_NEXT_PAGE) || machines.isEmpty()) return machines
            after = machines.last().name.value
        }
    }

    private fun listedMachine(fields: Fields): ListedMachine {
        val status = CloudProtocol.machineStatus(fields.text(CloudProtocol.STATUS))
        return ListedMachine(
            name = MachineName(fields.text(CloudProtocol.MACHINE_NAME)),
            type = fields.text(CloudProtocol.INSTANCE_TYPE),
            zone = fields.text(CloudProtocol.ZONE),
            spot = fields.flag(CloudProtocol.SPOT),
            status = status,
            age = fields.number(CloudProtocol.AGE_SECONDS).seconds,
        )
    }

    private fun requireOk(reply: Reply): Reply {
        if (reply.status != 200) throw ServiceUnavailableException("cloud answered ${reply.status} ${reply.body}")
        return reply
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
            // Whatever was answered, the request may have been carried out.
            throw NoResponseException("cloud: ${e.message}")
        }
    }

    private companion object {
        /** Longer than the cloud takes when it works, outages aside. */
        val TIMEOUT = 5.seconds
    }
}
