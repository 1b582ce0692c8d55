package umberslip.cli

import picocli.CommandLine.Command
import umberslip.daemon.Daemon
import java.util.concurrent.Callable

/** Runs a controller in this process. */
@Command(name = "serve", mixinStandardHelpOptions = true, description = ["Run a controller until it is killed."])
class Serve :
    SettingsOptions(),
    Callable<Int> {
    override fun call(): Int {
        val (settings, tuning) = load()
        Daemon(settings, tuning).run()
        return 0
    }
}
