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

/** An in-memory key-value store that follows the published protocol, including leases that expire. */
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
        var expiresAt: Duration,
    )

    private val rows = TreeMap<String, Row>()
    private val leases = HashMap<Long, LeaseRow>()
    private val changeLog = ArrayList<Change>()
    private var revision = 0L
    private var lastLeaseId = 0L

    /**
     * Whether the store is in an outage. No lease expires during an outage, and when it ends, every lease is renewed.
     */
    var out = false
        set(value) {
            if (field && !value) leases.values.forEach { it.expiresAt = now() + it.ttl }
            field = value
        }

    /** Ends all leases that have expired, unless the store is in an outage. */
    fun expire() {
        if (out) return
        for ((id, lease) in leases.toList()) if (lease.expiresAt <= now()) end(id)
    }

    /** Ends a lease and deletes the keys that are bound to it. */
    fun end(id: Long) {
        if (leases.remove(id) == null) return
        rows.filterValues { it.lease == id }.keys.toList().forEach {
            revision++
            remove(it)
        }
    }

    private fun remove(key: String) {
        if (rows.remove(key) != null) changeLog += Change.Delete(key, Version(revision))
    }

    fun get(key: String): Entry? = rows[key]?.let { Entry(key, it.data, Version(it.version)) }

    fun list(
        prefix: String,
        after: String?,
    ): Page {
        val matches = rows.tailMap(after ?: "", after == null).filterKeys { it.startsWith(prefix) }.entries
        val page = matches.take(minOf(size.pageItems, countFitting(matches.map { it.value.data })))
        val entries = page.map { Entry(it.key, it.value.data, Version(it.value.version)) }
        return Page(entries, matches.size > page.size, revision)
    }

    /** Returns how many of the [values], from the first on, fit into a page of the protocol. */
    private fun countFitting(values: List<Any?>): Int {
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
        val oldestKept =
            if (changeLog.size > size.changesKept) changeLog[changeLog.size - size.changesKept].version.value else 0
        if (after < oldestKept) return null
        return Changes(
            revision,
            changeLog.takeLastWhile { it.version.value > after }.filter { it.key.startsWith(prefix) },
        )
    }

    fun compareAndSwap(
        preconditions: List<Precondition>,
        writes: List<Write>,
    ): TransactionResult {
        val failed = preconditions.filter { (rows[it.key]?.version ?: 0L) != it.version.value }.map { it.key }
        if (failed.isNotEmpty()) return TransactionResult.PreconditionFailed(failed)
        val isLeaseExpired = writes.any { it is Write.Put && it.lease != null && it.lease.id !in leases }
        if (isLeaseExpired) return TransactionResult.LeaseExpired
        if (writes.isEmpty()) return TransactionResult.Applied(Version(revision))
        revision++
        for (write in writes) {
            when (write) {
                is Write.Delete -> remove(write.key)
                is Write.Put -> {
                    // Encoded and decoded, as if the value were sent over the network.
                    val data = Documents.readCbor(Documents.writeCbor(write.data))
                    rows[write.key] = Row(data, revision, write.lease?.id)
                    changeLog += Change.Put(write.key, data, Version(revision))
                }
            }
        }
        return TransactionResult.Applied(Version(revision))
    }

    fun open(ttl: Duration): StoreLease {
        leases[++lastLeaseId] = LeaseRow(ttl, now() + ttl)
        return StoreLease(lastLeaseId)
    }

    fun renew(lease: StoreLease): Boolean {
        val row = leases[lease.id] ?: return false
        row.expiresAt = now() + row.ttl
        return true
    }
}
