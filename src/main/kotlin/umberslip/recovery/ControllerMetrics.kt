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

/**
 * Reads the metrics that [RecoveryMetrics] publishes through the controllers' HTTP interface. Blocks the calling
 * thread.
 */
class ControllerMetrics(
    /** The timeout of the connection and, separately, of the response. */
    private val timeout: Duration = 3.seconds,
) {
    private val client = HttpClient.newBuilder().connectTimeout(timeout.toJavaDuration()).build()

    /** Never fails: returns [ControllerAnswer.Unreachable] if the controller cannot be queried. */
    fun query(address: InetSocketAddress): ControllerAnswer {
        val hostAndPort = "${address.hostString}:${address.port}"
        val request =
            HttpRequest.newBuilder(URI.create("http://$hostAndPort/metrics")).timeout(timeout.toJavaDuration()).build()
        return try {
            val response = client.send(request, HttpResponse.BodyHandlers.ofString())
            if (response.statusCode() == OK) {
                parse(hostAndPort, response.body())
            } else {
                ControllerAnswer.Unreachable(hostAndPort, "answered ${response.statusCode()}")
            }
        } catch (e: IOException) {
            ControllerAnswer.Unreachable(hostAndPort, e.message ?: "no connection")
        }
    }

    companion object {
        private const val OK = 200

        /** Parses Prometheus' text format, which has one sample per line: `name{labels} value`. */
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
            val term = samples[prometheusName(RecoveryMetrics.TERM)] ?: return ControllerAnswer.NotTracked(address)
            if (term == 0.0) return ControllerAnswer.NotLeader(address)
            return ControllerAnswer.Leader(address, parseSnapshot(samples))
        }

        private fun parseSnapshot(samples: Map<String, Double>): RecoverySnapshot {
            fun number(name: String) = samples[prometheusName(name)]?.toInt() ?: 0

            fun duration(name: String) = samples[prometheusName(name)]?.takeIf { it.isFinite() }?.seconds

            return RecoverySnapshot(
                term = Term(number(RecoveryMetrics.TERM).toLong()),
                phase = RecoveryPhase.entries[number(RecoveryMetrics.PHASE)],
                elapsed = duration(RecoveryMetrics.ELAPSED) ?: Duration.ZERO,
                recordedTasks = number(RecoveryMetrics.RECORDED_TASKS),
                unreconciledMachines = number(RecoveryMetrics.UNRECONCILED_MACHINES),
                unreconciledTasks = number(RecoveryMetrics.UNRECONCILED_TASKS),
                lostTasks = number(RecoveryMetrics.LOST_TASKS),
                findings = parseFindings(samples),
                firstAdoptionAfter = duration(RecoveryMetrics.FIRST_ADOPTION),
                mostAccountedForAfter = duration(RecoveryMetrics.MOST_ACCOUNTED_FOR),
                completedAfter = duration(RecoveryMetrics.COMPLETED),
            )
        }

        private fun parseFindings(samples: Map<String, Double>): Map<ReconciliationFinding, Int> =
            ReconciliationFinding.entries
                .associateWith { finding ->
                    val label = "${RecoveryMetrics.FINDING_TAG}=\"${finding.jsonName}\""
                    samples["${prometheusName(RecoveryMetrics.FINDINGS)}{$label}"]?.toInt() ?: 0
                }.filterValues { it > 0 }

        /** Returns a meter's name in the form that Micrometer's Prometheus registry exports. */
        private fun prometheusName(name: String) = name.replace('.', '_')
    }
}
