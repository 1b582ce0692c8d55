package umberslip.recovery.archive

import com.github.luben.zstd.ZstdIOException
import com.github.luben.zstd.ZstdInputStream
import com.github.luben.zstd.ZstdOutputStream
import umberslip.http.Documents
import umberslip.http.Fields
import umberslip.http.MalformedMessageException
import umberslip.store.Entry
import java.io.BufferedReader
import java.io.BufferedWriter
import java.io.EOFException
import java.io.IOException
import java.io.InputStreamReader
import java.nio.charset.CharacterCodingException
import java.nio.charset.StandardCharsets
import java.nio.file.AtomicMoveNotSupportedException
import java.nio.file.Files
import java.nio.file.Path
import java.nio.file.StandardCopyOption
import java.security.MessageDigest
import java.util.HexFormat

/**
 * Writes and reads archives as files of JSON Lines that are compressed with Zstandard, so that `zstdcat` and `jq` can
 * read them, too. The first line is the header and is followed by one line for each record. The last line is a footer
 * with the number of records and the SHA-256 of all lines before it.
 */
object ArchiveFile {
    /** Archives are small and written rarely, so the file size matters more than the time. */
    private const val COMPRESSION_LEVEL = 9

    private const val RECORDS = "records"
    private const val CHECKSUM = "sha256"

    /**
     * Writes [archive] to [file] and replaces an existing file. The new file appears complete or not at all, since it
     * is written under another name first. Throws [IOException].
     */
    fun write(
        archive: RecordArchive,
        file: Path,
    ) {
        val unfinished = file.resolveSibling("${file.fileName}.unfinished")
        try {
            writeLines(archive, unfinished)
            replaceFile(unfinished, file)
        } finally {
            Files.deleteIfExists(unfinished)
        }
    }

    private fun replaceFile(
        from: Path,
        to: Path,
    ) {
        try {
            Files.move(from, to, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING)
        } catch (_: AtomicMoveNotSupportedException) {
            Files.move(from, to, StandardCopyOption.REPLACE_EXISTING)
        }
    }

    private fun writeLines(
        archive: RecordArchive,
        file: Path,
    ) {
        val checksum = Checksum()
        val compressed = ZstdOutputStream(Files.newOutputStream(file), COMPRESSION_LEVEL).setChecksum(true)
        BufferedWriter(compressed.writer(StandardCharsets.UTF_8)).use { out ->
            fun writeLine(line: Map<String, Any?>) {
                val text = Documents.writeJson(line)
                checksum.addLine(text)
                out.write(text)
                out.write("\n")
            }
            writeLine(archive.header.toMap())
            archive.entries.forEach { writeLine(ArchiveLine.toMap(it)) }
            val hash = checksum.hex()
            writeLine(mapOf(RECORDS to archive.entries.size, CHECKSUM to hash))
        }
    }

    /** Reads and checks a whole archive. Throws [ArchiveException], or [IOException] if the file cannot be read. */
    fun read(file: Path): RecordArchive {
        val input = Files.newInputStream(file)
        return try {
            // An explicit decoder rejects malformed UTF-8; a reader that is given a charset would replace it.
            val text = InputStreamReader(ZstdInputStream(input), StandardCharsets.UTF_8.newDecoder())
            BufferedReader(text).use(::readLines)
        } catch (_: EOFException) {
            throw ArchiveException.Incomplete("the compressed data ends early")
        } catch (e: ZstdIOException) {
            throw decompressionFailed(e)
        } catch (_: CharacterCodingException) {
            throw ArchiveException.Corrupt("its text is not UTF-8")
        }
    }

    private fun decompressionFailed(cause: ZstdIOException): ArchiveException =
        when {
            "Truncated" in cause.message.orEmpty() -> ArchiveException.Incomplete("the compressed data ends early")
            "Unknown frame descriptor" in cause.message.orEmpty() -> ArchiveException.NotAnArchive("not Zstandard data")
            else -> ArchiveException.Corrupt(cause.message ?: "it cannot be decompressed")
        }

    private fun readLines(lines: BufferedReader): RecordArchive {
        val checksum = Checksum()
        val first = lines.readLine() ?: throw ArchiveException.Incomplete("it is empty")
        val header = parseLine(first) { ArchiveHeader.parse(it) }
        checksum.addLine(first)
        val entries = ArrayList<Entry>()
        // A line is known to be a record only when another line follows, since the last line is the footer.
        var line = lines.readLine() ?: throw ArchiveException.Incomplete("it has no footer")
        while (true) {
            val next = lines.readLine() ?: break
            entries += parseLine(line, ArchiveLine::parse)
            checksum.addLine(line)
            line = next
        }
        checkFooter(line, entries.size, checksum)
        return RecordArchive(header, entries)
    }

    private fun checkFooter(
        line: String,
        records: Int,
        checksum: Checksum,
    ) = parseLine(line) { footer ->
        if (!footer.has(CHECKSUM)) throw ArchiveException.Incomplete("its last line is not a footer")
        if (footer.long(RECORDS) != records.toLong()) {
            throw ArchiveException.Corrupt("it has $records records, but its footer says ${footer.long(RECORDS)}")
        }
        if (footer.text(CHECKSUM) != checksum.hex()) throw ArchiveException.Corrupt("its checksum does not match")
    }

    private fun <T> parseLine(
        line: String,
        parseFields: (Fields) -> T,
    ): T =
        try {
            parseFields(Fields.of(Documents.readJson(line)))
        } catch (e: MalformedMessageException) {
            throw ArchiveException.Corrupt("malformed line: ${e.message}")
        }

    /** The SHA-256 of lines, each including its line break. */
    private class Checksum {
        private val digest = MessageDigest.getInstance("SHA-256")

        fun addLine(line: String) {
            digest.update(line.toByteArray())
            digest.update('\n'.code.toByte())
        }

        fun hex(): String = HexFormat.of().formatHex((digest.clone() as MessageDigest).digest())
    }
}
