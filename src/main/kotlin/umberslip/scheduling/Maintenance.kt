package umberslip.scheduling

import umberslip.settings.Settings
import umberslip.settings.Timings
import kotlin.time.Duration

/**
 * The leader's work that becomes due with time rather than with a heartbeat. Each kind of work has a class of its own;
 * this class calls them in a fixed order on every tick. Pure: time is an input.
 */
class Maintenance(
    private val scheduler: SchedulerState,
    settings: Settings,
    timings: Timings,
) {
    private val leaseExpiry = LeaseExpiry(scheduler, settings.workers, timings)
    private val interruptionDraining = InterruptionDraining(settings.workers, timings)
    private val machineReservations = MachineReservations(scheduler)
    private val largeTaskReservations = LargeTaskReservations(scheduler)
    private val preemption = Preemption(scheduler)
    private val migration = Migration(scheduler)
    private val workerContact = WorkerContact(scheduler, settings.workers)

    /** Does the work that is due; called several times a second. */
    fun tick(now: Duration) {
        val unresponsiveZones by lazy(LazyThreadSafetyMode.NONE) { workerContact.unresponsiveZones(now) }
        scheduler.failures.tick(now)
        for (machine in scheduler.machines.values) {
            leaseExpiry.check(machine, now) { machine.zone in unresponsiveZones }
            interruptionDraining.check(machine, now)
            scheduler.failures.assess(machine, now)
        }
        scheduler.inheritPriorities(now)
        scheduler.gangAssembly.enforceTimeouts(now)
        for (team in scheduler.teams.values) machineReservations.update(team, now)
        largeTaskReservations.update(now)
        preemption.run(now)
    }

    /**
     * Returns whether the leader has lost contact with nearly all workers for some time. It has to be called on every
     * tick, since it measures that time.
     */
    fun hasLostContact(now: Duration): Boolean = workerContact.isLost(now)

    /** Migrates tasks off these draining machines where possible, see [Migration]. */
    fun migrate(
        machines: List<Machine>,
        now: Duration,
    ) = migration.migrate(machines, now)
}
