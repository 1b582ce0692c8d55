package umberslip.scheduling

import umberslip.core.Resources
import umberslip.settings.TeamSettings

/** The resources allocated to a team's tasks, compared with the team's guaranteed quota and quota limit. */
class TeamQuota(
    private val settings: TeamSettings,
) {
    val guaranteedCpus: Double get() = settings.cpus

    /** The limit on processors; null if the team may use all of the cluster's processors. */
    val maxCpus: Double? get() = settings.cpusMax
    var usedCpus = 0.0
        private set
    var usedGpus = 0.0
        private set

    /** The team's weight in the round-robin: its guaranteed processors, but at least [MIN_WEIGHT]. */
    val weight: Double = settings.cpus.coerceAtLeast(MIN_WEIGHT)

    /** Adds the resources of a task that was placed. */
    fun allocate(resources: Resources) {
        usedCpus += resources.cpus
        usedGpus += resources.gpus
    }

    /** Subtracts the resources of a task that was taken off its machine. */
    fun deallocate(resources: Resources) {
        usedCpus -= resources.cpus
        usedGpus -= resources.gpus
    }

    /** Whether the team stays within its limit if [resources] are allocated in addition. */
    fun isWithinLimit(resources: Resources): Boolean =
        (settings.cpusMax == null || usedCpus + resources.cpus <= settings.cpusMax + ROUNDING_TOLERANCE) &&
            (settings.gpusMax == null || usedGpus + resources.gpus <= settings.gpusMax + ROUNDING_TOLERANCE)

    /** Whether the team has a guarantee and stays within it if [resources] are allocated in addition. */
    fun isWithinGuarantee(resources: Resources): Boolean =
        (settings.cpus > 0 || settings.gpus > 0) &&
            usedCpus + resources.cpus <= settings.cpus + ROUNDING_TOLERANCE &&
            usedGpus + resources.gpus <= settings.gpus + ROUNDING_TOLERANCE

    private companion object {
        const val MIN_WEIGHT = 1.0

        /** Tolerance for rounding errors in sums of fractions. */
        const val ROUNDING_TOLERANCE = 1e-6
    }
}
