package umberslip.scheduling

import org.slf4j.LoggerFactory
import umberslip.settings.Settings
import umberslip.settings.Timings
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** What the passing of time brings: leases that end, machines to drain, machines to keep for large tasks. Pure. */
class Maintenance(
    private val scheduler: SchedulerState,
    private val settings: Settings,
    private val timings: Timings,
) {
    private val log = LoggerFactory.getLogger("umberslip.scheduling")
    private val preemption = Preemption(scheduler)

    fun tick(now: Duration) {
        val silentZones by lazy(LazyThreadSafetyMode.NONE) { silentZones(now) }
        scheduler.failures.tick(now)
        for (machine in scheduler.machines.values) {
            if (machine.leaseExpiry <= now) leaseExpired(machine, now) { machine.zone in silentZones }
            drain(machine, now)
            scheduler.failures.judge(machine, now)
        }
        scheduler.inheritPriorities(now)
        for (job in scheduler.assemblingGangs()) scheduler.enforceAssemblyTimeout(job, now)
        for (team in scheduler.teams.values) reserveMachine(team, now)
        preemption.run(now)
    }

    private var unheardSince: Duration? = null

    /**
     * Hardly any of the machines that were heard under this leader is heard now, for a while: it is the
     * leader that cannot be reached, since neither a cut zone nor a wave of losses takes all at once.
     */
    fun hasLostWorkers(now: Duration): Boolean {
        val lately = now - settings.workers.heartbeatInterval * 3
        val heardTimes = scheduler.machines.values.mapNotNull { it.lastContact }
        val unheard = heardTimes.size >= FEW && heardTimes.count { it > lately } * UNHEARD_PART < heardTimes.size
        val since = if (unheard) unheardSince ?: now else null
        unheardSince = since
        return since != null && now - since >= SURE
    }

    /** Zones with several machines none of which was heard lately. */
    private fun silentZones(now: Duration): Set<String> =
        scheduler.machines.values
            .groupBy { it.zone }
            .filterValues { all -> all.size > 1 && all.all { it.timeSinceContact(now) > settings.workers.lease / 2 } }
            .keys

    /**
     * Small tasks would fill every gap for ever before a large one: a team's first job that found no
     * place for long gets the next machine that can hold its task to itself, until one is placed.
     */
    private fun reserveMachine(
        team: Dispatcher,
        now: Duration,
    ) {
        val kept = scheduler.machines.values.filter { it.reservedFor?.spec?.team == team.team.name }
        val (useful, useless) = kept.partition { isReservationUseful(it, team, now) }
        for (machine in useless) {
            machine.reserveFor(null, now)
            team.restartHeadTimer(now)
        }
        if (useful.isNotEmpty()) return
        // Only the first in order can be stuck for want of a large enough gap; others wait their turn.
        val starvingJob = team.blockedHeadSince(now - STARVING_AFTER, now) ?: return
        val machine =
            scheduler.machines.values
                .filter {
                    it.usable &&
                        it.reservedFor == null &&
                        starvingJob.spec.id !in it.failures &&
                        Dispatcher.allowed(starvingJob, it) &&
                        it.capacity?.covers(starvingJob.resources) == true
                }.minByOrNull { it.used.cpus } ?: return
        machine.reserveFor(starvingJob, now)
        log.info(
            "machine {} is kept for job {}, which found no place for {}",
            machine.name.value,
            starvingJob.spec.id.value,
            STARVING_AFTER,
        )
    }

    /** Its job's limit, zone or a failure here may have come between; others are not to wait for that. */
    private fun isReservationUseful(
        machine: Machine,
        team: Dispatcher,
        now: Duration,
    ): Boolean {
        val job = machine.reservedFor ?: return false
        return job.waiting > 0 &&
            !job.isQuarantined &&
            scheduler.jobs[job.spec.id] === job &&
            machine.usable &&
            now - machine.reservedSince < RESERVATION_TIMEOUT &&
            Dispatcher.allowed(job, machine) &&
            team.withinLimit(job.resources) &&
            job.spec.id !in machine.failures
    }

    /**
     * The leases that the leader renewed are over, but another controller may have renewed them since,
     * on behalf of a zone that is cut off. So a machine with tasks is condemned first: a heartbeat that
     * is answered by others was sent before the condemnation was written, or is answered no more.
     */
    private fun leaseExpired(
        machine: Machine,
        now: Duration,
        zoneSilent: () -> Boolean,
    ) {
        if (machine.assignments.isEmpty()) {
            if (machine.isReconciled) scheduler.forget(machine, now)
            return
        }
        val renewalRevokedAt = machine.renewalRevokedAt
        if (renewalRevokedAt == null) {
            if (machine.timeSinceContact(now) < settings.workers.lease) return
            // A zone that is silent as a whole is cut off rather than dead, and works on inside. Of
            // machines not heard since the takeover the zone is not known; several are taken for one.
            if (machine.timeSinceContact(now) > CUT_PATIENCE || !zoneSilent()) scheduler.writeAheadLog.pendingRevocations += machine.name
        } else if (now >= renewalRevokedAt + timings.stretched(timings.lease) + timings.margin) {
            log.warn(
                "machine {} is silent and its leases have run out: {} tasks wait again",
                machine.name.value,
                machine.assignments.size,
            )
            scheduler.forget(machine, now)
        }
    }

    /** On a machine that is about to be taken, what can save does so while there is time. */
    private fun drain(
        machine: Machine,
        now: Duration,
    ) {
        val end = machine.interruptionAt ?: return
        for (a in machine.assignments.values) {
            if (a.reserved || a.gracePeriod != null || a.job.spec.checkpointIntervalSeconds <= 0) continue
            val need = a.job.spec.checkpointSaveSeconds.seconds + settings.workers.heartbeatInterval * 2 + timings.margin * 2
            if (end - now <= need) scheduler.stop(a, a.job.spec.checkpointSaveSeconds.seconds)
        }
    }

    /**
     * From machines that are to be returned, tasks that save go on elsewhere if there is room now and
     * enough left to do; one that began a short while ago stays, since its start would not count.
     */
    fun migrate(
        machines: List<Machine>,
        now: Duration,
    ) {
        val movable =
            machines.flatMap { m ->
                m.assignments.values.filter { a ->
                    val left = a.left(now)
                    left != null &&
                        a.mayMigrate(now, MIN_RUNTIME_BEFORE_MIGRATION) &&
                        left >= a.job.spec.checkpointSaveSeconds.seconds * 2 + MIN_REMAINING_FOR_MIGRATION
                }
            }
        if (movable.isEmpty()) return
        var moving = scheduler.machines.values.sumOf { m -> m.assignments.values.count { it.gracePeriod != null } }
        val resources = HashMap<RunningJob, Int>()
        for (a in movable) {
            val places =
                resources.getOrPut(a.job) {
                    scheduler.machines.values.sumOf {
                        if (it.usable && Dispatcher.allowed(a.job, it)) it.free()?.countOf(a.resources) ?: 0 else 0
                    }
                }
            if (places <= moving) continue
            scheduler.stop(a, a.job.spec.checkpointSaveSeconds.seconds)
            moving++
        }
    }

    private companion object {
        val CUT_PATIENCE = 60.seconds
        val MIN_RUNTIME_BEFORE_MIGRATION = 32.seconds
        val MIN_REMAINING_FOR_MIGRATION = 10.seconds
        val STARVING_AFTER = 30.seconds
        val RESERVATION_TIMEOUT = 60.seconds
        const val FEW = 4

        /** Fewer than one in so many is hardly any. */
        const val UNHEARD_PART = 10
        val SURE = 1.seconds
    }
}
