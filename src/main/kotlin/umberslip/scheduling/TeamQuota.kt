package umberslip.scheduling

import umberslip.core.Resources
import umberslip.settings.TeamSettings

/** What a team's tasks have allocated, against its guaranteed quota and its quota limit. */
class TeamQuota(
    private val settings: TeamSettings,
) {
    val guaranteedCpus: Double get() = settings.cpus

    /** Null if the team may use all there are. */
    val maxCpus: Double? get() = settings.cpusMax
    var usedCpus = 0.0
        private set
    var usedGpus = 0.0
        private set

    /** The team's weight in the round-robin. Without a guarantee it has that of the smallest unit. */
    val weight: Double = settings.cpus.coerceAtLeast(MIN_WEIGHT)

    /** A task was placed. */
    fun allocate(resources: Resources) {
        usedCpus += resources.cpus
        usedGpus += resources.gpus
    }

    /** A task is off its machine. */
    fun deallocate(resources: Resources) {
        usedCpus -= resources.cpus
        usedGpus -= resources.gpus
    }

    /** Whether the limit allows [resources] more. */
    fun isWithinLimit(resources: Resources): Boolean =
        (settings.cpusMax == null || usedCpus + resources.cpus <= settings.cpusMax + ROUNDING) &&
            (settings.gpusMax == null || usedGpus + resources.gpus <= settings.gpusMax + ROUNDING)

    /** Whether the team has a guarantee and is within it with [resources] more. */
    fun isWithinGuarantee(resources: Resources): Boolean =
        (settings.cpus > 0 || settings.gpus > 0) &&
            usedCpus + resources.cpus <= settings.cpus + ROUNDING &&
            usedGpus + resources.gpus <= settings.gpus + ROUNDING

    private companion object {
        const val MIN_WEIGHT = 1.0

        /** Sums of fractions are rounded; a difference below this is none. */
        const val ROUNDING = 1e-6
    }
}
