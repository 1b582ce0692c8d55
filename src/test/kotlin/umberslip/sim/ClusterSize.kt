package umberslip.sim

import umberslip.cloud.InstanceType
import kotlin.time.Duration.Companion.seconds

/**
 * How large a simulated cluster is. The small one has short pages and a short memory of changes, so that reading on
 * and reading everything again are exercised too.
 */
class ClusterSize(
    val machinesPerOffer: Int,
    val members: Int = 3,
    val pageItems: Int = 7,
    val changesKept: Int = 60,
    val instanceTypes: List<InstanceType> = TYPES,
) {
    companion object {
        val TYPES =
            listOf(
                InstanceType("small", 4.0, 0.0, 16.0, 1.0, 0.4, 0.2, 5.seconds, listOf("east", "west")),
                InstanceType("large", 16.0, 0.0, 64.0, 1.0, 1.5, 0.7, 5.seconds, listOf("east", "west")),
            )
    }
}
