package umberslip.provisioning

import umberslip.core.MachineName
import umberslip.scheduling.PendingWork

/**
 * Finds the machines that a plan can do without, the most expensive first: those that are up with nothing on them and
 * no pending work planned for them, and others as long as the rest can take what runs and waits. Pure.
 */
internal class Surplus(
    private val demand: DemandModel,
) {
    /**
     * The surplus of a plan that has put [waiting] on [supply]; [busyCpus] are the processors in use on each machine.
     */
    fun of(
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
            // An empty machine that none of the pending work was planned for cannot help it.
            if (machine.isUsed && spareCpus < machine.resources.cpus * SPARE_FACTOR) continue
            spareCpus -= machine.resources.cpus
            surplus += name
        }
        return surplus
    }

    private companion object {
        /** A used machine is surplus only if this many times its processors are to spare. */
        const val SPARE_FACTOR = 1.15
    }
}
