package umberslip.sim

import umberslip.cloud.InstanceType
import kotlin.time.Duration.Companion.seconds

/**
 * The size of a simulated cluster. By default the key-value store has short pages and keeps few changes, so that small
 * clusters also read further pages and read all records again.
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
