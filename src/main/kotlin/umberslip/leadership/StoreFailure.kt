package umberslip.leadership

import umberslip.http.NoResponseException
import umberslip.http.ServiceUnavailableException

/**
 * Runs [request] to the key-value store; where that throws that the store is unavailable, or did not respond,
 * [onFailure] gets the reason and answers in its place. For requests whose failure means the same either way: it is
 * tried again.
 */
internal inline fun <T> catchingStoreFailure(
    onFailure: (reason: String?) -> T,
    request: () -> T,
): T =
    try {
        request()
    } catch (e: ServiceUnavailableException) {
        onFailure(e.message)
    } catch (e: NoResponseException) {
        onFailure(e.message)
    }
