package umberslip.cli

import picocli.CommandLine.Command
import umberslip.daemon.Daemon
import umberslip.settings.Settings
import umberslip.settings.Tuning
import java.util.concurrent.Callable
import kotlin.concurrent.thread

/**
 * Runs a controller for a short time while the cloud and the key-value store do not respond. The build uses this to
 * collect the classes that a start needs for the class-data archive.
 */
@Command(name = "warm-up", hidden = true)
class WarmUp : Callable<Int> {
    override fun call(): Int {
        thread(isDaemon = true) { Daemon(Settings.parse(SETTINGS), Tuning()).run() }
        Thread.sleep(DURATION_MILLIS)
        return 0
    }

    private companion object {
        /** Long enough for the first failed connections and the first log lines. */
        const val DURATION_MILLIS = 1500L

        const val SETTINGS = """{"member":"a","area":"z","bind":"127.0.0.1:18979",
            "peer_listen":"127.0.0.1:18980","known":[],
            "endpoints":{"cloud":"127.0.0.1:18981","state":"127.0.0.1:18982"},
            "settings":{"nodes":1,"zones":["z"],
            "teams":[{"name":"t","cpus":1.0,"cpus_max":2.0,"gpus":0.0,"gpus_max":0.0}],
            "objectives":[{"kind":"finished","class":"c","within_s":60.0,"share":0.9}],
            "workers":{"report_s":1.0,"lease_s":10.0,"gang_wait_s":30.0,"gang_peer_s":4.0,"cancel_s":30.0},
            "state":{"rps":100.0,"write_rps":20.0,"value_kb":8.0,"txn_ops":12},"cloud":{"rps":5.0,"list_lag_s":4.0},
            "quota":{"cpu":0.25,"ram_mb":200.0,"sockets":200},"skew_ms":25.0}}"""
    }
}
