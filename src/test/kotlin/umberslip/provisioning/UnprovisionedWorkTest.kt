package umberslip.provisioning

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test
import org.slf4j.LoggerFactory
import umberslip.cloud.Offer
import kotlin.time.Duration.Companion.seconds

class UnprovisionedWorkTest {
    private val work = UnprovisionedWork(LoggerFactory.getLogger("umberslip.provisioning"))
    private val requestingPlan = CapacityPlan(listOf(ProvisioningRequest(Offer("small", "east", false), 1)), emptySet())
    private val unfulfillablePlan = CapacityPlan(emptyList(), emptySet(), UnprovisionedReason.NO_OFFER)
    private val emptyPlan = CapacityPlan(emptyList(), emptySet())

    private fun onPlan(
        plan: CapacityPlan,
        hasProvisioned: Boolean,
        second: Int,
    ) = work.onPlan(plan, hasProvisioned, hasRejectedOffer = false, second.seconds)

    @Test
    fun `the wait lasts through failures of every kind until machines are provisioned`() {
        work.onFailure(UnprovisionedReason.CLOUD_UNAVAILABLE, 1.seconds)
        assertEquals(null, work.since, "no work is known to wait")
        onPlan(requestingPlan, hasProvisioned = false, second = 2)
        work.onFailure(UnprovisionedReason.CLOUD_UNAVAILABLE, 20.seconds)
        onPlan(unfulfillablePlan, hasProvisioned = false, second = 30)
        assertEquals(2.seconds, work.since)
        onPlan(requestingPlan, hasProvisioned = true, second = 40)
        assertEquals(null, work.since)
    }

    @Test
    fun `the wait continues while machines are provisioned for other work only`() {
        onPlan(unfulfillablePlan, hasProvisioned = true, second = 5)
        assertEquals(5.seconds, work.since)
        onPlan(emptyPlan, hasProvisioned = false, second = 6)
        assertEquals(null, work.since)
    }

    @Test
    fun `the wait starts at the first failure if no plan could be made`() {
        work.onSnapshot(hasWaitingWork = true, 2.seconds)
        work.onFailure(UnprovisionedReason.CLOUD_UNAVAILABLE, 3.seconds)
        assertEquals(3.seconds, work.since)
        work.onSnapshot(hasWaitingWork = false, 9.seconds)
        assertEquals(null, work.since)
    }
}
