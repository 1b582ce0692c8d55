package umberslip.architecture

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import java.nio.file.Path
import kotlin.io.path.extension
import kotlin.io.path.readLines
import kotlin.io.path.walk

/** Checks which packages each package imports. `docs/architecture.md` describes the same layout. */
class PackageDependenciesTest {
    /** The packages that each package may import. They are ordered: each may import only packages listed before it. */
    private val allowed =
        linkedMapOf(
            "core" to emptySet(),
            "actor" to emptySet(),
            "http" to emptySet(),
            "monitoring" to emptySet(),
            "settings" to setOf("http"),
            "store" to setOf("core", "http"),
            "cloud" to setOf("core", "http", "store"),
            "records" to setOf("actor", "core", "http", "monitoring", "store"),
            "agents" to setOf("core", "http", "records"),
            "peers" to setOf("actor", "core", "settings"),
            "leadership" to setOf("actor", "core", "http", "monitoring", "peers", "records", "settings", "store"),
            "api" to setOf("actor", "cloud", "core", "http", "records", "settings", "store"),
            "scheduling" to
                setOf(
                    "actor",
                    "agents",
                    "cloud",
                    "core",
                    "http",
                    "leadership",
                    "peers",
                    "records",
                    "settings",
                    "store",
                ),
            "recovery" to setOf("agents", "core", "http", "monitoring", "records", "scheduling", "settings", "store"),
            "recovery.archive" to setOf("core", "http", "records", "recovery", "store"),
            "provisioning" to
                setOf(
                    "actor",
                    "cloud",
                    "core",
                    "http",
                    "leadership",
                    "monitoring",
                    "records",
                    "recovery",
                    "scheduling",
                    "settings",
                    "store",
                ),
            "daemon" to
                setOf(
                    "actor",
                    "agents",
                    "api",
                    "cloud",
                    "core",
                    "http",
                    "leadership",
                    "peers",
                    "provisioning",
                    "records",
                    "recovery",
                    "scheduling",
                    "settings",
                    "store",
                ),
            "cli" to setOf("core", "daemon", "http", "recovery", "settings", "store"),
            "toolbox" to setOf("cli", "http", "records", "recovery", "recovery.archive", "settings"),
        )

    private val imports: Map<String, Set<String>> = readImports()

    @Test
    fun `every package is listed and imports only the packages that it may import`() {
        assertEquals(allowed.keys, imports.keys)
        for ((name, imported) in imports) {
            assertEquals(emptySet<String>(), imported - allowed.getValue(name), "forbidden imports of $name")
        }
    }

    @Test
    fun `no package depends on itself through other packages`() {
        val earlier = HashSet<String>()
        for ((name, imported) in allowed) {
            assertTrue(earlier.containsAll(imported), "$name may import later packages: ${imported - earlier}")
            earlier += name
        }
    }

    private fun readImports(): Map<String, Set<String>> {
        val sources = Path.of("src/main/kotlin").walk().filter { it.extension == "kt" }
        val found = HashMap<String, HashSet<String>>()
        for (source in sources) {
            val lines = source.readLines()
            val name = packageOf(lines.first { it.startsWith("package ") }.substringAfter(' '))
            val imported = lines.mapNotNull { IMPORT.find(it) }.map { packageOf(it.groupValues[1]) }
            found.getOrPut(name) { HashSet() } += imported.filter { it != name }
        }
        return found
    }

    private fun packageOf(qualified: String): String = qualified.removePrefix("umberslip.")

    private companion object {
        /**
         * Matches an import and captures its package. Types and their nested types begin with a capital letter;
         * top-level functions directly follow the package.
         */
        val IMPORT = Regex("""^import (umberslip(?:\.[a-z][a-zA-Z]*)*)\.[A-Za-z]\w*(?:\.[A-Z]\w*)*$""")
    }
}
