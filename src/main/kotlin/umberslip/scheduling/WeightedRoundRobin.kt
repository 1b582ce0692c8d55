package umberslip.scheduling

/**
 * Turns among teams: smooth weighted round-robin, measured in dispatched processors. Teams below their guaranteed
 * quota go first; beyond the guarantees, only the teams with work of the highest priority take turns.
 */
object WeightedRoundRobin {
    /**
     * The dispatcher whose turn it is, each given with the job that it would place; null if there are none.
     * Charges the turn to its [Dispatcher.credit].
     */
    fun next(candidates: Map<Dispatcher, RunningJob>): Dispatcher? {
        if (candidates.isEmpty()) return null
        val turns = turns(candidates)
        val totalWeight = turns.sumOf { it.quota.weight }
        val chosen =
            turns.maxWith(
                compareBy<Dispatcher> {
                    it.credit + it.quota.weight / totalWeight * cpusOfTurn(candidates, it)
                }.thenBy { it.team.name },
            )
        val cpus = cpusOfTurn(candidates, chosen)
        for (team in turns) team.credit += team.quota.weight / totalWeight * cpus
        chosen.credit -= cpus
        return chosen
    }

    private fun turns(candidates: Map<Dispatcher, RunningJob>): Collection<Dispatcher> {
        val guaranteed = candidates.filter { (team, job) -> team.quota.isWithinGuarantee(job.resources) }.keys
        if (guaranteed.isNotEmpty()) return guaranteed
        val highest = candidates.values.minOf { it.priority }
        return candidates.filter { (_, job) -> job.priority == highest }.keys
    }

    private fun cpusOfTurn(
        candidates: Map<Dispatcher, RunningJob>,
        team: Dispatcher,
    ): Double = candidates[team]?.resources?.cpus?.coerceAtLeast(MIN_CPUS_OF_TURN) ?: 1.0

    /** A task that takes no processors still takes a turn. */
    private const val MIN_CPUS_OF_TURN = 0.1
}
