package umberslip.daemon

import umberslip.api.JobApi
import umberslip.api.JobApiMessage
import umberslip.core.JobId
import umberslip.http.Request
import umberslip.http.Response
import umberslip.records.JobSpecCodec

/** Routes HTTP requests for the users' API, heartbeats, health checks and metrics to their handlers. */
class Routes(
    private val jobApi: JobApi,
    private val heartbeatReceiver: HeartbeatReceiver,
    private val isReady: () -> Boolean,
    private val scrapeMetrics: () -> String,
) {
    /** Handles a request. [respond] is called exactly once, at once or later. */
    fun handle(
        request: Request,
        respond: (Response) -> Unit,
    ) {
        val path = request.path
        when {
            path == READY -> requireMethod("GET", request, respond) { respond(readinessResponse()) }
            path == METRICS ->
                requireMethod("GET", request, respond) { respond(Response(OK, null, plainText = scrapeMetrics())) }
            path == HEARTBEAT -> requireMethod("POST", request, respond) { heartbeatReceiver.receive(request, respond) }
            path == JOBS -> requireMethod("POST", request, respond) { submit(request, respond) }
            path.startsWith(JOB) && path.endsWith(CANCEL) ->
                requireMethod("POST", request, respond) {
                    withJobId(path.removeSuffix(CANCEL), respond) { send(JobApiMessage.Cancel(it, respond), respond) }
                }
            path.startsWith(JOB) ->
                requireMethod("GET", request, respond) {
                    withJobId(path, respond) { send(JobApiMessage.Status(it, respond), respond) }
                }
            else -> respond(Response.error(NOT_FOUND, "no such path"))
        }
    }

    private fun readinessResponse(): Response =
        if (isReady()) {
            Response(OK, mapOf("ready" to true))
        } else {
            Response.retryAfter(1, "the state service does not serve this controller")
        }

    private fun submit(
        request: Request,
        respond: (Response) -> Unit,
    ) = send(JobApiMessage.Submit(JobSpecCodec.parse(request.fields()), respond), respond)

    private fun send(
        message: JobApiMessage,
        respond: (Response) -> Unit,
    ) {
        if (!jobApi.trySend(message)) respond(MAILBOX_FULL)
    }

    private fun requireMethod(
        method: String,
        request: Request,
        respond: (Response) -> Unit,
        handle: () -> Unit,
    ) {
        if (request.method == method) handle() else respond(Response.error(METHOD_NOT_ALLOWED, "only $method"))
    }

    private fun withJobId(
        path: String,
        respond: (Response) -> Unit,
        handle: (JobId) -> Unit,
    ) {
        val id = JobId.parse(path.removePrefix(JOB))
        if (id == null) respond(Response.error(NOT_FOUND, "no such job")) else handle(id)
    }

    companion object {
        /** The error text for a request that did not fit into an actor's mailbox. */
        const val TOO_BUSY = "too busy"

        /** The response to a request that did not fit into an actor's mailbox. */
        val MAILBOX_FULL = Response.retryAfter(2, TOO_BUSY)

        private const val OK = 200
        private const val NOT_FOUND = 404
        private const val METHOD_NOT_ALLOWED = 405

        private const val READY = "/ready"
        private const val METRICS = "/metrics"
        private const val HEARTBEAT = "/agent/beat"
        private const val JOBS = "/api/jobs"
        private const val JOB = "/api/jobs/"
        private const val CANCEL = "/cancel"
    }
}
