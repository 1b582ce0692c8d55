package umberslip.provisioning

import org.slf4j.Logger
import umberslip.cloud.Cloud
import umberslip.cloud.Offer
import umberslip.core.Clock
import umberslip.leadership.LeaderLease
import umberslip.settings.Settings
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Sends provisioning requests. Each has a name of its own, under which the cloud carries it out once only; one with an
 * indeterminate outcome is sent again under the same name until it is resolved.
 */
internal class ProvisioningRequests(
    private val settings: Settings,
    private val cloud: Cloud,
    private val leaderLease: LeaderLease,
    private val booting: BootingMachines,
    private val clock: Clock,
    private val log: Logger,
) {
    /** Offers that had too little capacity, and until when they are not requested again. */
    private val backedOffUntil = HashMap<Offer, Duration>()
    private var ofTerm = RequestsOfTerm()

    private class NamedRequest(
        val name: String,
        val request: ProvisioningRequest,
    )

    /** What belongs to one term. A call that outlasts its term goes on with its own, which nobody else uses then. */
    private class RequestsOfTerm {
        val unresolved = ArrayDeque<NamedRequest>()
        var count = 0
    }

    /** Begins a leader's term; names have the term in them, so none is used again. */
    fun clear() {
        ofTerm = RequestsOfTerm()
        backedOffUntil.clear()
    }

    /** Whether [offer] lately had less capacity than was requested. */
    fun isBackedOff(
        offer: Offer,
        now: Duration,
    ): Boolean = (backedOffUntil[offer] ?: Duration.ZERO) > now

    /** Sends unresolved requests again, as long as the leader lease allows it. */
    suspend fun resolve() {
        val current = ofTerm
        while (current === ofTerm && current.unresolved.isNotEmpty() && leaderLease.mayStart(clock.now())) {
            send(current.unresolved.first())
            current.unresolved.removeFirst()
        }
    }

    /** Sends new requests, as long as the leader lease of [term] allows it. */
    suspend fun send(
        requests: List<ProvisioningRequest>,
        term: Long,
    ) {
        val current = ofTerm
        for (request in requests) {
            if (!maySend(current, term)) return
            val named = NamedRequest("${settings.member}-$term-${++current.count}", request)
            current.unresolved.addLast(named)
            send(named)
            current.unresolved.removeLast()
        }
    }

    /** Whether the term, which numbers its requests, is still that of the leader. */
    private fun maySend(
        requests: RequestsOfTerm,
        term: Long,
    ): Boolean = requests === ofTerm && leaderLease.term?.value == term && leaderLease.mayStart(clock.now())

    private suspend fun send(named: NamedRequest) {
        val request = named.request
        val names = cloud.provision(named.name, request.offer, request.number)
        val now = clock.now()
        if (names == null || names.size < request.number) backedOffUntil[request.offer] = now + BACK_OFF
        log.info(
            "machines provisioned: request={} got={} wanted={} offer={}",
            named.name,
            names?.size ?: 0,
            request.number,
            request.offer,
        )
        if (names.isNullOrEmpty()) return
        for (name in names) booting.add(BootingMachine(name, request.offer, now))
        booting.persist()
    }

    private companion object {
        /** Capacity seldom comes back sooner; other offers are used meanwhile. */
        val BACK_OFF = 30.seconds
    }
}
