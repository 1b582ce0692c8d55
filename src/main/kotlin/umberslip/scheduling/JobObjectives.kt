package umberslip.scheduling

import umberslip.core.JobSpec
import umberslip.settings.Objective
import kotlin.time.Duration
import kotlin.time.Duration.Companion.hours
import kotlin.time.Duration.Companion.seconds

/**
 * By when jobs should be done, as the operators' objectives and the jobs' own deadlines say. Pure.
 */
class JobObjectives(
    private val objectives: List<Objective>,
) {
    /**
     * The objectiveDeadlines of a job, the earliest first; at least one. What the objectives say of its class counts
     * from [ready], when it could run; its own deadline counts from [submitted], however long it waited for others.
     */
    fun objectiveDeadlines(
        spec: JobSpec,
        submitted: Duration,
        ready: Duration,
    ): List<Duration> {
        val deadlines = deadlines(spec, submitted)
        val byClass = objectives.mapNotNull { target(it, spec, ready) }
        val named = if (deadlineTimes(spec).isEmpty()) byClass else byClass + deadlines
        return named.ifEmpty { deadlines }.ifEmpty { listOf(ready + NO_DUE) }.sorted()
    }

    /** The job's own deadline, once for each objective of its class that stretches it. */
    fun deadlines(
        spec: JobSpec,
        submitted: Duration,
    ): List<Duration> {
        val due = spec.deadlineSeconds ?: return emptyList()
        return deadlineTimes(spec).ifEmpty { listOf(1.0) }.map { submitted + (due * it).seconds }
    }

    private fun target(
        objective: Objective,
        spec: JobSpec,
        ready: Duration,
    ): Duration? =
        when (objective) {
            is Objective.Finished -> (ready + objective.within).takeIf { objective.jobClass == spec.jobClass }
            // A task that starts in time is done in time if it runs as long as expected.
            is Objective.Started ->
                (ready + objective.within + spec.expectedSeconds.seconds)
                    .takeIf { objective.jobClass == spec.jobClass }
            is Objective.Deadline, is Objective.Guarantee -> null
        }

    private fun deadlineTimes(spec: JobSpec): List<Double> {
        val deadlines = objectives.filterIsInstance<Objective.Deadline>()
        return deadlines.filter { it.jobClass == spec.jobClass }.map { it.times }
    }

    private companion object {
        val NO_DUE = 1.hours
    }
}
