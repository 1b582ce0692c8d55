package umberslip.recovery

import umberslip.core.Term
import java.io.IOException
import java.net.InetSocketAddress
import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpResponse
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.toJavaDuration

/** Reads the metrics that [RecoveryMetrics] publishes, over the controllers' HTTP interface. Blocks the caller. */
class ControllerMetrics(
    /** For the connection and for the response, each. */
    private val timeout: Duration = 3.seconds,
) {
    private val client = HttpClient.newBuilder().connectTimeout(timeout.toJavaDuration()).build()

    /** Never fails: a controller that cannot be asked is [ControllerAnswer.Unreachable]. */
    fun ask(address: InetSocketAddress): ControllerAnswer {
        val name = "${address.hostString}:${address.port}"
        val request =
            HttpRequest.newBuilder(URI.create("http://$name/metrics")).timeout(timeout.toJavaDuration()).build()
        return try {
            val response = client.send(request, HttpResponse.BodyHandlers.ofString())
            if (response.statusCode() == OK) {
                parse(name, response.body())
            } else {
                ControllerAnswer.Unreachable(name, "answered ${response.statusCode()}")
            }
        } catch (e: IOException) {
            ControllerAnswer.Unreachable(name, e.message ?: "no connection")
        }
    }

    companion object {
        private const val OK = 200

        /** Reads Prometheus' text format: one sample a line, `name{labels} value`. */
        fun parse(
            address: String,
            metrics: String,
        ): ControllerAnswer {
            val samples = HashMap<String, Double>()
            for (line in metrics.lineSequence()) {
                if (line.startsWith('#')) continue
                val value = line.substringAfterLast(' ').toDoubleOrNull() ?: continue
                samples[line.substringBeforeLast(' ')] = value
            }
            val term = samples[exported(RecoveryMetrics.TERM)] ?: return ControllerAnswer.NotTracked(address)
            if (term == 0.0) return ControllerAnswer.NotLeader(address)
            return ControllerAnswer.Leader(address, snapshot(samples))
        }

        private fun snapshot(samples: Map<String, Double>): RecoverySnapshot {
            fun count(name: String) = samples[exported(name)]?.toInt() ?: 0

            fun time(name: String) = samples[exported(name)]?.takeIf { it.isFinite() }?.seconds

            return RecoverySnapshot(
                term = Term(count(RecoveryMetrics.TERM).toLong()),
                phase = RecoveryPhase.entries[count(RecoveryMetrics.PHASE)],
                elapsed = time(RecoveryMetrics.ELAPSED) ?: Duration.ZERO,
                recordedTasks = count(RecoveryMetrics.RECORDED_TASKS),
                unreconciledMachines = count(RecoveryMetrics.UNRECONCILED_MACHINES),
                unreconciledTasks = count(RecoveryMetrics.UNRECONCILED_TASKS),
                lostTasks = count(RecoveryMetrics.LOST_TASKS),
                findings = findings(samples),
                firstAdoptionAfter = time(RecoveryMetrics.FIRST_ADOPTION),
                mostAccountedForAfter = time(RecoveryMetrics.MOST_ACCOUNTED_FOR),
                completedAfter = time(RecoveryMetrics.COMPLETED),
            )
        }

        private fun findings(samples: Map<String, Double>): Map<ReconciliationFinding, Int> =
            ReconciliationFinding.entries
                .associateWith { finding ->
                    val label = "${RecoveryMetrics.FINDING_TAG}=\"${finding.jsonName}\""
                    samples["${exported(RecoveryMetrics.FINDINGS)}{$label}"]?.toInt() ?: 0
                }.filterValues { it > 0 }

        /** As Micrometer's Prometheus registry writes a meter's name. */
        private fun exported(name: String) = name.replace('.', '_')
    }
}
