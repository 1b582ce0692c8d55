package umberslip.scheduling

import umberslip.core.JobSpec
import umberslip.settings.Objective
import kotlin.time.Duration
import kotlin.time.Duration.Companion.hours
import kotlin.time.Duration.Companion.seconds

/** Computes by when jobs should be done, from the operators' service-level objectives and the jobs' deadlines. Pure. */
class JobObjectives(
    private val objectives: List<Objective>,
) {
    /**
     * Returns the objective deadlines of a job, the earliest first; there is at least one. The objectives of the job's
     * class count from [runnableSince]. The job's own deadline counts from [submittedAt], even if dependencies blocked
     * the job for some of that time.
     */
    fun objectiveDeadlines(
        spec: JobSpec,
        submittedAt: Duration,
        runnableSince: Duration,
    ): List<Duration> {
        val jobDeadlines = deadlines(spec, submittedAt)
        val classDeadlines = objectives.mapNotNull { deadlineOf(it, spec, runnableSince) }
        val fromObjectives = if (deadlineFactors(spec).isEmpty()) classDeadlines else classDeadlines + jobDeadlines
        return fromObjectives.ifEmpty { jobDeadlines }.ifEmpty { listOf(runnableSince + DEFAULT_DEADLINE) }.sorted()
    }

    /**
     * Returns the job's own deadline, multiplied by the factor of each deadline objective of its class, or as it is if
     * there is no such objective. Empty if the job has no deadline.
     */
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
            // The expected run time is added, since the objective applies to the start and the result to the end.
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
        /**
         * Applies to jobs with neither a deadline nor an objective. They come after those that have one, in the order
         * in which they become runnable.
         */
        val DEFAULT_DEADLINE = 1.hours
    }
}
