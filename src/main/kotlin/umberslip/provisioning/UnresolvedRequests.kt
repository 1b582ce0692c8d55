package umberslip.provisioning

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** A provisioning request with the unique name under which the cloud carries it out only once. */
internal class NamedRequest(
    val name: String,
    val request: ProvisioningRequest,
    val firstSentAt: Duration,
)

/**
 * The requests of one term whose outcome is unknown, each kept until the cloud reports its outcome. A request that
 * remains without an answer is sent again at growing intervals, so that it does not keep other requests from being
 * sent. Performs no I/O; time is an input.
 */
internal class UnresolvedRequests {
    private class Attempts(
        val count: Int,
        val nextAt: Duration,
    )

    private val requests = LinkedHashMap<NamedRequest, Attempts>()

    val size: Int get() = requests.size

    /** When the oldest request was first sent; null if there is none. */
    val oldestSentAt: Duration? get() = requests.keys.minOfOrNull { it.firstSentAt }

    /** Returns the requests that are due to be sent again, the oldest first. */
    fun dueRequests(now: Duration): List<NamedRequest> = requests.filterValues { it.nextAt <= now }.keys.toList()

    /** Notes that [request] is about to be sent. Until it is resolved, it counts as possibly carried out. */
    fun startAttempt(
        request: NamedRequest,
        now: Duration,
    ) {
        val attempts = requests[request]?.count ?: 0
        val wait =
            if (attempts == 0) Duration.ZERO else FIRST_RETRY * (1 shl (attempts - 1).coerceAtMost(MAX_DOUBLINGS))
        requests[request] = Attempts(attempts + 1, now + wait)
    }

    /** Returns whether the request was sent more than once. If so, an earlier attempt may have been carried out. */
    fun wasRepeated(request: NamedRequest): Boolean = (requests[request]?.count ?: 0) > 1

    /** Removes a request whose outcome is known. */
    fun resolve(request: NamedRequest) {
        requests.remove(request)
    }

    /**
     * Returns the machines that these requests may have provisioned and that are not visible otherwise yet. Requests
     * that are older than [EXPECTED_FOR] do not count: if they had been carried out, the cloud's list would show the
     * machines.
     */
    fun expectedMachines(now: Duration): List<ProvisioningRequest> {
        val recent = requests.keys.filter { now - it.firstSentAt < EXPECTED_FOR }
        return recent.map { it.request }
    }

    private companion object {
        val FIRST_RETRY = 5.seconds
        const val MAX_DOUBLINGS = 4

        /** Long enough for a first attempt with its time-out, and for a second attempt. */
        val EXPECTED_FOR = 15.seconds
    }
}
