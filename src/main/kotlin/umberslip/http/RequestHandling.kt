package umberslip.http

/** A request to this controller. */
class Request(
    val method: String,
    /** Without the query. */
    val path: String,
    val body: ByteArray,
) {
    /** The body as a CBOR map; a [MalformedMessageException] becomes status 400. */
    fun fields(): Fields = Fields.of(Documents.readCbor(body))
}

/** This controller's response to a request. */
class Response(
    val status: Int,
    /** Sent as CBOR; null for an empty body. */
    val body: Any?,
    val retryAfterSeconds: Int? = null,
    /** Sent as text in place of [body]. */
    val plain: String? = null,
    /** Closes the connection, so that the sender's next one may lead to another controller. */
    val closeConnection: Boolean = false,
) {
    companion object {
        private const val ERROR = "error"

        /** Asks the sender to try again later; for requests that this controller cannot serve now. */
        fun retryAfter(
            seconds: Int,
            why: String,
            closeConnection: Boolean = false,
        ) = Response(503, mapOf(ERROR to why), seconds, closeConnection = closeConnection)

        /** To a worker: another controller leads, and this one does not know which; the worker asks the others. */
        val MISDIRECTED = Response(421, emptyMap<String, Any?>())

        fun error(
            status: Int,
            why: String,
        ) = Response(status, mapOf(ERROR to why))
    }
}

/** Responds to a request, at once or later, exactly once, on the event loop. */
fun interface Handler {
    /** May throw [MalformedMessageException], which becomes status 400, before it responded. */
    fun handle(
        request: Request,
        respond: (Response) -> Unit,
    )
}
