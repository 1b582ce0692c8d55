package umberslip.cloud

/** The paths, field names and values of the cloud's protocol. No other file contains them. */
internal object CloudProtocol {
    const val INSTANCE_TYPES_PATH = "/flavors"
    const val MACHINES_PATH = "/rentals"
    const val TERMINATE_PATH = "/rentals/release"

    // An instance type.
    const val INSTANCE_TYPES = "hosttypes"
    const val LABEL = "label"
    const val CPUS = "vcpus"
    const val GPUS = "accelerators"
    const val MEMORY_GB = "memory_gb"
    const val FETCH_GB_PER_SECOND = "pull_gb_per_s"
    const val PRICE = "rate"
    const val SPOT_PRICE = "market_price"
    const val BOOT_SECONDS = "boot_s"
    const val ZONES = "halls"

    // A provisioning request.
    const val REQUEST_NAME = "hire"
    const val NUMBER = "number"

    // A machine, in requests and in the list.
    const val MACHINES = "hosts"
    const val MACHINE_NAME = "uid"
    const val INSTANCE_TYPE = "hosttype"
    const val ZONE = "hall"
    const val SPOT = "reclaimable"
    const val STATUS = "status"
    const val AGE_SECONDS = "age_s"
    const val HAS_NEXT_PAGE = "has_next"

    // An error response.
    const val ERROR = "error"
    const val NO_CAPACITY = "no capacity"

    /** Parses the status of a machine; an unknown status counts as running. */
    fun machineStatus(name: String): MachineStatus =
        when (name) {
            "booting" -> MachineStatus.BOOTING
            "failed" -> MachineStatus.FAILED
            else -> MachineStatus.RUNNING
        }

    /**
     * Returns the path of the list page that follows the machine named [after]; for the first page, the name is empty.
     */
    fun pagePath(after: String): String {
        if (after.isEmpty()) return "$MACHINES_PATH?page=${CloudLimits.MACHINES_PER_PAGE}"
        return "$MACHINES_PATH?after=$after&page=${CloudLimits.MACHINES_PER_PAGE}"
    }
}
