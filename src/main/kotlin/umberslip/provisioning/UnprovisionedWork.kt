package umberslip.provisioning

import org.slf4j.Logger
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** The reason why work waits and no machine is provisioned for it. */
enum class UnprovisionedReason {
    /** The cloud refuses requests or does not respond. */
    CLOUD_UNAVAILABLE,

    /** The cloud rejected requests because of their content. */
    REQUEST_REJECTED,

    /** The cloud offers suitable machines, but has no capacity for any of them at present. */
    NO_CAPACITY,

    /** The cloud offers no suitable instance type in a suitable zone. */
    NO_OFFER,

    /** The leader lease does not permit provisioning at present. */
    NO_LEADER_LEASE,
}

/**
 * Tracks since when work has waited for machines while none was provisioned for it. Logs the wait once it has lasted
 * for [LOG_DELAY], and again whenever the reason changes.
 */
internal class UnprovisionedWork(
    private val log: Logger,
) {
    /** When the wait began; null while all demand is met or being met. */
    var since: Duration? = null
        private set

    /** Whether work waits for machines. Until the next plan, any waiting work in a new snapshot counts. */
    private var needsMachines = false
    private var loggedReason: UnprovisionedReason? = null

    /** Handles a new snapshot. Only the plan that follows tells whether the waiting work needs machines. */
    fun onSnapshot(
        hasWaitingWork: Boolean,
        now: Duration,
    ) {
        needsMachines = hasWaitingWork
        if (!hasWaitingWork) endWait(now)
    }

    /**
     * Handles a plan that was made and carried out. [hasProvisioned] says whether machines were provisioned, and
     * [hasRejectedOffer] whether offers are backed off because of rejected requests.
     */
    fun onPlan(
        plan: CapacityPlan,
        hasProvisioned: Boolean,
        hasRejectedOffer: Boolean,
        now: Duration,
    ) {
        needsMachines = plan.requests.isNotEmpty() || plan.unprovisioned != null
        if (plan.unprovisioned == null && (hasProvisioned || plan.requests.isEmpty())) {
            endWait(now)
            return
        }
        val reason = plan.unprovisioned ?: UnprovisionedReason.NO_CAPACITY
        val isRejected = reason == UnprovisionedReason.NO_CAPACITY && hasRejectedOffer
        continueWait(if (isRejected) UnprovisionedReason.REQUEST_REJECTED else reason, now)
    }

    /** Handles a round in which nothing could be provisioned because of [reason]. */
    fun onFailure(
        reason: UnprovisionedReason,
        now: Duration,
    ) {
        if (needsMachines) continueWait(reason, now)
    }

    private fun endWait(now: Duration) {
        val began = since ?: return
        if (loggedReason != null) log.info("work no longer waits for machines: waited={}", now - began)
        clear()
    }

    private fun continueWait(
        reason: UnprovisionedReason,
        now: Duration,
    ) {
        val began = since ?: now.also { since = it }
        if (reason == loggedReason || now - began < LOG_DELAY) return
        loggedReason = reason
        log.warn("work waits and no machine is provisioned: reason={} for={}", reason, now - began)
    }

    /** Resets the state for a new leader's term. */
    fun clear() {
        since = null
        needsMachines = false
        loggedReason = null
    }

    private companion object {
        /** A wait in which only a single request fails and is repeated lasts no longer than this and is not logged. */
        val LOG_DELAY = 10.seconds
    }
}
