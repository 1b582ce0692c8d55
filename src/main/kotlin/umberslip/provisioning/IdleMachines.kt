package umberslip.provisioning

import umberslip.core.MachineName
import umberslip.scheduling.LeaderMessage
import umberslip.scheduling.MachineSnapshot
import umberslip.settings.Tuning
import kotlin.time.Duration

/**
 * Tracks since when each machine has been surplus without interruption. Surplus machines get no new tasks. If they stay
 * surplus, tasks with checkpoints are migrated away from them, and once empty they are terminated. Ordinary machines
 * are terminated sooner than spot instances, because they are more expensive. Quarantined machines get no new tasks
 * either and are terminated once empty, whatever the demand.
 */
internal class IdleMachines(
    private val tuning: Tuning,
) {
    private val idleSince = HashMap<MachineName, Duration>()

    /** Resets the state for a new leader's term. */
    fun clear() = idleSince.clear()

    /** Replaces the surplus machines by those of a new plan; machines that stay surplus keep their start time. */
    fun update(
        surplus: Set<MachineName>,
        now: Duration,
    ) {
        idleSince.keys.retainAll(surplus)
        surplus.forEach { idleSince.getOrPut(it) { now } }
    }

    /** Returns the message that tells the leader which machines to drain. */
    fun drainMessage(
        machines: List<MachineSnapshot>,
        now: Duration,
    ) = LeaderMessage.Drain(
        machines.filter { it.isQuarantined || it.name in idleSince }.mapTo(HashSet()) { it.name },
        machines.filter { isIdleFor(it, tuning.idle, now) }.mapTo(HashSet()) { it.name },
    )

    /** Returns the machines without tasks that are to be terminated. */
    fun findTerminable(
        machines: List<MachineSnapshot>,
        now: Duration,
    ): List<MachineName> =
        machines
            .filter { it.tasks == 0 && (it.isQuarantined || isIdleFor(it, maxIdleTime(it), now)) }
            .map { it.name }

    private fun isIdleFor(
        machine: MachineSnapshot,
        duration: Duration,
        now: Duration,
    ): Boolean = idleSince[machine.name]?.let { now - it >= duration } ?: false

    private fun maxIdleTime(machine: MachineSnapshot): Duration {
        if (machine.offer.spot) return tuning.idle
        return tuning.idle / ORDINARY_IDLE_DIVISOR
    }

    private companion object {
        /** An ordinary machine costs more than a spot instance, so the time that it may be idle is divided by this. */
        const val ORDINARY_IDLE_DIVISOR = 4
    }
}
