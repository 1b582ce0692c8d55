package umberslip.recovery.archive

import umberslip.http.Fields
import umberslip.http.MalformedMessageException
import umberslip.records.RecordReplica
import umberslip.store.Entry
import umberslip.store.Version
import java.time.Instant
import java.time.format.DateTimeParseException

/** When and from where an archive was taken. */
data class ArchiveHeader(
    val taken: Instant,
    /** The key-value store's revision when the first record was read; later records may show later changes. */
    val revision: Long,
) {
    /** The header as the first line of a file. */
    fun toMap(): Map<String, Any?> =
        mapOf(
            FORMAT_FIELD to FORMAT,
            VERSION_FIELD to VERSION,
            TAKEN_FIELD to taken.toString(),
            REVISION_FIELD to revision,
        )

    companion object {
        const val FORMAT = "umberslip-records"

        /** Rises when older readers would misunderstand a file; new fields may come at any time. */
        const val VERSION = 1L

        private const val FORMAT_FIELD = "format"
        private const val VERSION_FIELD = "version"
        private const val TAKEN_FIELD = "taken"
        private const val REVISION_FIELD = "revision"

        /** Throws [ArchiveException], or [MalformedMessageException] for a field that is missing or wrong. */
        fun parse(fields: Fields): ArchiveHeader {
            if (fields.textOrNull(FORMAT_FIELD) != FORMAT) throw ArchiveException.NotAnArchive("its format is another")
            val version = fields.long(VERSION_FIELD)
            if (version != VERSION) throw ArchiveException.UnsupportedVersion(version)
            val taken =
                try {
                    Instant.parse(fields.text(TAKEN_FIELD))
                } catch (_: DateTimeParseException) {
                    throw ArchiveException.Corrupt("its time cannot be read")
                }
            return ArchiveHeader(taken, fields.long(REVISION_FIELD))
        }
    }
}

/** The records of the key-value store at one moment, as [ArchiveFile] reads and writes them. */
data class RecordArchive(
    val header: ArchiveHeader,
    val entries: List<Entry>,
) {
    /** What a controller would have known that read these records. */
    fun replica(): RecordReplica = RecordReplica().also { it.replace(entries) }
}

/** A record as a line of an archive. */
internal object ArchiveLine {
    private const val KEY = "path"
    private const val VERSION = "stamp"
    private const val DATA = "data"

    /** The line, before it is written as JSON. */
    fun of(entry: Entry): Map<String, Any?> =
        mapOf(
            KEY to entry.key,
            VERSION to entry.version.value,
            DATA to entry.data,
        )

    /** Throws [ArchiveException.Corrupt]. */
    fun parse(fields: Fields): Entry =
        try {
            Entry(fields.text(KEY), fields.raw()[DATA], Version(fields.long(VERSION)))
        } catch (e: MalformedMessageException) {
            throw ArchiveException.Corrupt("a record cannot be read: ${e.message}")
        }
}
