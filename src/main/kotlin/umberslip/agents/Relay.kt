package umberslip.agents

import umberslip.cloud.HostName
import umberslip.records.HostsRecord
import umberslip.records.RecordView

/**
 * Keeps the workers of a zone alive that cannot reach the owner. Any controller may answer a report
 * with the owner's term and no starts, if a read of the records begun after the report came still
 * names that owner and does not condemn the machine. Tasks of cancelled jobs are stopped, so that a
 * cancellation bites here too. Pure.
 */
class Relay(
    connections: Int,
) {
    /** Machines that were heard on each connection, one after the other, before the first is forgotten. */
    private val maxHosts = connections * HOSTS_PER_CONNECTION
    private val newest =
        object : LinkedHashMap<HostName, Mark>() {
            override fun removeEldestEntry(eldest: Map.Entry<HostName, Mark>) = size > maxHosts
        }
    private val heard = LinkedHashSet<HostName>()

    /**
     * Takes note of a report; false for a late copy. Only a worker whose answers arrive stays here and
     * sends the next one, so it takes two in a row to be a sign of life.
     */
    fun isNew(report: Report): Boolean {
        val known = newest[report.host]
        if (known != null && report.mark <= known) return false
        if (known != null && report.mark.follows(known)) heard += report.host
        newest[report.host] = report.mark
        return true
    }

    /** The machines that were alive since they were last taken, as many as one value holds; the rest come next. */
    fun takeHeard(valueBytes: Int): Set<HostName> = HostsRecord.fitting(heard, valueBytes).also { heard -= it }

    companion object {
        private const val HOSTS_PER_CONNECTION = 8

        /** The term and the orders to answer with; null where the report must not be answered with 200. */
        fun answer(
            report: Report,
            records: RecordView,
        ): Pair<Long, List<Order>>? {
            val owner = records.owner?.value ?: return null
            if (report.token > owner.term) return null
            if (records.condemned
                    ?.value
                    ?.hosts
                    ?.contains(report.host) == true
            ) {
                return null
            }
            val stops =
                report.tasks
                    .filter { it.status != TaskState.ENDED && records.job(it.task.job)?.value?.cancelled == true }
                    .map { Order.Stop(it.task, it.attempt, 0.0) }
            return owner.term.value to stops
        }
    }
}
