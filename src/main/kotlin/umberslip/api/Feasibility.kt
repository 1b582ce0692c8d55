package umberslip.api

import umberslip.cloud.InstanceType
import umberslip.core.JobSpec
import umberslip.core.Shape
import umberslip.settings.TeamSettings

/** Checks whether a job can ever run. Pure. The reasons are part of the users' API. */
object Feasibility {
    const val UNKNOWN_TEAM = "unknown team"
    private const val EXCEEDS_QUOTA_LIMIT = "needs more than the team's limit"
    private const val UNKNOWN_ZONE = "no such zone"
    private const val NO_INSTANCE_TYPE = "a task fits no allowed machine type"

    /** The tolerance for rounding errors of products. */
    private const val EPSILON = 1e-6

    /** Returns why the job can never run, or null if it can. */
    fun infeasibilityReason(
        spec: JobSpec,
        teams: Map<String, TeamSettings>,
        instanceTypes: List<InstanceType>,
        zones: List<String>,
    ): String? {
        val team = teams[spec.team] ?: return UNKNOWN_TEAM
        if (exceedsQuotaLimit(spec, team)) return EXCEEDS_QUOTA_LIMIT
        val zoneExists = spec.zone == null || spec.zone in zones || instanceTypes.any { spec.zone in it.zones }
        if (!zoneExists) return UNKNOWN_ZONE
        return if (instanceTypes.any { fits(spec, it) }) null else NO_INSTANCE_TYPE
    }

    private fun exceedsQuotaLimit(
        spec: JobSpec,
        team: TeamSettings,
    ): Boolean {
        // All tasks of a gang or a daemon run at the same time, those of an array one after another if necessary.
        val concurrentTasks = if (spec.shape == Shape.ARRAY) 1 else spec.tasks
        if (team.cpusMax != null && spec.cpus * concurrentTasks > team.cpusMax + EPSILON) return true
        return team.gpusMax != null && spec.gpus * concurrentTasks > team.gpusMax + EPSILON
    }

    private fun fits(
        spec: JobSpec,
        type: InstanceType,
    ): Boolean =
        (spec.instanceTypes == null || type.label in spec.instanceTypes) &&
            (spec.zone == null || type.zones.isEmpty() || spec.zone in type.zones) &&
            spec.cpus <= type.cpus + EPSILON &&
            spec.gpus <= type.gpus + EPSILON &&
            spec.memoryGb <= type.memoryGb + EPSILON
}
