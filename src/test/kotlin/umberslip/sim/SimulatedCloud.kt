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
 * The shares of requests to the cloud that go wrong all the time: refused by its rate limit or for now, rejected,
 * carried out without an answer, or carried out in part.
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

/** The cloud, as all controllers see it. */
class SimulatedCloud(
    private val simulation: Simulation,
    private val workers: SimulatedWorkers,
) {
    /** While set, every request is refused. */
    var isUnavailable = false

    /** While set, responses to provisioning requests come only just in time. */
    var isProvisioningSlow = false

    var faultRates = CloudFaultRates.NONE

    /** What the cloud does against its protocol; null while it keeps to it. */
    var misbehaviour: CloudMisbehaviour? = null

    /** Provisioning requests that reached the cloud, those that it rejected included. */
    var provisioningRequests = 0
        private set

    /** The first name of a request, and the first name of a machine, of which something is rejected. */
    private var firstRequest: String? = null
    private var firstTerminated: MachineName? = null

    /** What was provisioned by the name of the request; a repeated one gets the same answer. */
    private val provisioned = HashMap<String, List<MachineName>>()

    /** What each name of a request stands for. */
    private val wanted = HashMap<String, Pair<Offer, Int>>()

    /** The cloud as one controller reaches it: requests are refused, or carried out late. */
    fun linkOf(member: Int): Cloud = Link(member)

    private inner class Link(
        private val member: Int,
    ) : Cloud {
        private val random = simulation.random
        private val requests =
            RateLimiter(simulation.settings[member].cloudRps * CLOUD_SHARE, { simulation.now() })

        private suspend fun <T> call(execute: () -> T): T {
            requests.take(1, urgent = false)
            delay(random.nextLong(50, 300))
            // Only where a test asks for it, so that what else happens with a seed stays the same.
            if (faultRates != CloudFaultRates.NONE) fail(execute)
            val luck = random.nextDouble()
            if (luck < simulation.faultRates.lossy || isUnavailable) throw ServiceUnavailableException("trouble")
            if (luck < simulation.faultRates.lossy + simulation.faultRates.late) {
                simulation.scope.launch {
                    delay(random.nextLong(500, 40_000))
                    execute()
                }
                delay(RESPONSE_TIMEOUT_MILLIS)
                throw NoResponseException("late")
            }
            return execute()
        }

        private suspend fun fail(execute: () -> Any?) {
            val luck = random.nextDouble()
            val unavailableBelow = faultRates.rateLimited + faultRates.unavailable
            val rejectedBelow = unavailableBelow + faultRates.rejected
            when {
                luck < faultRates.rateLimited -> throw RateLimitedException("cloud answered 429")
                luck < unavailableBelow -> throw ServiceUnavailableException("trouble")
                luck < rejectedBelow -> reject()
                luck < rejectedBelow + faultRates.unanswered -> {
                    execute()
                    delay(RESPONSE_TIMEOUT_MILLIS)
                    throw NoResponseException("answer lost")
                }
            }
        }

        override suspend fun instanceTypes(): List<InstanceType> =
            call {
                if (misbehaviour == CloudMisbehaviour.REJECTS_INSTANCE_TYPES) reject()
                if (misbehaviour == CloudMisbehaviour.SENDS_UNREADABLE_INSTANCE_TYPES) unreadable()
                simulation.size.instanceTypes
            }

        private fun reject(): Nothing = throw RequestRejectedException("cloud answered 400 {error=malformed}")

        private fun unreadable(): Nothing = throw MalformedMessageException("document is not a map")

        override suspend fun provision(
            name: String,
            offer: Offer,
            number: Int,
        ): List<MachineName>? {
            if (isProvisioningSlow) delay(random.nextLong(SLOW_MILLIS, SLOW_MILLIS + 1200))
            return call {
                provisioningRequests++
                refuseBeyondLimits(ProtocolLimits.provisioningViolation(offer, number, simulation.size.instanceTypes))
                if (rejects(name, offer, number)) reject()
                if (misbehaviour == CloudMisbehaviour.NEVER_ANSWERS_FIRST_NAME && isFirst(name)) {
                    throw NoResponseException("no response")
                }
                if (wanted.getOrPut(name) { offer to number } != offer to number) {
                    simulation.violated("the name $name stands for two requests, one for $number of $offer")
                }
                val machines = provisioned[name] ?: provisionNew(name, offer, number)
                if (misbehaviour == CloudMisbehaviour.SENDS_UNREADABLE_RESPONSES) {
                    throw NoResponseException("cloud: hosts is not a list")
                }
                val isNamedTwice = misbehaviour == CloudMisbehaviour.NAMES_MACHINES_TWICE
                if (isNamedTwice) machines.orEmpty() + machines.orEmpty() else machines
            }
        }

        private fun rejects(
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
                CloudMisbehaviour.REJECTS_FIRST_NAME -> isFirst(name)
                CloudMisbehaviour.REJECTS_MORE_THAN_TWO -> number > 2
                else -> false
            }

        private fun isFirst(name: String): Boolean {
            if (firstRequest == null) firstRequest = name
            return name == firstRequest
        }

        private fun refuseBeyondLimits(violation: String?) {
            if (violation == null) return
            simulation.violated("the cloud refused $violation")
            reject()
        }

        private fun provisionNew(
            name: String,
            offer: Offer,
            number: Int,
        ): List<MachineName>? {
            val capacity = simulation.size.machinesPerOffer - workers.countOf(offer)
            val isPartial = faultRates.partial > 0 && random.nextDouble() < faultRates.partial
            val wanted =
                when {
                    misbehaviour == CloudMisbehaviour.PROVISIONS_MORE -> number + 1
                    isPartial -> random.nextInt(number)
                    else -> number
                }
            val machines = List(minOf(wanted, capacity).coerceAtLeast(0)) { workers.boot(offer) }
            return machines.ifEmpty { null }?.also { provisioned[name] = it }
        }

        override suspend fun terminate(machineNames: List<MachineName>) =
            call {
                refuseBeyondLimits(ProtocolLimits.terminationViolation(machineNames))
                if (misbehaviour == CloudMisbehaviour.REJECTS_ONE_TERMINATION) {
                    if (firstTerminated == null) firstTerminated = machineNames.first()
                    if (firstTerminated in machineNames) reject()
                }
                workers.terminate(machineNames)
            }

        /** The list is up to twice the lag old, so it may be older than the one before. */
        override suspend fun listMachines(): List<ListedMachine> =
            call {
                if (misbehaviour == CloudMisbehaviour.REJECTS_LIST) reject()
                if (misbehaviour == CloudMisbehaviour.SENDS_UNREADABLE_LIST) unreadable()
                val asOf =
                    simulation.now() -
                        simulation.settings[member].listLag * simulation.listRandom.nextDouble(0.0, 2.0)
                workers.existingAt(asOf).map {
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

        /** The share of the cloud's rate that a controller keeps to. */
        const val CLOUD_SHARE = 0.8

        /** With what else a call takes, less than the time-out. */
        const val SLOW_MILLIS = 3500L
    }
}
