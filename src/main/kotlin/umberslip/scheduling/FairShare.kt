package umberslip.scheduling

import umberslip.core.Priority

/**
 * What a team may claim for its work of one priority: its guarantee, and an equal part of what remains of the cluster
 * after all guaranteed work and the other teams' work of higher priority, beside the other teams that want more, too.
 * The team's own work of higher priority is not deducted: a team's tasks make room for one another. Pure.
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
    private val claimedFirstCpus = claims.values.sumOf { it.firstCpus }
    private val claimants = claims.values.count { it.wantsMore }

    /** What a team's work wants of the cluster, in processors. */
    private class Claim(
        val guaranteedCpus: Double,
        /** What comes before that which teams share: guaranteed work and work of higher priority. */
        val firstCpus: Double,
        /** Whether it wants more than that. */
        val wantsMore: Boolean,
    )

    /** Processors that [team] may claim, those of its guarantee included. */
    fun cpusOf(team: Dispatcher): Double {
        val claim = claims[team] ?: return 0.0
        val firstOfOthers = claimedFirstCpus - claim.firstCpus
        val sharedCpus = (capacityCpus - firstOfOthers - claim.guaranteedCpus).coerceAtLeast(0.0)
        val otherClaimants = claimants - if (claim.wantsMore) 1 else 0
        val share = claim.guaranteedCpus + sharedCpus / (otherClaimants + 1)
        return team.quota.maxCpus?.let { minOf(share, it) } ?: share
    }

    private fun claimOf(team: Dispatcher): Claim {
        val jobs = scheduler.jobs.values.filter { it.spec.team == team.team.name }
        val wantedCpus = jobs.sumOf(::wantedCpus)
        val guaranteedCpus = minOf(wantedCpus, team.quota.guaranteedCpus)
        val higherPriorityCpus = jobs.filter { it.priority < priority }.sumOf(::wantedCpus)
        val firstCpus = maxOf(guaranteedCpus, higherPriorityCpus)
        return Claim(guaranteedCpus, firstCpus, wantedCpus > firstCpus)
    }

    private fun wantedCpus(job: RunningJob): Double = (job.assigned.size + job.waiting) * job.resources.cpus
}
