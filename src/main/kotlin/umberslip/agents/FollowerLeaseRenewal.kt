package umberslip.agents

import umberslip.core.MachineName
import umberslip.records.MachineSetRecord
import umberslip.records.RecordView

/**
 * Renews the leases of workers that cannot reach the leader, on the leader's behalf.
 *
 * Any controller may answer a heartbeat with the leader's term and without starts, on one condition: a read of the
 * records that began after the heartbeat arrived still names that leader and does not revoke the renewal for the
 * machine. The answer stops tasks of cancelled jobs, so a cancellation also takes effect while the leader cannot be
 * reached. Pure; not thread-safe.
 *
 * @param maxConnections the maximum number of workers that are connected at once
 */
class FollowerLeaseRenewal(
    maxConnections: Int,
) {
    private val maxMachines = maxConnections * MACHINES_PER_CONNECTION
    private val newestVersions =
        object : LinkedHashMap<MachineName, HeartbeatVersion>() {
            override fun removeEldestEntry(eldest: Map.Entry<MachineName, HeartbeatVersion>) = size > maxMachines
        }
    private val renewed = LinkedHashSet<MachineName>()

    /**
     * Accepts a heartbeat, or returns false if it is a late copy. A worker sends its next heartbeat to this controller
     * only if it receives a response. Two consecutive heartbeats therefore show that the machine's lease was renewed.
     */
    fun acceptIfNew(heartbeat: Heartbeat): Boolean {
        val name = heartbeat.machineName
        val newest = newestVersions[name]
        if (newest != null && heartbeat.heartbeatVersion <= newest) return false
        if (newest != null && heartbeat.heartbeatVersion.follows(newest)) renewed += name
        newestVersions[name] = heartbeat.heartbeatVersion
        return true
    }

    /**
     * Returns the machines whose leases were renewed and that no earlier call returned, as many as fit into a stored
     * value of [valueBytes]. Later calls return the rest.
     */
    fun takeRenewed(valueBytes: Int): Set<MachineName> {
        val taken = MachineSetRecord.fitting(renewed, valueBytes)
        renewed -= taken
        return taken
    }

    companion object {
        /**
         * The number of machines per connection whose newest heartbeat version is remembered. Beyond that, the version
         * that was added first is removed.
         */
        private const val MACHINES_PER_CONNECTION = 8

        /** Returns the response to a heartbeat according to [records], or null if the lease must not be renewed. */
        fun answer(
            heartbeat: Heartbeat,
            records: RecordView,
        ): HeartbeatResponse? {
            val leader = records.leader?.value ?: return null
            if (heartbeat.fencingToken > leader.term) return null
            if (isRevoked(heartbeat.machineName, records)) return null
            val stops =
                heartbeat.tasks
                    .filter { it.status != TaskState.EXITED && records.job(it.task.job)?.value?.cancelled == true }
                    .map { WorkerCommand.Stop(it.task, it.attempt, gracePeriodSeconds = 0.0) }
            return HeartbeatResponse(leader.term, stops)
        }

        private fun isRevoked(
            name: MachineName,
            records: RecordView,
        ): Boolean = records.revokedRenewals?.let { name in it.value.machineNames } ?: false
    }
}
