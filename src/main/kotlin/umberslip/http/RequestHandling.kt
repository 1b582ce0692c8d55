package umberslip.http

/** A request to this controller. */
class Request(
    val method: String,
    /** The path without the query. */
    val path: String,
    val body: ByteArray,
) {
    /** Reads the body as a CBOR map. The server responds to a [MalformedMessageException] with status 400. */
    fun fields(): Fields = Fields.of(Documents.readCbor(body))
}

/** This controller's response to a request. */
class Response(
    val status: Int,
    /** Sent as CBOR; null for an empty body. */
    val body: Any?,
    val retryAfterSeconds: Int? = null,
    /** Sent as text instead of [body]. */
    val plainText: String? = null,
    /** Whether to close the connection, so that the sender's next one may reach another controller. */
    val closeConnection: Boolean = false,
) {
    companion object {
        private const val ERROR = "error"

        /** Asks the sender to retry later, since this controller cannot serve the request now. */
        fun retryAfter(
            seconds: Int,
            reason: String,
            closeConnection: Boolean = false,
        ) = Response(503, mapOf(ERROR to reason), seconds, closeConnection = closeConnection)

        /** Tells a worker that this controller does not lead and names no leader. The worker then asks the others. */
        val MISDIRECTED = Response(421, emptyMap<String, Any?>())

        fun error(
            status: Int,
            reason: String,
        ) = Response(status, mapOf(ERROR to reason))
    }
}

/** Handles requests on the event loop. */
fun interface Handler {
    /**
     * Handles [request] and calls [respond] exactly once, at once or later. Before the response, it may throw
     * [MalformedMessageException], to which the server responds with status 400.
     */
    fun handle(
        request: Request,
        respond: (Response) -> Unit,
    )
}
