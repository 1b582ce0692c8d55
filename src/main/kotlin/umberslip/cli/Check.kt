package umberslip.cli

import picocli.CommandLine.Command
import picocli.CommandLine.Model.CommandSpec
import picocli.CommandLine.Spec
import java.util.concurrent.Callable

/** Checks the settings files as `serve` does, but starts no controller. */
@Command(name = "check", mixinStandardHelpOptions = true, description = ["Check the settings files and exit."])
class Check :
    SettingsOptions(),
    Callable<Int> {
    @Spec
    lateinit var spec: CommandSpec

    override fun call(): Int {
        val (settings, _) = load()
        spec.commandLine().out.run {
            val counts = "${settings.teams.size} teams, ${settings.zones.size} zones"
            println("${settings.member}: settings are valid ($counts)")
            flush()
        }
        return 0
    }
}
