package umberslip.sim

import umberslip.http.Documents
import umberslip.store.Change
import umberslip.store.Changes
import umberslip.store.Entry
import umberslip.store.Page
import umberslip.store.Precondition
import umberslip.store.StoreLease
import umberslip.store.TransactionResult
import umberslip.store.Version
import umberslip.store.Write
import java.util.TreeMap
import kotlin.time.Duration

/** The key-value store's contract, in memory, with leases that run out. */
class InMemoryKeyValueStore(
    private val size: ClusterSize,
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
        if (rows.remove(key) != null) log += Change.Delete(key, Version(revision))
    }

    fun get(key: String): Entry? = rows[key]?.let { Entry(key, it.data, Version(it.version)) }

    fun list(
        prefix: String,
        after: String?,
    ): Page {
        val all = rows.tailMap(after ?: "", after == null).filterKeys { it.startsWith(prefix) }.entries
        val page = all.take(minOf(size.pageItems, fitting(all.map { it.value.data })))
        val entries = page.map { Entry(it.key, it.value.data, Version(it.value.version)) }
        return Page(entries, all.size > page.size, revision)
    }

    /** How many of [values] a page holds. */
    private fun fitting(values: List<Any?>): Int {
        var bytes = 0
        return values
            .asSequence()
            .take(ProtocolLimits.ENTRIES_PER_PAGE)
            .takeWhile {
                bytes += Documents.jsonSize(it)
                bytes <= ProtocolLimits.PAGE_BYTES
            }.count()
    }

    fun changes(
        prefix: String,
        after: Long,
    ): Changes? {
        val oldest = if (log.size > size.changesKept) log[log.size - size.changesKept].version.value else 0
        if (after < oldest) return null
        return Changes(revision, log.takeLastWhile { it.version.value > after }.filter { it.key.startsWith(prefix) })
    }

    fun compareAndSwap(
        preconditions: List<Precondition>,
        writes: List<Write>,
    ): TransactionResult {
        val failed = preconditions.filter { (rows[it.key]?.version ?: 0L) != it.version.value }.map { it.key }
        if (failed.isNotEmpty()) return TransactionResult.PreconditionFailed(failed)
        val leaseExpired = writes.any { it is Write.Put && it.lease != null && it.lease.id !in leases }
        if (leaseExpired) return TransactionResult.LeaseExpired
        if (writes.isEmpty()) return TransactionResult.Applied(Version(revision))
        revision++
        for (w in writes) {
            when (w) {
                is Write.Delete -> remove(w.key)
                is Write.Put -> {
                    // Through the codec, as on the wire.
                    val data = Documents.readCbor(Documents.writeCbor(w.data))
                    rows[w.key] = Row(data, revision, w.lease?.id)
                    log += Change.Put(w.key, data, Version(revision))
                }
            }
        }
        return TransactionResult.Applied(Version(revision))
    }

    fun open(ttl: Duration): StoreLease {
        leases[++nextLease] = LeaseRow(ttl, now() + ttl)
        return StoreLease(nextLease)
    }

    fun renew(lease: StoreLease): Boolean {
        val row = leases[lease.id] ?: return false
        row.until = now() + row.ttl
        return true
    }
}
