package umberslip.http

/** A document or one of its fields does not conform to the protocol. The message names the field. */
class MalformedMessageException(
    message: String,
) : Exception(message)

/** A request to another service failed. The subtype tells whether the request may have been carried out. */
sealed class ServiceException(
    message: String,
) : Exception(message)

/** The request was certainly not carried out: it was refused, or never sent. */
open class ServiceUnavailableException(
    message: String,
) : ServiceException(message)

/** The request was refused because it exceeded the service's rate limit. */
class RateLimitedException(
    message: String,
) : ServiceUnavailableException(message)

/** The request was refused because of its content. If sent again unchanged, it would be refused again. */
class RequestRejectedException(
    message: String,
) : ServiceException(message)

/** No response arrived. The request may have been carried out, or may be carried out later. */
class NoResponseException(
    message: String,
) : ServiceException(message)
