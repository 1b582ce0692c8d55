package umberslip.cli

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.io.TempDir
import java.io.PrintWriter
import java.io.StringWriter
import java.net.InetAddress
import java.net.ServerSocket
import java.nio.file.Files
import java.nio.file.Path

/** The output and the exit codes that an operator sees when starting the program for the first time. */
class CommandLineTest {
    private class Outcome(
        val exitCode: Int,
        val out: String,
        val err: String,
    )

    private fun run(vararg arguments: String): Outcome {
        val out = StringWriter()
        val err = StringWriter()
        val line = Umberslip.commandLine().setOut(PrintWriter(out)).setErr(PrintWriter(err))
        return Outcome(line.execute(*arguments), out.toString().trim(), err.toString().trim())
    }

    private val example: String = Files.readString(EXAMPLE)

    @Test
    fun `the example settings are valid`() {
        val outcome = run("check", "--config", "$EXAMPLE", "--tuning", "deploy/recovery.toml")
        assertEquals(0, outcome.exitCode, outcome.err)
        assertEquals("c-0: settings are valid (2 teams, 2 zones)", outcome.out)
    }

    @Test
    fun `a settings file that does not exist is named in one line`(
        @TempDir folder: Path,
    ) {
        val missing = folder.resolve("missing.json")
        val outcome = run("check", "--config", "$missing")
        assertEquals(1, outcome.exitCode)
        assertEquals("umberslip: $missing cannot be read: no such file", outcome.err)
    }

    @Test
    fun `an invalid setting is named in one line with its file and key`(
        @TempDir folder: Path,
    ) {
        val config = Files.writeString(folder.resolve("settings.json"), example.replace("\"nodes\": 3", "\"nodes\": 0"))
        val outcome = run("check", "--config", "$config")
        assertEquals(1, outcome.exitCode)
        assertEquals("umberslip: $config: settings.nodes must be above 0", outcome.err)

        val tuning = Files.writeString(folder.resolve("tuning.toml"), "[ownership]\nhold_s = 60.0\n")
        val outcomeOfBoth = run("check", "--config", "$EXAMPLE", "--tuning", "$tuning")
        assertEquals(1, outcomeOfBoth.exitCode)
        assertTrue(outcomeOfBoth.err.startsWith("umberslip: $tuning: ownership.hold_s is too long"), outcomeOfBoth.err)
    }

    @Test
    fun `an address that is in use is named in one line with its setting`(
        @TempDir folder: Path,
    ) {
        ServerSocket(0, 1, InetAddress.getByName("127.0.0.1")).use { occupied ->
            val address = "127.0.0.1:${occupied.localPort}"
            val settings = example.replace("\"bind\": \"127.0.0.1:8080\"", "\"bind\": \"$address\"")
            val config = Files.writeString(folder.resolve("settings.json"), settings)
            val outcome = run("serve", "--config", "$config")
            assertEquals(1, outcome.exitCode)
            assertTrue(outcome.err.startsWith("umberslip: bind: cannot listen on $address: "), outcome.err)
            assertEquals(1, outcome.err.lines().size, outcome.err)
        }
    }

    private companion object {
        val EXAMPLE: Path = Path.of("docs/settings.example.json")
    }
}
