package umberslip.sim

import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import umberslip.cloud.Cloud
import umberslip.cloud.InstanceType
import umberslip.cloud.ListedMachine
import umberslip.cloud.MachineStatus
import umberslip.cloud.Offer
import umberslip.core.MachineName
import umberslip.http.NoResponseException
import umberslip.http.ServiceUnavailableException
import kotlin.time.Duration.Companion.milliseconds

/** The cloud, as all controllers see it. */
class SimulatedCloud(
    private val simulation: Simulation,
    private val workers: SimulatedWorkers,
) {
    /** While set, every request is refused. */
    var isOut = false

    /** While set, responses to provisioning requests come only just in time. */
    var isProvisioningSlow = false

    /** What was provisioned by the name of the request; a repeated one gets the same answer. */
    private val provisioned = HashMap<String, List<MachineName>>()

    /** The cloud as one controller reaches it: requests are refused, or carried out late. */
    fun linkOf(member: Int): Cloud = Link(member)

    private inner class Link(
        private val member: Int,
    ) : Cloud {
        private val random = simulation.random

        private suspend fun <T> call(execute: () -> T): T {
            delay(random.nextLong(50, 300))
            val luck = random.nextDouble()
            if (luck < simulation.faultRates.lossy || isOut) throw ServiceUnavailableException("trouble")
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

        override suspend fun instanceTypes(): List<InstanceType> = call { simulation.size.instanceTypes }

        override suspend fun provision(
            name: String,
            offer: Offer,
            number: Int,
        ): List<MachineName>? {
            if (isProvisioningSlow) delay(random.nextLong(SLOW_MILLIS, SLOW_MILLIS + 1200))
            return call { provisioned[name] ?: provisionNew(name, offer, number) }
        }

        private fun provisionNew(
            name: String,
            offer: Offer,
            number: Int,
        ): List<MachineName>? {
            val capacity = simulation.size.machinesPerOffer - workers.countOf(offer)
            val machines = List(minOf(number, capacity).coerceAtLeast(0)) { workers.boot(offer) }
            return machines.ifEmpty { null }?.also { provisioned[name] = it }
        }

        override suspend fun terminate(machineNames: List<MachineName>) = call { workers.terminate(machineNames) }

        /** The list is up to twice the lag old, so it may be older than the one before. */
        override suspend fun listMachines(): List<ListedMachine> =
            call {
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

        /** With what else a call takes, less than the time-out. */
        const val SLOW_MILLIS = 3500L
    }
}
