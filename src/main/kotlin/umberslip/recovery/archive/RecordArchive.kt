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
    fun toMap(): Map<String, Any?> =
        mapOf(
            "format" to FORMAT,
            "version" to VERSION,
            "taken" to taken.toString(),
            "revision" to revision,
        )

    companion object {
        const val FORMAT = "umberslip-records"

        /** Rises when older readers would misunderstand a file; new fields may come at any time. */
        const val VERSION = 1L

        fun parse(fields: Fields): ArchiveHeader {
            if (fields.textOrNull("format") != FORMAT) throw ArchiveException.NotAnArchive("its format is another")
            val version = fields.long("version")
            if (version != VERSION) throw ArchiveException.UnsupportedVersion(version)
            val taken =
                try {
                    Instant.parse(fields.text("taken"))
                } catch (_: DateTimeParseException) {
                    throw ArchiveException.Corrupt("its time cannot be read")
                }
            return ArchiveHeader(taken, fields.long("revision"))
        }
    }
}

/** The records of the key-value store at one moment, as kept in a file. */
data class RecordArchive(
    val header: ArchiveHeader,
    val entries: List<Entry>,
) {
    /** What a controller would have known that read these records. */
    fun replica(): RecordReplica = RecordReplica().also { it.replace(entries) }
}

/** Why a file is not read as an archive. No part of such a file is used. */
sealed class ArchiveException(
    message: String,
) : Exception(message) {
    class NotAnArchive(
        why: String,
    ) : ArchiveException("not an archive of records: $why")

    class UnsupportedVersion(
        version: Long,
    ) : ArchiveException("an archive of version $version; this program reads version ${ArchiveHeader.VERSION}")

    /** It ends before its footer: it was being written, or copied, when something failed. */
    class Torn(
        why: String,
    ) : ArchiveException("the archive is incomplete: $why")

    /** Its contents are not what was written. */
    class Corrupt(
        why: String,
    ) : ArchiveException("the archive is damaged: $why")
}

/** A record as a line of an archive. */
internal object ArchiveLine {
    fun of(entry: Entry): Map<String, Any?> =
        mapOf(
            "path" to entry.key,
            "stamp" to entry.version.value,
            "data" to entry.data,
        )

    fun parse(fields: Fields): Entry =
        try {
            Entry(fields.text("path"), fields.raw()["data"], Version(fields.long("stamp")))
        } catch (e: MalformedMessageException) {
            throw ArchiveException.Corrupt("a record cannot be read: ${e.message}")
        }
}
