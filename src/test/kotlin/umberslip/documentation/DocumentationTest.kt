package umberslip.documentation

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import java.nio.file.Files
import java.nio.file.Path
import kotlin.io.path.extension
import kotlin.io.path.name
import kotlin.io.path.readText
import kotlin.io.path.walk

/** Checks that the documentation for operators and newcomers agrees with the code. */
class DocumentationTest {
    private val sources: List<Path> =
        Path
            .of("src/main/kotlin")
            .walk()
            .filter { it.extension == "kt" }
            .toList()

    @Test
    fun `the operations page lists exactly the warnings and errors of the log`() {
        val logged = sources.flatMap { LOG_CALL.findAll(it.readText()) }.map { it.groupValues[1].substringBefore(':') }
        val page = Files.readString(Path.of("docs/operations.md"))
        val table = page.substringAfter("| message | meaning | what to do |").substringBefore("\n## ")
        val listed = TABLE_ROW.findAll(table).map { it.groupValues[1] }.toList()
        assertTrue(logged.size > 10, "only ${logged.size} messages found")
        assertEquals(logged.toSortedSet(), listed.toSortedSet())
    }

    @Test
    fun `every source file that the architecture page names exists`() {
        val page = Files.readString(Path.of("docs/architecture.md"))
        val named = SOURCE_FILE.findAll(page).map { it.groupValues[1] }.toSet()
        assertTrue(named.size > 10, "only ${named.size} files named")
        val missing = named.filter { !Files.exists(Path.of("src/main/kotlin/umberslip", it)) }
        assertEquals(emptyList<String>(), missing)
    }

    @Test
    fun `every package has a page of its own`() {
        val folders = sources.map { it.parent }.toSet().filter { it.name != "archive" }
        assertEquals(emptyList<Path>(), folders.filter { !Files.exists(it.resolve("README.md")) })
    }

    private companion object {
        val LOG_CALL = Regex("""(?:log|LOG)\.(?:warn|error)\(\s*"([^"]+)"""")
        val TABLE_ROW = Regex("""(?m)^\| `([^`]+)` \|""")
        val SOURCE_FILE = Regex("""`([a-z]+/\w+\.kt)`""")
    }
}
