package umberslip.loopback

import java.io.File
import java.net.BindException
import java.net.InetSocketAddress
import java.net.ServerSocket
import java.nio.file.Files
import java.nio.file.Path
import java.util.concurrent.TimeUnit

/** The actual controllers as separate processes, each with its own settings file and log file. */
class ControllerProcesses(
    count: Int,
    private val directory: Path,
    private val extraArguments: List<String>,
    settingsJson: (member: Int, bind: List<InetSocketAddress>, peers: List<InetSocketAddress>) -> String,
) : AutoCloseable {
    private val allAddresses = freeAddresses(count * 2)
    val addresses = allAddresses.take(count)
    private val peers = allAddresses.drop(count)
    private val settingsFiles =
        List(count) { member ->
            directory.resolve("settings-$member.json").also {
                Files.writeString(it, settingsJson(member, addresses, peers))
            }
        }
    private val processes = arrayOfNulls<Process>(count)

    fun start(member: Int) {
        val java = Path.of(System.getProperty("java.home"), "bin", "java").toString()
        val command =
            listOf(java, "-Xmx96m", "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1") +
                listOf("-cp", System.getProperty("java.class.path"), "umberslip.cli.MainKt", "serve") +
                extraArguments + listOf("--config", settingsFiles[member].toString())
        processes[member] =
            ProcessBuilder(command)
                .redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.appendTo(logFile(member)))
                .start()
    }

    fun startAll() = processes.indices.forEach(::start)

    fun kill(member: Int) {
        processes[member]?.destroyForcibly()?.waitFor(KILL_TIMEOUT_SECONDS, TimeUnit.SECONDS)
        processes[member] = null
    }

    fun killAll() = processes.indices.forEach(::kill)

    fun settingsFile(member: Int): Path = settingsFiles[member]

    private fun logFile(member: Int): File = directory.resolve("controller-$member.log").toFile()

    /** Returns the last lines of each controller's log, for the message of a failed test. */
    fun recentLogs(): String =
        processes.indices.joinToString("\n") { member ->
            "controller $member:\n" +
                logFile(member)
                    .takeIf { it.exists() }
                    ?.readLines()
                    ?.takeLast(LOG_LINES)
                    ?.joinToString("\n")
        }

    override fun close() = killAll()

    private companion object {
        const val KILL_TIMEOUT_SECONDS = 10L
        const val LOG_LINES = 15

        /**
         * Ports below the system's ephemeral range. An ephemeral port could be assigned to another connection while a
         * controller is down.
         */
        val PORTS = 20_000..30_000

        fun freeAddresses(count: Int): List<InetSocketAddress> =
            PORTS
                .shuffled()
                .asSequence()
                .map { InetSocketAddress("127.0.0.1", it) }
                .filter(::isFree)
                .take(count)
                .toList()

        fun isFree(address: InetSocketAddress): Boolean =
            try {
                ServerSocket().use { it.bind(address) }
                true
            } catch (_: BindException) {
                false
            }
    }
}
