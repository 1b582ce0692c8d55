package umberslip.provisioning

import umberslip.cloud.Offer
import umberslip.core.MachineName
import kotlin.time.Duration

/**
 * A machine that has been provisioned and has not sent a heartbeat yet. [requestedAt] is the time on the monotonic
 * clock at which it was requested. [isRunning] says whether the cloud lists it as running.
 */
data class BootingMachine(
    val name: MachineName,
    val offer: Offer,
    val requestedAt: Duration,
    val isRunning: Boolean = false,
)

/** A request for [number] machines of one offer, which may be more than the cloud accepts in one request. */
data class ProvisioningRequest(
    val offer: Offer,
    val number: Int,
)

/**
 * The capacity changes that the current work requires: the [requests] to send, the cheapest offers first for each group
 * of work, and the machines that are up but not needed ([surplus]). [unprovisioned] is the reason why some work has no
 * machine and gets none through the requests; null if there is no such work.
 */
class CapacityPlan(
    val requests: List<ProvisioningRequest>,
    val surplus: Set<MachineName>,
    val unprovisioned: UnprovisionedReason? = null,
)
