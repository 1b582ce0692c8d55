package umberslip.provisioning

import org.slf4j.Logger
import umberslip.scheduling.ClusterSnapshot
import umberslip.scheduling.MachineSnapshot

/** Logs the capacity and its use in one line, in processors; `waiting_cpu_s` is in processor seconds. */
internal fun logCapacity(
    log: Logger,
    snapshot: ClusterSnapshot,
    bootingCpus: Double,
) {
    val up = snapshot.machines.filter { it.sinceContact != null }
    log.info(
        "capacity: up_cpus={} spot_cpus={} draining_cpus={} quarantined_cpus={} used_cpus={} running_cpus={} " +
            "fetching_cpus={} booting_cpus={} waiting_cpus={} waiting_cpu_s={}",
        cpus(up),
        cpus(up.filter { it.offer.spot }),
        cpus(up.filter { it.isDraining }),
        cpus(up.filter { it.isQuarantined }),
        up.sumOf { machine -> machine.assignedTasks.sumOf { it.resources.cpus } }.toInt(),
        up.sumOf { it.runningCpus }.toInt(),
        up.sumOf { it.fetchingCpus }.toInt(),
        bootingCpus.toInt(),
        snapshot.waiting.sumOf { it.tasks * it.resources.cpus }.toLong(),
        snapshot.waiting.sumOf { it.tasks * it.resources.cpus * it.seconds }.toLong(),
    )
}

private fun cpus(machines: List<MachineSnapshot>): Int = machines.sumOf { it.capacity?.cpus ?: 0.0 }.toInt()
