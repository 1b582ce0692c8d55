package umberslip.loopback

import java.io.File
import java.net.BindException
import java.net.InetSocketAddress
import java.net.ServerSocket
import java.nio.file.Files
import java.nio.file.Path
import java.util.concurrent.TimeUnit

/** The actual controllers as processes of their own, each with a settings file and a log file. */
class ControllerProcesses(
    count: Int,
    private val directory: Path,
    private val extraArguments: List<String>,
    settings: (member: Int, bind: List<InetSocketAddress>, peers: List<InetSocketAddress>) -> String,
) : AutoCloseable {
    private val free = freeAddresses(count * 2)
    val addresses = free.take(count)
    private val peers = free.drop(count)
    private val configurations =
        List(count) { member ->
            directory.resolve("settings-$member.json").also {
                Files.writeString(it, settings(member, addresses, peers))
            }
        }
    private val processes = arrayOfNulls<Process>(count)

    fun start(member: Int) {
        val java = Path.of(System.getProperty("java.home"), "bin", "java").toString()
        val command =
            listOf(java, "-Xmx96m", "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1") +
                listOf("-cp", System.getProperty("java.class.path"), "umberslip.cli.MainKt", "serve") +
                extraArguments + listOf("--config", configurations[member].toString())
        processes[member] =
            ProcessBuilder(command)
                .redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.appendTo(logFile(member)))
                .start()
    }

    fun startAll() = processes.indices.forEach(::start)

    fun kill(member: Int) {
        processes[member]?.destroyForcibly()?.waitFor(KILL_SECONDS, TimeUnit.SECONDS)
        processes[member] = null
    }

    fun killAll() = processes.indices.forEach(::kill)

    fun settingsFile(member: Int): Path = configurations[member]

    private fun logFile(member: Int): File = directory.resolve("controller-$member.log").toFile()

    /** The last lines of each controller's log, for a failed test's message. */
    fun logs(): String =
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
        const val KILL_SECONDS = 10L
        const val LOG_LINES = 15

        /** Below those that the system gives to connections, which could be taken while a controller is down. */
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
