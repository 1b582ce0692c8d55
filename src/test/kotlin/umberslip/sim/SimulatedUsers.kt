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

/**
 * Users who follow the job API's protocol: they submit jobs until these are accepted, poll them, repeat submissions and
 * cancel jobs. [rules] checks the answers that they get, also against earlier ones.
 */
class SimulatedUsers(
    private val simulation: Simulation,
    private val controllers: SimulatedControllers,
    private val rules: ProtocolRules,
) {
    private val random = simulation.random

    /** Since when there has always been a controller that runs and reaches the key-value store. */
    var serviceAvailableSince = Duration.ZERO

    /**
     * Submits a job once those that it depends on are accepted, and polls it until the end of the simulation. If
     * [cancelAfter] is given, the job is cancelled that long after its acceptance.
     */
    fun submit(
        spec: JobSpec,
        cancelAfter: Duration?,
    ) {
        rules.register(spec)
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
                simulation.violated("forgotten: the submission of $id was answered ${response.status}")
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
        var lastAnsweredAt = simulation.now()
        while (true) {
            delay(random.nextLong(2000, 6000))
            val requestedAt = simulation.now()
            val response = connection.request("GET", "$JOBS_PATH/$id", null)
            if (response?.status == 200) lastAnsweredAt = simulation.now()
            if (simulation.now() - maxOf(lastAnsweredAt, serviceAvailableSince) > MAX_UNANSWERED) {
                simulation.violated("forgotten: no status request for $id was answered since $lastAnsweredAt")
            }
            if (response == null) continue
            if (response.status == 404) simulation.violated("forgotten: the status request for $id was answered 404")
            if (response.status == 200) rules.answered(id, statusOf(response), requestedAt)
            // Users may repeat a submission at any time, even after the job has ended.
            if (random.nextInt(10) == 0) repeatSubmission(connection, spec)
            if (random.nextInt(10) == 0) requestUnknownJob(connection, id)
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
            201 -> simulation.violated("went_back: ${spec.id.value} was accepted a second time")
        }
    }

    private suspend fun requestUnknownJob(
        connection: Connection,
        id: String,
    ) {
        val response = connection.request("GET", "$JOBS_PATH/no-$id", null)
        if (response?.status == 200) simulation.violated("invented: the status request for no-$id was answered 200")
    }

    /** Requests the cancellation again and again until it is answered 200 with the job's status. */
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

    /**
     * A user's connection through the load balancer. It stays with its controller until a request fails or the response
     * closes the connection; then the next request goes to a controller that reports itself ready.
     */
    private inner class Connection {
        private var controller: Controller? = null

        suspend fun request(
            method: String,
            path: String,
            body: Any?,
        ): Response? {
            delay(random.nextLong(1, 20))
            val target = controller?.takeIf { it in controllers } ?: findReady() ?: return null
            val response =
                withTimeoutOrNull(RESPONSE_TIMEOUT_MILLIS) { controllers.request(target, method, path, body).await() }
            response
                ?.let { ProtocolLimits.responseViolation(it.body) }
                ?.let { simulation.violated("$path was answered with $it") }
            controller = target.takeIf { response?.closeConnection == false }
            return response
        }

        private suspend fun findReady(): Controller? =
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

        /** A job for which no status request is answered for this long counts as forgotten. */
        val MAX_UNANSWERED = 75.seconds
    }
}
