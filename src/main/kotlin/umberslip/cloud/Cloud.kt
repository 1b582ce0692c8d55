package umberslip.cloud

import umberslip.core.MachineName
import umberslip.http.NoResponseException
import umberslip.http.RequestRejectedException
import umberslip.http.ServiceUnavailableException

/**
 * The cloud, as its published protocol describes it. Every call may throw [ServiceUnavailableException] (the request
 * was refused for now), [RequestRejectedException] (the request was rejected because of its content) or
 * [NoResponseException] (the outcome is indeterminate: the request may have been carried out, or may yet be).
 */
interface Cloud {
    /** Returns the instance types that the cloud offers, at current prices. */
    suspend fun instanceTypes(): List<InstanceType>

    /**
     * Provisions up to [number] machines and returns the provisioned ones; null if there is no capacity. The [name]
     * identifies the request: a request that was carried out returns the same result when it is repeated. No other
     * request may ever use the same name.
     */
    suspend fun provision(
        name: String,
        offer: Offer,
        number: Int,
    ): List<MachineName>?

    /** Terminates machines: when it returns, they and everything on them are terminated. Unknown names are ignored. */
    suspend fun terminate(machineNames: List<MachineName>)

    /** Returns all machines as of a time in the past, because the list lags behind the cloud's actual state. */
    suspend fun listMachines(): List<ListedMachine>
}
