package umberslip.scheduling

/**
 * Selects the team whose job is placed next by smooth weighted round-robin, measured in dispatched processors. Teams
 * within their guaranteed quota go first. Beyond the guarantees, only the teams with work of the highest priority take
 * turns.
 */
object WeightedRoundRobin {
    /**
     * Returns the dispatcher whose turn it is and charges the turn to its [Dispatcher.credit]; null if there are no
     * candidates. [candidates] maps each dispatcher to the job that it would place.
     */
    fun next(candidates: Map<Dispatcher, RunningJob>): Dispatcher? {
        if (candidates.isEmpty()) return null
        val eligibleTeams = eligibleTeams(candidates)
        val totalWeight = eligibleTeams.sumOf { it.quota.weight }
        val chosen =
            eligibleTeams.maxWith(
                compareBy<Dispatcher> {
                    it.credit + it.quota.weight / totalWeight * cpusOfTurn(candidates, it)
                }.thenBy { it.team.name },
            )
        val cpus = cpusOfTurn(candidates, chosen)
        for (team in eligibleTeams) team.credit += team.quota.weight / totalWeight * cpus
        chosen.credit -= cpus
        return chosen
    }

    private fun eligibleTeams(candidates: Map<Dispatcher, RunningJob>): Collection<Dispatcher> {
        val guaranteed = candidates.filter { (team, job) -> team.quota.isWithinGuarantee(job.resources) }.keys
        if (guaranteed.isNotEmpty()) return guaranteed
        val highest = candidates.values.minOf { it.priority }
        return candidates.filter { (_, job) -> job.priority == highest }.keys
    }

    private fun cpusOfTurn(
        candidates: Map<Dispatcher, RunningJob>,
        team: Dispatcher,
    ): Double = candidates[team]?.resources?.cpus?.coerceAtLeast(MIN_CPUS_OF_TURN) ?: 1.0

    /** The least that a turn is charged, so that tasks without processors use up turns as well. */
    private const val MIN_CPUS_OF_TURN = 0.1
}
