package umberslip.recovery.archive

/** Why a file is not read as an archive; the message says it in one line. No part of such a file is used. */
sealed class ArchiveException(
    message: String,
) : Exception(message) {
    /** It is some other file. */
    class NotAnArchive(
        reason: String,
    ) : ArchiveException("not an archive of records: $reason")

    /** It was written by a later version in a way that this one would misunderstand. */
    class UnsupportedVersion(
        version: Long,
    ) : ArchiveException("an archive of version $version; this program reads version ${ArchiveHeader.VERSION}")

    /** It ends before its footer: it was being written, or copied, when something failed. */
    class Incomplete(
        reason: String,
    ) : ArchiveException("the archive is incomplete: $reason")

    /** Its contents are not what was written. */
    class Corrupt(
        reason: String,
    ) : ArchiveException("the archive is damaged: $reason")
}
