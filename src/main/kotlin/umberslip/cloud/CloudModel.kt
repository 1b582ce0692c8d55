package umberslip.cloud

import umberslip.core.MachineName
import umberslip.core.Resources
import kotlin.time.Duration

/** A type of machine as the cloud describes it. Prices are per hour; [boot] is the usual time until a machine is up. */
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
    /** The total resources of a machine of this type. */
    val resources: Resources get() = Resources(cpus, gpus, memoryGb)
}

/** A choice for provisioning: an instance type in a zone, as a spot instance or as an ordinary machine. */
data class Offer(
    val type: String,
    val zone: String,
    val spot: Boolean,
)

/** The state of a machine in the cloud's list. */
enum class MachineStatus {
    BOOTING,
    RUNNING,

    /** The machine stopped on its own. It costs nothing and is listed until it is terminated. */
    FAILED,
}

/** A machine in the cloud's list. [age] is the time from its request to the moment that the list describes. */
data class ListedMachine(
    val name: MachineName,
    val type: String,
    val zone: String,
    val spot: Boolean,
    val status: MachineStatus,
    val age: Duration,
)
