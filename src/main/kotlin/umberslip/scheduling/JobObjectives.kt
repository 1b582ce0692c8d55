package umberslip.scheduling

import umberslip.core.JobSpec
import umberslip.settings.Objective
import kotlin.time.Duration
import kotlin.time.Duration.Companion.hours
import kotlin.time.Duration.Companion.seconds

/** By when jobs should be done, by the operators' service-level objectives and the jobs' own deadlines. Pure. */
class JobObjectives(
    private val objectives: List<Objective>,
) {
    /**
     * The objective deadlines of a job, the earliest first; at least one. The objectives of its class count from
     * [runnableSince]; its own deadline counts from [submittedAt], however long it was blocked by dependencies.
     */
    fun objectiveDeadlines(
        spec: JobSpec,
        submittedAt: Duration,
        runnableSince: Duration,
    ): List<Duration> {
        val ownDeadlines = deadlines(spec, submittedAt)
        val ofClass = objectives.mapNotNull { deadlineOf(it, spec, runnableSince) }
        val named = if (deadlineFactors(spec).isEmpty()) ofClass else ofClass + ownDeadlines
        return named.ifEmpty { ownDeadlines }.ifEmpty { listOf(runnableSince + DEFAULT_DEADLINE) }.sorted()
    }

    /** The job's own deadline, once for each objective of its class that stretches it by a factor. */
    fun deadlines(
        spec: JobSpec,
        submittedAt: Duration,
    ): List<Duration> {
        val deadlineSeconds = spec.deadlineSeconds ?: return emptyList()
        return deadlineFactors(spec).ifEmpty { listOf(1.0) }.map { submittedAt + (deadlineSeconds * it).seconds }
    }

    private fun deadlineOf(
        objective: Objective,
        spec: JobSpec,
        runnableSince: Duration,
    ): Duration? =
        when (objective) {
            is Objective.Finished ->
                (runnableSince + objective.within).takeIf { objective.jobClass == spec.jobClass }
            // A task that starts in time ends in time if it runs as long as expected.
            is Objective.Started ->
                (runnableSince + objective.within + spec.expectedSeconds.seconds)
                    .takeIf { objective.jobClass == spec.jobClass }
            is Objective.Deadline, is Objective.Guarantee -> null
        }

    private fun deadlineFactors(spec: JobSpec): List<Double> {
        val deadlines = objectives.filterIsInstance<Objective.Deadline>()
        return deadlines.filter { it.jobClass == spec.jobClass }.map { it.factor }
    }

    private companion object {
        /** For jobs without any: they come after those that have one, in the order of their submission. */
        val DEFAULT_DEADLINE = 1.hours
    }
}
