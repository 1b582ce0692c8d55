package umberslip.dispatch

import org.slf4j.LoggerFactory
import umberslip.agents.Machine
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
    private val log = LoggerFactory.getLogger("umberslip.dispatch")
    private val preemption = Preemption(scheduler)

    fun tick(now: Duration) {
        val silentZones by lazy(LazyThreadSafetyMode.NONE) { silentZones(now) }
        scheduler.failures.tick(now)
        for (machine in scheduler.machines.values) {
            if (machine.leaseEnd <= now) leaseOver(machine, now) { machine.zone in silentZones }
            drain(machine, now)
            scheduler.failures.judge(machine, now)
        }
        scheduler.rerank(now)
        for (job in scheduler.gathering()) scheduler.gatherInTime(job, now)
        for (team in scheduler.teams.values) keepMachine(team, now)
        preemption.run(now)
    }

    private var unheardSince: Duration? = null

    /**
     * Hardly any of the machines that were heard under this owner is heard now, for a while: it is the
     * owner that cannot be reached, since neither a cut zone nor a wave of losses takes all at once.
     */
    fun isUnheard(now: Duration): Boolean {
        val lately = now - settings.workers.report * 3
        val heardTimes = scheduler.machines.values.mapNotNull { it.lastHeard }
        val unheard = heardTimes.size >= FEW && heardTimes.count { it > lately } * UNHEARD_PART < heardTimes.size
        val since = if (unheard) unheardSince ?: now else null
        unheardSince = since
        return since != null && now - since >= SURE
    }

    /** Zones with several machines none of which was heard lately. */
    private fun silentZones(now: Duration): Set<String> =
        scheduler.machines.values
            .groupBy { it.zone }
            .filterValues { all -> all.size > 1 && all.all { it.silence(now) > settings.workers.lease / 2 } }
            .keys

    /**
     * Small tasks would fill every gap for ever before a large one: a team's first job that found no
     * place for long gets the next machine that can hold its task to itself, until one is placed.
     */
    private fun keepMachine(
        team: Dispatcher,
        now: Duration,
    ) {
        val kept = scheduler.machines.values.filter { it.keptFor?.spec?.team == team.team.name }
        val (useful, useless) = kept.partition { isUsefullyKept(it, team, now) }
        for (machine in useless) {
            machine.keepFor(null, now)
            team.startOver(now)
        }
        if (useful.isNotEmpty()) return
        // Only the first in order can be stuck for want of a large enough gap; others wait their turn.
        val hungry = team.stuckSince(now - HUNGRY, now) ?: return
        val machine =
            scheduler.machines.values
                .filter {
                    it.usable &&
                        it.keptFor == null &&
                        hungry.spec.id !in it.failures &&
                        Dispatcher.allowed(hungry, it) &&
                        it.capacity?.covers(hungry.room) == true
                }.minByOrNull { it.used.cpus } ?: return
        machine.keepFor(hungry, now)
        log.info(
            "machine {} is kept for job {}, which found no place for {}",
            machine.name.value,
            hungry.spec.id.value,
            HUNGRY,
        )
    }

    /** Its job's limit, zone or a failure here may have come between; others are not to wait for that. */
    private fun isUsefullyKept(
        machine: Machine,
        team: Dispatcher,
        now: Duration,
    ): Boolean {
        val job = machine.keptFor ?: return false
        return job.waiting > 0 &&
            !job.isDoubtful &&
            scheduler.jobs[job.spec.id] === job &&
            machine.usable &&
            now - machine.keptSince < KEPT &&
            Dispatcher.allowed(job, machine) &&
            team.withinLimit(job.room) &&
            job.spec.id !in machine.failures
    }

    /**
     * The leases that the owner renewed are over, but another controller may have renewed them since,
     * on behalf of a zone that is cut off. So a machine with tasks is condemned first: a report that
     * is answered by others was sent before the condemnation was written, or is answered no more.
     */
    private fun leaseOver(
        machine: Machine,
        now: Duration,
        zoneSilent: () -> Boolean,
    ) {
        if (machine.assignments.isEmpty()) {
            if (machine.proven) scheduler.forget(machine, now)
            return
        }
        val condemnedAt = machine.condemnedAt
        if (condemnedAt == null) {
            if (machine.silence(now) < settings.workers.lease) return
            // A zone that is silent as a whole is cut off rather than dead, and works on inside. Of
            // machines not heard since the takeover the zone is not known; several are taken for one.
            if (machine.silence(now) > CUT_PATIENCE || !zoneSilent()) scheduler.pendingWrites.toCondemn += machine.name
        } else if (now >= condemnedAt + timings.stretched(timings.lease) + timings.margin) {
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
        val end = machine.takenAt ?: return
        for (a in machine.assignments.values) {
            if (a.reserved || a.windDown != null || a.job.spec.checkpointSeconds <= 0) continue
            val need = a.job.spec.savingSeconds.seconds + settings.workers.report * 2 + timings.margin * 2
            if (end - now <= need) scheduler.stop(a, a.job.spec.savingSeconds.seconds)
        }
    }

    /**
     * From machines that are to be returned, tasks that save go on elsewhere if there is room now and
     * enough left to do; one that began a short while ago stays, since its start would not count.
     */
    fun moveOn(
        machines: List<Machine>,
        now: Duration,
    ) {
        val movable =
            machines.flatMap { m ->
                m.assignments.values.filter { a ->
                    val left = a.left(now)
                    left != null &&
                        a.mayMove(now, SETTLED) &&
                        left >= a.job.spec.savingSeconds.seconds * 2 + WORTH_MOVING
                }
            }
        if (movable.isEmpty()) return
        var moving = scheduler.machines.values.sumOf { m -> m.assignments.values.count { it.windDown != null } }
        val room = HashMap<RunningJob, Int>()
        for (a in movable) {
            val places =
                room.getOrPut(a.job) {
                    scheduler.machines.values.sumOf {
                        if (it.usable && Dispatcher.allowed(a.job, it)) it.free()?.times(a.room) ?: 0 else 0
                    }
                }
            if (places <= moving) continue
            scheduler.stop(a, a.job.spec.savingSeconds.seconds)
            moving++
        }
    }

    private companion object {
        val CUT_PATIENCE = 60.seconds
        val SETTLED = 32.seconds
        val WORTH_MOVING = 10.seconds
        val HUNGRY = 30.seconds
        val KEPT = 60.seconds
        const val FEW = 4

        /** Fewer than one in so many is hardly any. */
        const val UNHEARD_PART = 10
        val SURE = 1.seconds
    }
}
