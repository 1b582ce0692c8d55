package umberslip.provisioning

import umberslip.core.MachineName
import umberslip.scheduling.LeaderMessage
import umberslip.scheduling.MachineSnapshot
import umberslip.settings.Tuning
import kotlin.time.Duration

/**
 * Knows since when each machine has been surplus without a break. Surplus machines get no new tasks; when they stay
 * surplus, tasks with checkpoints are migrated away from them, and once empty they are terminated, the expensive
 * ordinary ones sooner than spot instances. So are quarantined machines, whatever the need.
 */
internal class IdleMachines(
    private val tuning: Tuning,
) {
    private val idleSince = HashMap<MachineName, Duration>()

    /** Begins a leader's term. */
    fun clear() = idleSince.clear()

    /** Takes over the [surplus] of a new plan. */
    fun update(
        surplus: Set<MachineName>,
        now: Duration,
    ) {
        idleSince.keys.retainAll(surplus)
        surplus.forEach { idleSince.getOrPut(it) { now } }
    }

    /** What the leader is to drain. */
    fun drain(
        machines: List<MachineSnapshot>,
        now: Duration,
    ) = LeaderMessage.Drain(
        machines.filter { it.isQuarantined || it.name in idleSince }.mapTo(HashSet()) { it.name },
        machines.filter { isIdleFor(it, tuning.idle, now) }.mapTo(HashSet()) { it.name },
    )

    /** Machines without tasks that are to be terminated. */
    fun terminable(
        machines: List<MachineSnapshot>,
        now: Duration,
    ): List<MachineName> =
        machines
            .filter { it.tasks == 0 && (it.isQuarantined || isIdleFor(it, maxIdleTime(it), now)) }
            .map { it.name }

    private fun isIdleFor(
        machine: MachineSnapshot,
        time: Duration,
        now: Duration,
    ): Boolean = idleSince[machine.name]?.let { now - it >= time } ?: false

    private fun maxIdleTime(machine: MachineSnapshot): Duration {
        if (machine.offer.spot) return tuning.idle
        return tuning.idle / ORDINARY_IDLE_DIVISOR
    }

    private companion object {
        /** An ordinary machine costs more, so it may be idle for one part in so many of a spot instance's time. */
        const val ORDINARY_IDLE_DIVISOR = 4
    }
}
