package umberslip.agents

import umberslip.records.RecordView

/**
 * Keeps the workers of a zone alive that cannot reach the owner. Any controller may answer a report
 * with the owner's term and no starts, if a read of the records begun after the report came still
 * names that owner and does not condemn the machine. Pieces of cancelled jobs are stopped, so that a
 * cancellation bites here too. Pure.
 */
object Relay {
    /** The term and the orders to answer with; null where the report must not be answered with 200. */
    fun answer(report: Report, records: RecordView): Pair<Long, List<Order>>? {
        val owner = records.owner?.value ?: return null
        if (report.warrant > owner.term) return null
        if (records.condemned?.value?.hosts?.contains(report.host) == true) return null
        val stops = report.pieces.filter { it.status != PieceStatus.ENDED && records.job(it.task.job)?.value?.cancelled == true }
            .map { Order.Stop(it.task, it.attempt, 0.0) }
        return owner.term.value to stops
    }
}
