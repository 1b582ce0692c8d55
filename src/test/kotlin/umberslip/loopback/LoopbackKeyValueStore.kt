package umberslip.loopback

import umberslip.http.Fields
import umberslip.settings.StoreSettings
import umberslip.sim.ClusterSize
import umberslip.sim.InMemoryKeyValueStore
import umberslip.sim.ProtocolLimits
import umberslip.store.Change
import umberslip.store.Entry
import umberslip.store.Precondition
import umberslip.store.StoreLease
import umberslip.store.TransactionResult
import umberslip.store.Version
import umberslip.store.Write
import java.util.concurrent.CopyOnWriteArrayList
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.TimeSource

/** A server of the key-value store's published protocol over real sockets. Its data outlives all controllers. */
class LoopbackKeyValueStore(
    private val limits: StoreSettings,
) : AutoCloseable {
    private val origin = TimeSource.Monotonic.markNow()
    private val size = ClusterSize(0, pageItems = 500, changesKept = 10_000)
    private val store = InMemoryKeyValueStore(size) { origin.elapsedNow() }

    /** Descriptions of the transactions that exceeded the protocol's limits and were answered with 400. */
    val refusals: MutableList<String> = CopyOnWriteArrayList()
    private val server = CborServer(::handle)

    val address get() = server.address

    private fun handle(request: CborRequest): CborAnswer {
        store.expire()
        val path = request.path
        return when {
            path == "/txn" -> commit(request.fields())
            path == "/keys" -> list(request.query)
            path.startsWith(KEYS) -> get(path.removePrefix(KEYS))
            path == "/changes" -> changes(request.query)
            path == "/holds" -> openLease(request.fields())
            path.startsWith(HOLDS) -> renewOrEndLease(request)
            else -> CborAnswer(404, mapOf("error" to "no such path"))
        }
    }

    private fun get(key: String): CborAnswer {
        val entry = store.get(key) ?: return CborAnswer(404, mapOf("epoch" to 0))
        return CborAnswer(200, entryFields(entry))
    }

    private fun entryFields(entry: Entry) =
        mapOf(
            "path" to entry.key,
            "data" to entry.data,
            "stamp" to entry.version.value,
        )

    private fun list(query: Map<String, String>): CborAnswer {
        val page = store.list(query.getValue("under"), query["after"])
        return CborAnswer(
            200,
            mapOf("entries" to page.entries.map(::entryFields), "has_next" to page.hasMore, "epoch" to page.revision),
        )
    }

    private fun changes(query: Map<String, String>): CborAnswer {
        val changes =
            store.changes(query.getValue("under"), query.getValue("after").toLong())
                ?: return CborAnswer(410, mapOf("error" to "too old"))
        val events =
            changes.changes.map {
                when (it) {
                    is Change.Put -> mapOf("set" to it.key, "data" to it.data, "stamp" to it.version.value)
                    is Change.Delete -> mapOf("drop" to it.key, "stamp" to it.version.value)
                }
            }
        return CborAnswer(200, mapOf("epoch" to changes.revision, "events" to events))
    }

    private fun commit(fields: Fields): CborAnswer {
        val preconditions = fields.maps("guards").map { Precondition(it.text("path"), Version(it.long("stamp"))) }
        val writes =
            fields.maps("writes").map {
                val key = it.textOrNull("set")
                if (key == null) {
                    Write.Delete(it.text("drop"))
                } else {
                    val lease = if (it.has("hold")) StoreLease(it.long("hold")) else null
                    val data =
                        it
                            .map("data")
                            .raw()
                            .entries
                            .associate { (name, value) -> "$name" to value }
                    Write.Put(key, data, lease)
                }
            }
        ProtocolLimits.transactionViolation(preconditions, writes, limits)?.let {
            refusals += it
            return CborAnswer(400, mapOf("error" to it))
        }
        return when (val result = store.compareAndSwap(preconditions, writes)) {
            is TransactionResult.Applied -> CborAnswer(200, mapOf("epoch" to result.version.value))
            is TransactionResult.PreconditionFailed -> CborAnswer(409, mapOf("failed" to result.failed, "epoch" to 0))
            TransactionResult.LeaseExpired -> CborAnswer(400, mapOf("error" to "no such lease"))
            is TransactionResult.Rejected -> CborAnswer(400, mapOf("error" to result.reason))
        }
    }

    private fun openLease(fields: Fields): CborAnswer {
        val lease = store.open(fields.long("ttl_ms").milliseconds)
        return CborAnswer(200, mapOf("hold" to lease.id))
    }

    private fun renewOrEndLease(request: CborRequest): CborAnswer {
        val id =
            request.path
                .removePrefix(HOLDS)
                .substringBefore('/')
                .toLong()
        if (request.method == "DELETE") {
            store.end(id)
            return CborAnswer(200, emptyMap<String, Any?>())
        }
        return CborAnswer(if (store.renew(StoreLease(id))) 200 else 404, emptyMap<String, Any?>())
    }

    override fun close() = server.close()

    private companion object {
        const val KEYS = "/keys/"
        const val HOLDS = "/holds/"
    }
}
