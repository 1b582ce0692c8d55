package umberslip.recovery.archive

import umberslip.http.Fields
import umberslip.http.MalformedMessageException
import umberslip.records.RecordReplica
import umberslip.store.Entry
import umberslip.store.Version
import java.time.Instant
import java.time.format.DateTimeParseException

/** The time at which an archive was taken, and the key-value store's revision then. */
data class ArchiveHeader(
    val taken: Instant,
    /** The key-value store's revision when the first record was read. The other records may include later changes. */
    val revision: Long,
) {
    /** Returns the fields of the file's first line. */
    fun toMap(): Map<String, Any?> =
        mapOf(
            FORMAT_FIELD to FORMAT,
            VERSION_FIELD to VERSION,
            TAKEN_FIELD to taken.toString(),
            REVISION_FIELD to revision,
        )

    companion object {
        const val FORMAT = "umberslip-records"

        /** Incremented when older readers would misread a file. New fields may be added under the same version. */
        const val VERSION = 1L

        private const val FORMAT_FIELD = "format"
        private const val VERSION_FIELD = "version"
        private const val TAKEN_FIELD = "taken"
        private const val REVISION_FIELD = "revision"

        /** Throws [ArchiveException], or [MalformedMessageException] if a field is missing or invalid. */
        fun parse(fields: Fields): ArchiveHeader {
            if (fields.textOrNull(FORMAT_FIELD) != FORMAT) throw ArchiveException.NotAnArchive("its format differs")
            val version = fields.long(VERSION_FIELD)
            if (version != VERSION) throw ArchiveException.UnsupportedVersion(version)
            val taken =
                try {
                    Instant.parse(fields.text(TAKEN_FIELD))
                } catch (_: DateTimeParseException) {
                    throw ArchiveException.Corrupt("malformed time in its first line")
                }
            return ArchiveHeader(taken, fields.long(REVISION_FIELD))
        }
    }
}

/** The records of the key-value store at one moment, in the form that [ArchiveFile] reads and writes. */
data class RecordArchive(
    val header: ArchiveHeader,
    val entries: List<Entry>,
) {
    /** Returns the replica that a controller has after it read these records. */
    fun toReplica(): RecordReplica = RecordReplica().also { it.replace(entries) }
}

/** Converts records to and from the lines of an archive. */
internal object ArchiveLine {
    private const val KEY = "path"
    private const val VERSION = "stamp"
    private const val DATA = "data"

    /** Returns the fields of the line for [entry]. */
    fun toMap(entry: Entry): Map<String, Any?> =
        mapOf(
            KEY to entry.key,
            VERSION to entry.version.value,
            DATA to entry.data,
        )

    /** Throws [ArchiveException.Corrupt] if a field is missing or invalid. */
    fun parse(fields: Fields): Entry =
        try {
            Entry(fields.text(KEY), fields.raw()[DATA], Version(fields.long(VERSION)))
        } catch (e: MalformedMessageException) {
            throw ArchiveException.Corrupt("malformed record: ${e.message}")
        }
}
