package umberslip.store

/** A lease of the key-value store. Keys that are put under the lease are removed when it expires or ends. */
@JvmInline
value class StoreLease(
    val id: Long,
)

/** The revision at which a key last changed; 0 if the key does not exist. */
@JvmInline
value class Version(
    val value: Long,
) {
    companion object {
        val NONE = Version(0)
    }
}

/** A key with the value and the version that were read. */
data class Entry(
    val key: String,
    val data: Any?,
    val version: Version,
)

/** A change of a key, as the key-value store reports it to clients that read the changes under a prefix. */
sealed interface Change {
    val key: String
    val version: Version

    data class Put(
        override val key: String,
        val data: Any?,
        override val version: Version,
    ) : Change

    /** The key was removed by a write, or because its lease expired or ended. */
    data class Delete(
        override val key: String,
        override val version: Version,
    ) : Change
}

/** A page of the entries under a prefix, in the order of their keys. */
class Page(
    val entries: List<Entry>,
    /** Whether there are more entries after this page. */
    val hasMore: Boolean,
    /** The revision at which the page was read. */
    val revision: Long,
)

/** The changes under a prefix up to [revision], in their order. */
class Changes(
    val revision: Long,
    val changes: List<Change>,
)

/** A condition for a transaction: [key] must still have this [version]. */
data class Precondition(
    val key: String,
    val version: Version,
)

/** A write of a transaction. */
sealed interface Write {
    val key: String

    /** Sets a key. If [lease] is given, the key is removed when the lease expires or ends. */
    data class Put(
        override val key: String,
        val data: Map<String, Any?>,
        val lease: StoreLease? = null,
    ) : Write

    data class Delete(
        override val key: String,
    ) : Write
}

/** The result of a transaction. Nothing was written unless it is [Applied]. */
sealed interface TransactionResult {
    /** All writes were carried out, and their keys have this [version]. */
    data class Applied(
        val version: Version,
    ) : TransactionResult

    /** At least one precondition does not hold; [failed] are the keys of those that do not. */
    data class PreconditionFailed(
        val failed: List<String>,
    ) : TransactionResult

    /** A put refers to a lease that has expired or ended. */
    data object LeaseExpired : TransactionResult

    /** The transaction exceeds a size limit or is malformed. It would be rejected again if it were retried. */
    data class Rejected(
        val reason: String,
    ) : TransactionResult
}
