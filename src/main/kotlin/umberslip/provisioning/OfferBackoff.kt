package umberslip.provisioning

import umberslip.cloud.CloudLimits
import umberslip.cloud.Offer
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Tracks which offers must not be requested for a while, because they had too little capacity or because the cloud
 * rejected a request for them. After a rejection, the next request for the offer asks for one machine, and the number
 * doubles after each success, because the number may be the reason for the rejection. Performs no I/O; time is an
 * input.
 */
internal class OfferBackoff {
    private class Rejections(
        val count: Int,
        val maxPerRequest: Int,
    )

    private val backedOffUntil = HashMap<Offer, Duration>()
    private val rejections = HashMap<Offer, Rejections>()

    /** Returns whether the offer must not be requested at [now]. */
    fun isBackedOff(
        offer: Offer,
        now: Duration,
    ): Boolean = (backedOffUntil[offer] ?: Duration.ZERO) > now

    /** Returns whether any offer is backed off because a request for it was rejected. */
    fun hasRejectedOffer(now: Duration): Boolean = rejections.keys.any { isBackedOff(it, now) }

    /** Returns the most machines to ask for in one request. */
    fun maxPerRequest(offer: Offer): Int = rejections[offer]?.maxPerRequest ?: CloudLimits.MACHINES_PER_REQUEST

    /** Backs off an offer that had fewer machines than requested. */
    fun onOutOfCapacity(
        offer: Offer,
        now: Duration,
    ) {
        backedOffUntil[offer] = now + CAPACITY_BACK_OFF
    }

    /** Raises the limit per request after all requested machines of the offer were provisioned. */
    fun onProvisioned(offer: Offer) {
        val previous = rejections[offer] ?: return
        val doubled = previous.maxPerRequest * 2
        if (doubled > CloudLimits.MACHINES_PER_REQUEST) {
            rejections.remove(offer)
        } else {
            rejections[offer] = Rejections(count = 0, doubled)
        }
    }

    /** Backs off an offer after a rejected request, for longer from the second rejection in a row on. */
    fun onRejected(
        offer: Offer,
        now: Duration,
    ) {
        val rejectionsBefore = rejections[offer]?.count ?: 0
        backedOffUntil[offer] = now + if (rejectionsBefore == 0) FIRST_REJECTION_BACK_OFF else REJECTION_BACK_OFF
        rejections[offer] = Rejections(rejectionsBefore + 1, maxPerRequest = 1)
    }

    /** Resets the state for a new leader's term. */
    fun clear() {
        backedOffUntil.clear()
        rejections.clear()
    }

    private companion object {
        /** Capacity seldom becomes available again sooner; other offers are used meanwhile. */
        val CAPACITY_BACK_OFF = 30.seconds
        val FIRST_REJECTION_BACK_OFF = 15.seconds

        /** Allows two attempts a minute, because every job should start within four minutes. */
        val REJECTION_BACK_OFF = 30.seconds
    }
}
