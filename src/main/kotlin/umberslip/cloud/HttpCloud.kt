package umberslip.cloud

import io.netty.handler.codec.http.HttpMethod
import umberslip.core.MachineName
import umberslip.http.Fields
import umberslip.http.HttpClient
import umberslip.http.MalformedMessageException
import umberslip.http.NoResponseException
import umberslip.http.RateLimitedException
import umberslip.http.Reply
import umberslip.http.RequestRejectedException
import umberslip.http.ServiceUnavailableException
import umberslip.store.RateLimiter
import kotlin.time.Duration.Companion.seconds

/** The cloud over HTTP. Requests wait for [rateLimiter], so that they keep to the cloud's rate limit. */
class HttpCloud(
    private val http: HttpClient,
    private val rateLimiter: RateLimiter,
) : Cloud {
    override suspend fun instanceTypes(): List<InstanceType> {
        val reply = requireOk(call(HttpMethod.GET, CloudProtocol.INSTANCE_TYPES_PATH, null))
        return InstanceTypeReader.read(reply.fields())
    }

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
        if (number !in 1..CloudLimits.MACHINES_PER_REQUEST) throw RequestRejectedException("not sent: $number machines")
        val reply = call(HttpMethod.POST, CloudProtocol.MACHINES_PATH, body)
        if (isNoCapacity(reply)) return null
        try {
            return (requireOk(reply).fields().textsOrNull(CloudProtocol.MACHINES) ?: emptyList()).map(::MachineName)
        } catch (e: MalformedMessageException) {
            // It is unknown which machines were provisioned; the list will show them.
            throw NoResponseException("malformed response from the cloud: ${e.message}")
        }
    }

    private fun isNoCapacity(reply: Reply): Boolean {
        if (reply.status != 503) return false
        return (reply.body as? Map<*, *>)?.get(CloudProtocol.ERROR) == CloudProtocol.NO_CAPACITY
    }

    override suspend fun terminate(machineNames: List<MachineName>) {
        if (machineNames.size > CloudLimits.MACHINES_PER_TERMINATION) {
            throw RequestRejectedException("not sent: ${machineNames.size} machines exceed the limit")
        }
        val body = mapOf(CloudProtocol.MACHINES to machineNames.map { it.value })
        requireOk(call(HttpMethod.POST, CloudProtocol.TERMINATE_PATH, body))
    }

    override suspend fun listMachines(): List<ListedMachine> {
        val machines = ArrayList<ListedMachine>()
        var after = ""
        while (true) {
            val page = requireOk(call(HttpMethod.GET, CloudProtocol.pagePath(after), null)).fields()
            val machinesOnPage = page.maps(CloudProtocol.MACHINES).map(::listedMachine)
            machines += machinesOnPage
            if (!page.flag(CloudProtocol.HAS_NEXT_PAGE) || machinesOnPage.isEmpty()) return machines
            after = machinesOnPage.last().name.value
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
        val answer = "cloud answered ${reply.status} ${reply.body}"
        when (reply.status) {
            200 -> return reply
            429 -> throw RateLimitedException(answer)
            503 -> throw ServiceUnavailableException(answer)
            in CLIENT_ERRORS -> throw RequestRejectedException(answer)
            // The protocol defines no other status, so the outcome of the request is unknown.
            else -> throw NoResponseException(answer)
        }
    }

    private suspend fun call(
        method: HttpMethod,
        path: String,
        body: Any?,
    ): Reply {
        rateLimiter.take(1, urgent = false)
        return try {
            http.call(method, path, body, TIMEOUT)
        } catch (e: MalformedMessageException) {
            // Whatever the response was, the request may have been carried out.
            throw NoResponseException("malformed response from the cloud: ${e.message}")
        }
    }

    private companion object {
        val CLIENT_ERRORS = 400..499

        /** Longer than the cloud takes to respond, except during outages. */
        val TIMEOUT = 5.seconds
    }
}
