package umberslip.store

/** A lease of the key-value store: keys put under it are removed when it expires or ends. */
@JvmInline
value class StoreLease(
    val id: Long,
)

/** The revision at which a key last changed; 0 where there is no such key. */
@JvmInline
value class Version(
    val value: Long,
) {
    companion object {
        val NONE = Version(0)
    }
}

/** A key's value as it was read. */
data class Entry(
    val key: String,
    val data: Any?,
    val version: Version,
)

/** A change of a key, as the key-value store reports it to those who follow a prefix. */
sealed interface Change {
    val key: String
    val version: Version

    data class Put(
        override val key: String,
        val data: Any?,
        override val version: Version,
    ) : Change

    /** The key was removed, also by the expiry of its lease. */
    data class Delete(
        override val key: String,
        override val version: Version,
    ) : Change
}

/** Some of the entries under a prefix, in the order of their keys. */
class Page(
    val entries: List<Entry>,
    /** Whether there are entries after these. */
    val hasMore: Boolean,
    /** The revision at which the page was read. */
    val revision: Long,
)

/** The changes under a prefix up to [revision], in their order. */
class Changes(
    val revision: Long,
    val changes: List<Change>,
)

/** A transaction is carried out only if the key still has that version. */
data class Precondition(
    val key: String,
    val version: Version,
)

/** A write of a transaction. */
sealed interface Write {
    val key: String

    /** With a [lease], the key is removed when that expires or ends. */
    data class Put(
        override val key: String,
        val data: Map<String, Any?>,
        val lease: StoreLease? = null,
    ) : Write

    data class Delete(
        override val key: String,
    ) : Write
}

/** What became of a transaction. Only [Applied] wrote anything. */
sealed interface TransactionResult {
    /** All writes were carried out; their keys have this version. */
    data class Applied(
        val version: Version,
    ) : TransactionResult

    /** The keys whose preconditions do not hold. */
    data class PreconditionFailed(
        val failed: List<String>,
    ) : TransactionResult

    /** A put named a lease that has expired or ended. */
    data object LeaseExpired : TransactionResult

    /** The transaction exceeds a size limit or is malformed: sent again, it would be rejected again. */
    data class Rejected(
        val reason: String,
    ) : TransactionResult
}
