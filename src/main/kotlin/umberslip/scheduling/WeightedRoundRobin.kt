package umberslip.scheduling

/**
 * Turns among teams: smooth weighted round-robin, by the processors dispatched. Teams below their
 * guarantee go first; beyond the guarantees, only the teams with the highest priority work take turns.
 */
object WeightedRoundRobin {
    fun next(candidates: Map<Dispatcher, RunningJob>): Dispatcher? {
        if (candidates.isEmpty()) return null
        val owed = candidates.filter { (team, job) -> team.withinGuarantee(job.resources) }.keys
        val urgent = candidates.values.minOf { it.priority }
        val among = owed.ifEmpty { candidates.filter { (_, job) -> job.priority == urgent }.keys }
        val chosen =
            among.maxWith(
                compareBy<Dispatcher> {
                    it.credit + it.weight / total(among) * cost(candidates, it)
                }.thenBy { it.team.name },
            )
        val cost = cost(candidates, chosen)
        for (team in among) team.credit += team.weight / total(among) * cost
        chosen.credit -= cost
        return chosen
    }

    private fun total(teams: Collection<Dispatcher>): Double = teams.sumOf { it.weight }

    private fun cost(
        candidates: Map<Dispatcher, RunningJob>,
        team: Dispatcher,
    ): Double = candidates[team]?.resources?.cpus?.coerceAtLeast(LEAST_CPUS) ?: 1.0

    /** A task that takes no processors still takes a turn. */
    private const val LEAST_CPUS = 0.1
}
