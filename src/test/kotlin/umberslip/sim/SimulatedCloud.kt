package umberslip.sim

import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import umberslip.cloud.Cloud
import umberslip.cloud.InstanceType
import umberslip.cloud.ListedMachine
import umberslip.cloud.MachineStatus
import umberslip.cloud.Offer
import umberslip.core.MachineName
import umberslip.http.MalformedMessageException
import umberslip.http.NoResponseException
import umberslip.http.RateLimitedException
import umberslip.http.RequestRejectedException
import umberslip.http.ServiceUnavailableException
import umberslip.store.RateLimiter
import kotlin.time.Duration.Companion.milliseconds

/**
 * The shares of requests to the cloud that fail throughout a run.
 *
 * @param rateLimited of all requests: refused because of the cloud's rate limit
 * @param unavailable of all requests: refused because the cloud is temporarily unavailable
 * @param rejected of all requests: rejected for what they ask
 * @param unanswered of all requests: carried out, but the response is lost
 * @param partial of provisioning requests that are carried out: provision fewer machines than requested
 */
class CloudFaultRates(
    val rateLimited: Double = 0.0,
    val unavailable: Double = 0.0,
    val rejected: Double = 0.0,
    val unanswered: Double = 0.0,
    val partial: Double = 0.0,
) {
    companion object {
        val NONE = CloudFaultRates()
    }
}

