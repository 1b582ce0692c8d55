package umberslip.provisioning

import org.slf4j.Logger
import umberslip.cloud.InstanceType
import umberslip.cloud.Offer
import umberslip.core.Clock
import umberslip.core.MachineName
import umberslip.http.MalformedMessageException
import umberslip.http.ServiceException
import umberslip.leadership.LeaderLease
import umberslip.records.BootingMachinesRecord
import umberslip.records.Keys
import umberslip.records.RecordedBootingMachine
import umberslip.scheduling.MachineSnapshot
import umberslip.settings.Settings
import umberslip.store.KeyValueStore
import umberslip.store.Precondition
import umberslip.store.Write
import java.time.Instant
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * The machines that have been provisioned and have not sent a heartbeat yet, kept in memory and as a record in the
 * key-value store. The record is a hint that keeps the next leader from provisioning for the same demand again. A stale
 * or lost record costs some machines for a short time, but never work.
 */
internal class BootingMachines(
    private val settings: Settings,
    private val store: KeyValueStore,
    private val leaderLease: LeaderLease,
    private val clock: Clock,
    private val wallClock: () -> Instant,
    private val log: Logger,
) {
    private val machines = LinkedHashMap<MachineName, BootingMachine>()
    private var persisted: Set<MachineName> = emptySet()
    private var persistedAt = Duration.ZERO

    /** Returns a copy of the machines, in the order in which they were added. */
    fun all(): List<BootingMachine> = machines.values.toList()

    /** Returns the total processors of the machines; machines of unknown instance types count as 0. */
    fun cpus(types: Map<String, InstanceType>): Double = machines.values.sumOf { types[it.offer.type]?.cpus ?: 0.0 }

    operator fun contains(name: MachineName): Boolean = name in machines

    /** Adds a machine, or replaces the machine of the same name. */
    fun add(machine: BootingMachine) {
        machines[machine.name] = machine
    }

    fun remove(name: MachineName) {
        machines.remove(name)
    }

    fun removeAll(condition: (BootingMachine) -> Boolean) {
        machines.values.removeAll(condition)
    }

    /** Removes the machines that have sent a heartbeat; from then on, the scheduler tracks them. */
    fun removeInContact(snapshot: List<MachineSnapshot>) {
        for (machine in snapshot) if (machine.sinceContact != null) machines.remove(machine.name)
    }

    /** Notes that the cloud lists the machine as running. Its first heartbeat is still to come. */
    fun markRunning(name: MachineName) {
        machines.computeIfPresent(name) { _, machine -> machine.copy(isRunning = true) }
    }

    /**
     * Resets the state for a new leader's term to the machines that the former leader persisted; [record] is null if
     * there is no record.
     */
    fun restore(record: Any?) {
        machines.clear()
        if (record == null) return
        val now = clock.now()
        val nowEpochMillis = wallClock().toEpochMilli()
        try {
            for (recorded in BootingMachinesRecord.parse(record)) add(fromRecorded(recorded, now, nowEpochMillis))
        } catch (e: MalformedMessageException) {
            log.error(
                "record of booting machines is malformed, the rest of it is ignored: key={} reason={}",
                Keys.BOOTING_MACHINES,
                e.message,
            )
        }
    }

    /**
     * Calls [persist] if the machines have changed since the last write and that write is more than [PERSIST_INTERVAL]
     * ago.
     */
    suspend fun persistIfChanged(now: Duration) {
        if (machines.keys != persisted && now - persistedAt > PERSIST_INTERVAL) persist()
    }

    /**
     * Writes as many machines as fit into one value of the key-value store. A failed write is not repeated before the
     * next change.
     */
    suspend fun persist() {
        val version = leaderLease.version ?: return
        persisted = machines.keys.toSet()
        persistedAt = clock.now()
        val epochMillisAtClockZero = wallClock().toEpochMilli() - persistedAt.inWholeMilliseconds
        val recorded = machines.values.map { toRecorded(it, epochMillisAtClockZero) }
        val record = BootingMachinesRecord.fitting(recorded, settings.storeLimits.valueBytes)
        try {
            store.compareAndSwap(
                listOf(Precondition(Keys.LEADER, version)),
                listOf(Write.Put(Keys.BOOTING_MACHINES, record.toMap())),
            )
        } catch (e: ServiceException) {
            log.debug("booting machines may not have been persisted: reason={}", e.message)
        }
    }

    /** The record contains wall-clock times, because one leader's monotonic clock means nothing to the next leader. */
    private fun toRecorded(
        machine: BootingMachine,
        epochMillisAtClockZero: Long,
    ) = RecordedBootingMachine(
        machine.name,
        machine.offer.type,
        machine.offer.zone,
        machine.offer.spot,
        requested = Instant.ofEpochMilli(epochMillisAtClockZero + machine.requestedAt.inWholeMilliseconds),
    )

    /**
     * Converts the wall-clock time of a recorded machine to the monotonic clock. [now] and [nowEpochMillis] are the
     * same moment on the monotonic clock and on the wall clock.
     */
    private fun fromRecorded(
        recorded: RecordedBootingMachine,
        now: Duration,
        nowEpochMillis: Long,
    ): BootingMachine {
        val age = (nowEpochMillis - recorded.requested.toEpochMilli()).milliseconds
        val offer = Offer(recorded.instanceType, recorded.zone, recorded.spot)
        return BootingMachine(recorded.machineName, offer, now - age)
    }

    private companion object {
        /** Changes within this interval are written together. */
        val PERSIST_INTERVAL = 3.seconds
    }
}
