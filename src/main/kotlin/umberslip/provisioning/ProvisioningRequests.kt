package umberslip.provisioning

import org.slf4j.Logger
import umberslip.cloud.Cloud
import umberslip.cloud.Offer
import umberslip.core.Clock
import umberslip.core.MachineName
import umberslip.http.NoResponseException
import umberslip.http.RequestRejectedException
import umberslip.http.ServiceUnavailableException
import umberslip.leadership.LeaderLease
import umberslip.settings.Settings
import kotlin.time.Duration

/**
 * Sends provisioning requests. Each request has a unique name, under which the cloud carries it out only once.
 *
 * A request with an indeterminate outcome is sent again under the same name until it is resolved. A rejected request is
 * not sent again; its offer is backed off, and the other requests are still sent. A request that was refused for now
 * ends the round and is dropped, unless an earlier attempt may have been carried out. The next plan decides what is
 * needed then.
 */
internal class ProvisioningRequests(
    private val settings: Settings,
    private val cloud: Cloud,
    private val leaderLease: LeaderLease,
    private val booting: BootingMachines,
    private val clock: Clock,
    private val metrics: ProvisioningMetrics,
    private val log: Logger,
) {
    private val backoff = OfferBackoff()
    private var currentRequests = TermRequests()

    /**
     * The requests of one term. A call that is still running when its term has ended keeps using this object, and no
     * other call uses it any more.
     */
    private class TermRequests {
        val unresolved = UnresolvedRequests()
        var requestCount = 0
    }

    /** How many machines the cloud has provisioned for this controller in all of its terms. */
    var machinesProvisioned = 0
        private set

    val unresolvedCount: Int get() = currentRequests.unresolved.size

    /** When the oldest unresolved request was first sent; null if there is none. */
    val unresolvedSince: Duration? get() = currentRequests.unresolved.oldestSentAt

    /** Resets the state for a new leader's term. Request names contain the term, so no name is used again. */
    fun clear() {
        currentRequests = TermRequests()
        backoff.clear()
    }

    /** Returns whether [offer] recently had less capacity than requested, or a request for it was rejected. */
    fun isBackedOff(
        offer: Offer,
        now: Duration,
    ): Boolean = backoff.isBackedOff(offer, now)

    /** Returns whether any offer is backed off because a request for it was rejected. */
    fun hasRejectedOffer(now: Duration): Boolean = backoff.hasRejectedOffer(now)

    /** Returns the machines that unresolved requests may have provisioned; plans count them as booting. */
    fun expectedMachines(now: Duration): List<ProvisioningRequest> = currentRequests.unresolved.expectedMachines(now)

    /** Sends the unresolved requests that are due again, as long as the leader lease permits it. */
    suspend fun resendUnresolved() {
        val initialRequests = currentRequests
        for (named in initialRequests.unresolved.dueRequests(clock.now())) {
            if (initialRequests !== currentRequests || !leaderLease.mayStart(clock.now())) return
            send(named, initialRequests)
        }
    }

    /** Sends new requests, as long as the leader lease of [term] permits it. */
    suspend fun send(
        requests: List<ProvisioningRequest>,
        term: Long,
    ) {
        val initialRequests = currentRequests
        for (request in requests) {
            var open = request.number
            // The loop ends early if an earlier part exhausted the capacity or was rejected.
            while (open > 0 && !isBackedOff(request.offer, clock.now())) {
                if (!maySend(initialRequests, term)) return
                val part = request.copy(number = minOf(open, backoff.maxPerRequest(request.offer)))
                send(
                    NamedRequest("${settings.member}-$term-${++initialRequests.requestCount}", part, clock.now()),
                    initialRequests,
                )
                open -= part.number
            }
        }
    }

    /**
     * Returns whether [requests] and [term], from which request names are built, are still current and the lease
     * permits requests.
     */
    private fun maySend(
        requests: TermRequests,
        term: Long,
    ): Boolean = requests === currentRequests && leaderLease.term?.value == term && leaderLease.mayStart(clock.now())

    private suspend fun send(
        named: NamedRequest,
        termRequests: TermRequests,
    ) {
        termRequests.unresolved.startAttempt(named, clock.now())
        try {
            val names = cloud.provision(named.name, named.request.offer, named.request.number).orEmpty().distinct()
            termRequests.unresolved.resolve(named)
            onProvisioned(named, names)
        } catch (e: RequestRejectedException) {
            termRequests.unresolved.resolve(named)
            onRejected(named, e.message)
        } catch (e: ServiceUnavailableException) {
            // This attempt was certainly not carried out, but an earlier one may have been.
            if (!termRequests.unresolved.wasRepeated(named)) termRequests.unresolved.resolve(named)
            reportOutcome(named, ProvisioningOutcome.REFUSED, provisioned = 0, e.message)
            throw e
        } catch (e: NoResponseException) {
            reportOutcome(named, ProvisioningOutcome.INDETERMINATE, provisioned = 0, e.message)
            throw e
        }
    }

    private suspend fun onProvisioned(
        named: NamedRequest,
        names: List<MachineName>,
    ) {
        val request = named.request
        val now = clock.now()
        reportOutcome(named, outcomeOf(names.size, request.number), names.size, reason = null)
        if (names.size < request.number) {
            backoff.onOutOfCapacity(request.offer, now)
        } else {
            backoff.onProvisioned(request.offer)
        }
        if (names.isEmpty()) return
        machinesProvisioned += names.size
        for (name in names) booting.add(BootingMachine(name, request.offer, now))
        booting.persist()
    }

    private fun onRejected(
        named: NamedRequest,
        reason: String?,
    ) {
        val request = named.request
        metrics.count(ProvisioningOutcome.REJECTED)
        backoff.onRejected(request.offer, clock.now())
        log.error(
            "provisioning request rejected: request={} type={} zone={} spot={} wanted={} reason={}",
            named.name,
            request.offer.type,
            request.offer.zone,
            request.offer.spot,
            request.number,
            reason,
        )
    }

    private fun outcomeOf(
        provisioned: Int,
        requested: Int,
    ): ProvisioningOutcome =
        when {
            provisioned == 0 -> ProvisioningOutcome.NO_CAPACITY
            provisioned < requested -> ProvisioningOutcome.PARTLY_PROVISIONED
            else -> ProvisioningOutcome.PROVISIONED
        }

    private fun reportOutcome(
        named: NamedRequest,
        outcome: ProvisioningOutcome,
        provisioned: Int,
        reason: String?,
    ) {
        metrics.count(outcome)
        val request = named.request
        log.info(
            "provisioning request: request={} type={} zone={} spot={} wanted={} got={} outcome={} reason={}",
            named.name,
            request.offer.type,
            request.offer.zone,
            request.offer.spot,
            request.number,
            provisioned,
            outcome,
            reason,
        )
    }
}
