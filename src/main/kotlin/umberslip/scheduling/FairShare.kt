package umberslip.scheduling

import umberslip.core.Priority

/**
 * Computes how many processors a team may claim for its work of one priority.
 *
 * The team may claim what its work requests within its guarantee. All guaranteed work and the other teams' work of
 * higher priority are deducted from the cluster's capacity. The rest is shared equally by the team and the other teams
 * that request more than what is deducted for them. The team's own work of higher priority is not deducted, since tasks
 * of one team free resources for one another. Pure.
 */
internal class FairShare(
    private val scheduler: SchedulerState,
    private val priority: Priority,
) {
    private val capacityCpus =
        scheduler.machines.values
            .filter { it.isUsable }
            .sumOf { it.capacity?.cpus ?: 0.0 }
    private val claims = scheduler.teams.values.associateWith(::claimOf)
    private val totalPrioritizedCpus = claims.values.sumOf { it.prioritizedCpus }
    private val sharingTeams = claims.values.count { it.wantsShare }

    /** The processors that a team's work requests. */
    private class Claim(
        val guaranteedCpus: Double,
        /** The larger of guaranteed work and work of higher priority; deducted from what the other teams share. */
        val prioritizedCpus: Double,
        /** Whether the team's work requests more than [prioritizedCpus], which gives it a part of the rest. */
        val wantsShare: Boolean,
    )

    /** Returns the processors that [team] may claim, including those of its guarantee. */
    fun cpusOf(team: Dispatcher): Double {
        val claim = claims[team] ?: return 0.0
        val prioritizedCpusOfOthers = totalPrioritizedCpus - claim.prioritizedCpus
        val sharedCpus = (capacityCpus - prioritizedCpusOfOthers - claim.guaranteedCpus).coerceAtLeast(0.0)
        val otherSharingTeams = sharingTeams - if (claim.wantsShare) 1 else 0
        val share = claim.guaranteedCpus + sharedCpus / (otherSharingTeams + 1)
        return team.quota.maxCpus?.let { minOf(share, it) } ?: share
    }

    private fun claimOf(team: Dispatcher): Claim {
        val jobs = scheduler.jobs.values.filter { it.spec.team == team.team.name }
        val requestedCpus = jobs.sumOf(::requestedCpus)
        val guaranteedCpus = minOf(requestedCpus, team.quota.guaranteedCpus)
        val higherPriorityCpus = jobs.filter { it.priority < priority }.sumOf(::requestedCpus)
        val prioritizedCpus = maxOf(guaranteedCpus, higherPriorityCpus)
        return Claim(guaranteedCpus, prioritizedCpus, requestedCpus > prioritizedCpus)
    }

    private fun requestedCpus(job: RunningJob): Double = (job.assigned.size + job.waiting) * job.resources.cpus
}
