package umberslip.provisioning

import umberslip.core.MachineName
import umberslip.scheduling.PendingWork

/**
 * Finds the machines that a plan does not need, the most expensive first. A machine with pending work planned for it is
 * needed. Of the other machines that are up, the empty ones are surplus, and those in use are surplus as long as the
 * remaining machines have enough processors for the running and the waiting work. Pure.
 */
internal class Surplus(
    private val demand: DemandModel,
) {
    /**
     * Returns the surplus machines of a plan that has assigned [waiting] to [supply]. [busyCpus] are the processors in
     * use on each machine.
     */
    fun find(
        supply: List<Supply>,
        busyCpus: Map<MachineName, Double>,
        waiting: List<PendingWork>,
    ): Set<MachineName> {
        val up = supply.filter { it.isUp }
        val waitingCpus = waiting.sumOf { it.tasks * demand.busyCpus(it.resources, it.seconds, demand.drainSeconds) }
        var spareCpus = up.sumOf { it.resources.cpus } - busyCpus.values.sum() - waitingCpus
        val surplus = HashSet<MachineName>()
        for (machine in up.sortedWith(compareBy({ -it.pricePerCpu }, { busyCpus[it.machineName] ?: 0.0 }))) {
            val name = machine.machineName
            if (name == null || machine.hasPendingWork) continue
            // An empty machine for which no pending work was planned is of no use to that work.
            if (machine.isUsed && spareCpus < machine.resources.cpus * SPARE_FACTOR) continue
            spareCpus -= machine.resources.cpus
            surplus += name
        }
        return surplus
    }

    private companion object {
        /** A machine in use is surplus only if this many times its processors are spare. */
        const val SPARE_FACTOR = 1.15
    }
}
