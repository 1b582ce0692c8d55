package umberslip.cloud

import umberslip.core.MachineName
import umberslip.core.Resources
import kotlin.time.Duration

/** A kind of machine as the cloud describes it; prices are per hour. [boot] is the usual time until it is up. */
data class InstanceType(
    val label: String,
    val cpus: Double,
    val gpus: Double,
    val memoryGb: Double,
    val fetchGbPerSecond: Double,
    val price: Double,
    val spotPrice: Double,
    val boot: Duration,
    val zones: List<String>,
) {
    /** All that a machine of this type has to offer. */
    val resources: Resources get() = Resources(cpus, gpus, memoryGb)
}

/** What can be provisioned: an instance type in a zone, as a spot instance or an ordinary machine. */
data class Offer(
    val type: String,
    val zone: String,
    val spot: Boolean,
)

/** The state of a machine in the cloud's list. */
enum class MachineStatus {
    BOOTING,
    RUNNING,

    /** It stopped on its own, costs nothing, and is listed until it is terminated. */
    FAILED,
}

/** A machine in the cloud's list; [age] is the time from its request to when the list was true. */
data class ListedMachine(
    val name: MachineName,
    val type: String,
    val zone: String,
    val spot: Boolean,
    val status: MachineStatus,
    val age: Duration,
)
