package umberslip.provisioning

import org.slf4j.Logger
import umberslip.scheduling.ClusterSnapshot
import umberslip.scheduling.MachineSnapshot

/**
 * Logs the capacity and its use in one line. All values are numbers of processors, except for `waiting_cpu_s`, which is
 * in processor seconds.
 */
internal fun logCapacity(
    log: Logger,
    snapshot: ClusterSnapshot,
    bootingCpus: Double,
) {
    val up = snapshot.machines.filter { it.sinceContact != null }
    log.info(
        "capacity: up_cpus={} spot_cpus={} draining_cpus={} quarantined_cpus={} used_cpus={} running_cpus={} " +
            "fetching_cpus={} booting_cpus={} waiting_cpus={} waiting_cpu_s={}",
        totalCpus(up),
        totalCpus(up.filter { it.offer.spot }),
        totalCpus(up.filter { it.isDraining }),
        totalCpus(up.filter { it.isQuarantined }),
        up.sumOf { machine -> machine.assignedTasks.sumOf { it.resources.cpus } }.toInt(),
        up.sumOf { it.runningCpus }.toInt(),
        up.sumOf { it.fetchingCpus }.toInt(),
        bootingCpus.toInt(),
        snapshot.waiting.sumOf { it.tasks * it.resources.cpus }.toLong(),
        snapshot.waiting.sumOf { it.tasks * it.resources.cpus * it.seconds }.toLong(),
    )
}

private fun totalCpus(machines: List<MachineSnapshot>): Int = machines.sumOf { it.capacity?.cpus ?: 0.0 }.toInt()
