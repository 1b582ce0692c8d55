package umberslip.agents

import umberslip.core.MachineName
import umberslip.records.MachineSetRecord
import umberslip.records.RecordView

/**
 * Keeps the workers of a zone alive that cannot reach the leader. Any controller may answer a heartbeat
 * with the leader's term and no starts, if a read of the records begun after the heartbeat came still
 * names that leader and does not condemn the machine. Tasks of cancelled jobs are stopped, so that a
 * cancellation bites here too. Pure.
 */
class FollowerLeaseRenewal(
    connections: Int,
) {
    /** Machines that were heard on each connection, one after the other, before the first is forgotten. */
    private val maxMachines = connections * MACHINES_PER_CONNECTION
    private val newest =
        object : LinkedHashMap<MachineName, HeartbeatVersion>() {
            override fun removeEldestEntry(eldest: Map.Entry<MachineName, HeartbeatVersion>) = size > maxMachines
        }
    private val heard = LinkedHashSet<MachineName>()

    /**
     * Takes note of a heartbeat; false for a late copy. Only a worker whose answers arrive stays here and
     * sends the next one, so it takes two in a row to be a sign of life.
     */
    fun isNew(heartbeat: Heartbeat): Boolean {
        val known = newest[heartbeat.machineName]
        if (known != null && heartbeat.heartbeatVersion <= known) return false
        if (known != null && heartbeat.heartbeatVersion.follows(known)) heard += heartbeat.machineName
        newest[heartbeat.machineName] = heartbeat.heartbeatVersion
        return true
    }

    /** The machines that were alive since they were last taken, as many as one value holds; the rest come next. */
    fun takeRenewed(valueBytes: Int): Set<MachineName> = MachineSetRecord.fitting(heard, valueBytes).also { heard -= it }

    companion object {
        private const val MACHINES_PER_CONNECTION = 8

        /** What to answer; null where the heartbeat must not be answered with 200. */
        fun answer(
            heartbeat: Heartbeat,
            records: RecordView,
        ): HeartbeatResponse? {
            val leader = records.leader?.value ?: return null
            if (heartbeat.fencingToken > leader.term) return null
            if (records.revokedRenewals
                    ?.value
                    ?.machineNames
                    ?.contains(heartbeat.machineName) == true
            ) {
                return null
            }
            val stops =
                heartbeat.tasks
                    .filter { it.status != TaskState.EXITED && records.job(it.task.job)?.value?.cancelled == true }
                    .map { WorkerCommand.Stop(it.task, it.attempt, 0.0) }
            return HeartbeatResponse(leader.term, stops)
        }
    }
}