/** The simulated cloud, which all controllers share. */
class SimulatedCloud(
    private val simulation: Simulation,
    private val workers: SimulatedWorkers,
) {
    /** While set, every request is refused as unavailable. */
    var isUnavailable = false

    /** While set, responses to provisioning requests arrive only just before the time-out. */
    var isProvisioningSlow = false

    var faultRates = CloudFaultRates.NONE

    /** How the cloud violates its protocol; null while it follows it. */
    var misbehaviour: CloudMisbehaviour? = null

    /** The number of provisioning requests that reached the cloud, including those that it rejected. */
    var provisioningRequests = 0
        private set

    /** The request name and the machine that some kinds of [misbehaviour] apply to: the first ones that were seen. */
    private var firstRequestName: String? = null
    private var firstTerminatedMachine: MachineName? = null

    /** The machines that were provisioned, by the name of the request: a repeated request gets the same result. */
    private val machinesByRequest = HashMap<String, List<MachineName>>()

    /** The offer and number of machines of each request, by its name: no two requests may share a name. */
    private val requestsByName = HashMap<String, Pair<Offer, Int>>()

    /** Returns a controller's connection to the cloud, on which requests may be refused or carried out late. */
    fun linkOf(member: Int): Cloud = Link(member)

    private inner class Link(
        private val member: Int,
    ) : Cloud {
        private val random = simulation.random
        private val rateLimiter =
            RateLimiter(simulation.settings[member].cloudRps * CLOUD_RATE_SHARE, { simulation.now() })

        private suspend fun <T> call(execute: () -> T): T {
            rateLimiter.take(1, urgent = false)
            delay(random.nextLong(50, 300))
            // Draws a random number only if a test sets these rates, so that the seeds of other tests keep their runs.
            if (faultRates != CloudFaultRates.NONE) injectFault(execute)
            val draw = random.nextDouble()
            if (draw < simulation.faultRates.lossy || isUnavailable) throw ServiceUnavailableException("unavailable")
            if (draw < simulation.faultRates.lossy + simulation.faultRates.late) {
                simulation.scope.launch {
                    delay(random.nextLong(500, 40_000))
                    execute()
                }
                delay(RESPONSE_TIMEOUT_MILLIS)
                throw NoResponseException("no response from the cloud; the request is carried out later")
            }
            return execute()
        }

        private suspend fun injectFault(execute: () -> Any?) {
            val draw = random.nextDouble()
            val unavailableBelow = faultRates.rateLimited + faultRates.unavailable
            val rejectedBelow = unavailableBelow + faultRates.rejected
            when {
                draw < faultRates.rateLimited -> throw RateLimitedException("cloud answered 429")
                draw < unavailableBelow -> throw ServiceUnavailableException("unavailable")
                draw < rejectedBelow -> reject()
                draw < rejectedBelow + faultRates.unanswered -> {
                    execute()
                    delay(RESPONSE_TIMEOUT_MILLIS)
                    throw NoResponseException("response of the cloud lost")
                }
            }
        }

        override suspend fun instanceTypes(): List<InstanceType> =
            call {
                if (misbehaviour == CloudMisbehaviour.REJECTS_INSTANCE_TYPES) reject()
                if (misbehaviour == CloudMisbehaviour.SENDS_UNREADABLE_INSTANCE_TYPES) failToParse()
                simulation.size.instanceTypes
            }

        private fun reject(): Nothing = throw RequestRejectedException("cloud answered 400 {error=malformed}")

        private fun failToParse(): Nothing = throw MalformedMessageException("document is not a map")

        override suspend fun provision(
            name: String,
            offer: Offer,
            number: Int,
        ): List<MachineName>? {
            if (isProvisioningSlow) delay(random.nextLong(MIN_SLOW_MILLIS, MIN_SLOW_MILLIS + 1200))
            return call {
                provisioningRequests++
                rejectBeyondLimits(ProtocolLimits.provisioningViolation(offer, number, simulation.size.instanceTypes))
                if (isRejected(name, offer, number)) reject()
                if (misbehaviour == CloudMisbehaviour.NEVER_ANSWERS_FIRST_NAME && isFirstRequest(name)) {
                    throw NoResponseException("no response from the cloud")
                }
                if (requestsByName.getOrPut(name) { offer to number } != offer to number) {
                    simulation.violated("the request name $name was used again, for $number machines of $offer")
                }
                val machines = machinesByRequest[name] ?: provisionNew(name, offer, number)
                if (misbehaviour == CloudMisbehaviour.SENDS_UNREADABLE_RESPONSES) {
                    throw NoResponseException("cloud: hosts is not a list")
                }
                val isNamedTwice = misbehaviour == CloudMisbehaviour.NAMES_MACHINES_TWICE
                if (isNamedTwice) machines.orEmpty() + machines.orEmpty() else machines
            }
        }

        private fun isRejected(
            name: String,
            offer: Offer,
            number: Int,
        ): Boolean =
            when (misbehaviour) {
                CloudMisbehaviour.REJECTS_ALL -> true
                CloudMisbehaviour.REJECTS_TYPE ->
                    offer.type ==
                        simulation.size.instanceTypes
                            .last()
                            .label
                CloudMisbehaviour.REJECTS_ZONE -> offer.zone == "east"
                CloudMisbehaviour.REJECTS_FIRST_NAME -> isFirstRequest(name)
                CloudMisbehaviour.REJECTS_MORE_THAN_TWO -> number > 2
                else -> false
            }

        private fun isFirstRequest(name: String): Boolean {
            if (firstRequestName == null) firstRequestName = name
            return name == firstRequestName
        }

        private fun rejectBeyondLimits(violation: String?) {
            if (violation == null) return
            simulation.violated("the cloud rejected $violation")
            reject()
        }

        private fun provisionNew(
            name: String,
            offer: Offer,
            number: Int,
        ): List<MachineName>? {
            val capacity = simulation.size.machinesPerOffer - workers.countMachines(offer)
            val isPartial = faultRates.partial > 0 && random.nextDouble() < faultRates.partial
            val target =
                when {
                    misbehaviour == CloudMisbehaviour.PROVISIONS_MORE -> number + 1
                    isPartial -> random.nextInt(number)
                    else -> number
                }
            val machines = List(minOf(target, capacity).coerceAtLeast(0)) { workers.boot(offer) }
            return machines.ifEmpty { null }?.also { machinesByRequest[name] = it }
        }

        override suspend fun terminate(machineNames: List<MachineName>) =
            call {
                rejectBeyondLimits(ProtocolLimits.terminationViolation(machineNames))
                if (misbehaviour == CloudMisbehaviour.REJECTS_ONE_TERMINATION) {
                    if (firstTerminatedMachine == null) firstTerminatedMachine = machineNames.first()
                    if (firstTerminatedMachine in machineNames) reject()
                }
                workers.terminate(machineNames)
            }

        /** The list is up to twice the lag old, so it may describe an earlier time than the list returned before it. */
        override suspend fun listMachines(): List<ListedMachine> =
            call {
                if (misbehaviour == CloudMisbehaviour.REJECTS_LIST) reject()
                if (misbehaviour == CloudMisbehaviour.SENDS_UNREADABLE_LIST) failToParse()
                val asOf =
                    simulation.now() -
                        simulation.settings[member].listLag * simulation.listRandom.nextDouble(0.0, 2.0)
                workers.machinesAt(asOf).map {
                    ListedMachine(
                        MachineName(it.name),
                        it.offer.type,
                        it.offer.zone,
                        it.offer.spot,
                        MachineStatus.RUNNING,
                        asOf - it.provisionedAt,
                    )
                }
            }
    }

    private companion object {
        const val RESPONSE_TIMEOUT_MILLIS = 5000L

        /** The share of the cloud's rate limit that a controller uses. */
        const val CLOUD_RATE_SHARE = 0.8

        /** The least delay of a slow response. With the rest of the call, the delay stays below the time-out. */
        const val MIN_SLOW_MILLIS = 3500L
    }
}
