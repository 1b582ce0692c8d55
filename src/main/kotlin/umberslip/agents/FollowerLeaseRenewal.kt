package umberslip.agents

import umberslip.core.MachineName
import umberslip.records.MachineSetRecord
import umberslip.records.RecordView

/**
 * Renews the leases of workers that cannot reach the leader, on the leader's behalf. Any controller may answer a
 * heartbeat with the leader's term and without starts, if a read of the records that began after the heartbeat arrived
 * still names that leader and revokes no renewal for the machine. Tasks of cancelled jobs are stopped, so that a
 * cancellation takes effect here too. Pure; not safe for use by several threads.
 *
 * [connections] is how many workers may be connected at once.
 */
class FollowerLeaseRenewal(
    connections: Int,
) {
    private val maxMachines = connections * MACHINES_PER_CONNECTION
    private val newestVersions =
        object : LinkedHashMap<MachineName, HeartbeatVersion>() {
            override fun removeEldestEntry(eldest: Map.Entry<MachineName, HeartbeatVersion>) = size > maxMachines
        }
    private val renewed = LinkedHashSet<MachineName>()

    /**
     * Takes account of a heartbeat; false for a late copy. Only a worker that receives responses stays here and sends
     * the next one, so it takes two heartbeats in a row to show that the machine's lease was renewed.
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
     * Takes the machines whose leases were renewed since they were last taken: as many as one stored value of
     * [valueBytes] holds. The rest is had with the next call.
     */
    fun takeRenewed(valueBytes: Int): Set<MachineName> {
        val fitting = MachineSetRecord.fitting(renewed, valueBytes)
        renewed -= fitting
        return fitting
    }

    companion object {
        /** Machines whose newest heartbeat is remembered for each connection; then the first is forgotten. */
        private const val MACHINES_PER_CONNECTION = 8

        /** The response to a heartbeat by these records; null where the lease must not be renewed. */
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
