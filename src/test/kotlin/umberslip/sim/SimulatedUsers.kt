package umberslip.sim

import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import umberslip.core.JobSpec
import umberslip.daemon.Controller
import umberslip.http.Response
import umberslip.records.toMap
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Users by their protocol: they submit until they are accepted, poll, repeat, cancel, and never forget an answer. */
class SimulatedUsers(
    private val simulation: Simulation,
    private val controllers: SimulatedControllers,
    private val rules: ProtocolRules,
) {
    private val random = simulation.random

    /** Since when some controller has been up and served by the key-value store all the time. */
    var servedSince = Duration.ZERO

    /** Submits a job and polls it for ever, and perhaps cancels it [cancelAfter] its acceptance. */
    fun submit(
        spec: JobSpec,
        cancelAfter: Duration?,
    ) {
        rules.add(spec)
        simulation.scope.launch {
            val connection = Connection()
            while (spec.dependencies.any { !rules.isAccepted(it.value) }) delay(200)
            submitUntilAccepted(connection, spec)
            if (cancelAfter != null) {
                simulation.scope.launch {
                    delay(cancelAfter.inWholeMilliseconds)
                    cancel(spec.id.value)
                }
            }
            poll(connection, spec)
        }
    }

    private suspend fun submitUntilAccepted(
        connection: Connection,
        spec: JobSpec,
    ) {
        val id = spec.id.value
        while (true) {
            val response = connection.request("POST", JOBS_PATH, spec.toMap())
            if (response != null && (response.status == 200 || response.status == 201)) break
            if (response != null && response.status in setOf(400, 422)) {
                simulation.violated("forgotten: $id was answered ${response.status}")
            }
            delay(RETRY_MILLIS)
        }
        rules.accepted(id)
    }

    private suspend fun poll(
        connection: Connection,
        spec: JobSpec,
    ) {
        val id = spec.id.value
        var lastAnswer = simulation.now()
        while (true) {
            delay(random.nextLong(2000, 6000))
            val requestedAt = simulation.now()
            val response = connection.request("GET", "$JOBS_PATH/$id", null)
            if (response?.status == 200) lastAnswer = simulation.now()
            if (simulation.now() - maxOf(lastAnswer, servedSince) > KNOWN_WITHIN) {
                simulation.violated("forgotten: no question about $id was answered since $lastAnswer")
            }
            if (response == null) continue
            if (response.status == 404) simulation.violated("forgotten: $id")
            if (response.status == 200) rules.answered(id, statusOf(response), requestedAt)
            // Retries may come at any time, also after the end.
            if (random.nextInt(10) == 0) repeatSubmission(connection, spec)
            if (random.nextInt(10) == 0) askForUnknown(connection, id)
        }
    }

    private suspend fun repeatSubmission(
        connection: Connection,
        spec: JobSpec,
    ) {
        val requestedAt = simulation.now()
        val response = connection.request("POST", JOBS_PATH, spec.toMap()) ?: return
        when (response.status) {
            200 -> rules.answered(spec.id.value, statusOf(response), requestedAt)
            201 -> simulation.violated("went_back: ${spec.id.value} accepted again")
        }
    }

    private suspend fun askForUnknown(
        connection: Connection,
        id: String,
    ) {
        val response = connection.request("GET", "$JOBS_PATH/no-$id", null)
        if (response?.status == 200) simulation.violated("invented: no-$id")
    }

    /** Requests the cancellation until it is answered that the job is cancelled or done. */
    fun cancel(id: String) {
        if (!rules.cancellationRequested(id)) return
        simulation.scope.launch {
            val connection = Connection()
            while (true) {
                val requestedAt = simulation.now()
                val response = connection.request("POST", "$JOBS_PATH/$id/cancel", null)
                if (response?.status == 200) {
                    rules.answered(id, statusOf(response), requestedAt)
                    break
                }
                delay(RETRY_MILLIS)
            }
        }
    }

    private fun statusOf(response: Response): String = (response.body as Map<*, *>)["status"] as String

    /** A user's connection: kept while it works, else led to a controller that says it is ready. */
    private inner class Connection {
        private var controller: Controller? = null

        suspend fun request(
            method: String,
            path: String,
            body: Any?,
        ): Response? {
            delay(random.nextLong(1, 20))
            val to = controller?.takeIf { it in controllers } ?: ready() ?: return null
            val response =
                withTimeoutOrNull(RESPONSE_TIMEOUT_MILLIS) { controllers.request(to, method, path, body).await() }
            response?.let { ProtocolLimits.response(it.body) }?.let { simulation.violated("$path answered with $it") }
            controller = to.takeIf { response?.closeConnection == false }
            return response
        }

        private suspend fun ready(): Controller? =
            controllers.running.shuffled(random).firstOrNull {
                withTimeoutOrNull(PROBE_MILLIS) { controllers.request(it, "GET", "/ready", null).await() }?.status ==
                    200
            }
    }

    private companion object {
        const val JOBS_PATH = "/api/jobs"
        const val RETRY_MILLIS = 1000L
        const val RESPONSE_TIMEOUT_MILLIS = 5000L

        /** How long the load balancer waits for an answer to a probe. */
        const val PROBE_MILLIS = 1000L

        /** A job about which no question is answered for so long counts as forgotten. */
        val KNOWN_WITHIN = 75.seconds
    }
}
