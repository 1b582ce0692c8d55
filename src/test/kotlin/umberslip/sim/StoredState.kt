package umberslip.sim

import umberslip.http.Documents
import umberslip.state.Change
import umberslip.state.Changes
import umberslip.state.Entry
import umberslip.state.Guard
import umberslip.state.Lease
import umberslip.state.Page
import umberslip.state.TxnResult
import umberslip.state.Version
import umberslip.state.Write
import java.util.TreeMap
import kotlin.time.Duration

/** The state service's contract, in memory, with leases that run out. */
class StoredState(
    private val size: WorldSize,
    private val now: () -> Duration,
) {
    private class Row(
        val data: Any?,
        val version: Long,
        val lease: Long?,
    )

    private class LeaseRow(
        val ttl: Duration,
        var until: Duration,
    )

    private val rows = TreeMap<String, Row>()
    private val leases = HashMap<Long, LeaseRow>()
    private val log = ArrayList<Change>()
    private var revision = 0L
    private var nextLease = 0L
    var out = false
        set(value) {
            if (field && !value) leases.values.forEach { it.until = now() + it.ttl }
            field = value
        }

    fun expire() {
        if (out) return
        for ((id, lease) in leases.toList()) if (lease.until <= now()) end(id)
    }

    fun end(id: Long) {
        if (leases.remove(id) == null) return
        rows.filterValues { it.lease == id }.keys.toList().forEach {
            revision++
            remove(it)
        }
    }

    private fun remove(key: String) {
        if (rows.remove(key) != null) log += Change.Drop(key, Version(revision))
    }

    fun get(key: String): Entry? = rows[key]?.let { Entry(key, it.data, Version(it.version)) }

    fun list(
        prefix: String,
        after: String?,
    ): Page {
        val all = rows.tailMap(after ?: "", after == null).filterKeys { it.startsWith(prefix) }.entries
        val page = all.take(size.pageItems).map { Entry(it.key, it.value.data, Version(it.value.version)) }
        return Page(page, all.size > size.pageItems, revision)
    }

    fun changes(
        prefix: String,
        after: Long,
    ): Changes? {
        val oldest = if (log.size > size.changesKept) log[log.size - size.changesKept].version.value else 0
        if (after < oldest) return null
        return Changes(revision, log.takeLastWhile { it.version.value > after }.filter { it.key.startsWith(prefix) })
    }

    fun txn(
        guards: List<Guard>,
        writes: List<Write>,
    ): TxnResult {
        val failed = guards.filter { (rows[it.key]?.version ?: 0L) != it.version.value }.map { it.key }
        if (failed.isNotEmpty()) return TxnResult.Refused(failed)
        if (writes.any { it is Write.Put && it.lease != null && it.lease.id !in leases }) return TxnResult.NoLease
        if (writes.isEmpty()) return TxnResult.Applied(Version(revision))
        revision++
        for (w in writes) {
            when (w) {
                is Write.Drop -> remove(w.key)
                is Write.Put -> {
                    // Through the codec, as on the wire.
                    val data = Documents.readCbor(Documents.writeCbor(w.data))
                    rows[w.key] = Row(data, revision, w.lease?.id)
                    log += Change.Put(w.key, data, Version(revision))
                }
            }
        }
        return TxnResult.Applied(Version(revision))
    }

    fun open(ttl: Duration): Lease {
        leases[++nextLease] = LeaseRow(ttl, now() + ttl)
        return Lease(nextLease)
    }

    fun renew(lease: Lease): Boolean {
        val row = leases[lease.id] ?: return false
        row.until = now() + row.ttl
        return true
    }
}
