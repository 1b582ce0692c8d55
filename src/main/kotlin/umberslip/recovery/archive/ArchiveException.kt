package umberslip.recovery.archive

/**
 * Thrown if a file cannot be read as an archive. The message gives the reason in one line. No part of such a file is
 * used.
 */
sealed class ArchiveException(
    message: String,
) : Exception(message) {
    /** The file is of another kind. */
    class NotAnArchive(
        reason: String,
    ) : ArchiveException("not an archive of records: $reason")

    /** The file was written by a later version in a format that this version would misread. */
    class UnsupportedVersion(
        version: Long,
    ) : ArchiveException("unsupported archive version $version; this program reads version ${ArchiveHeader.VERSION}")

    /** The file ends before its footer: a failure interrupted writing or copying it. */
    class Incomplete(
        reason: String,
    ) : ArchiveException("the archive is incomplete: $reason")

    /** The file's contents differ from what was written. */
    class Corrupt(
        reason: String,
    ) : ArchiveException("the archive is damaged: $reason")
}
