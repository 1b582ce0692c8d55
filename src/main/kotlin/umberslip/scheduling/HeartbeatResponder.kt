package umberslip.scheduling

import io.micrometer.core.instrument.MeterRegistry
import org.slf4j.LoggerFactory
import umberslip.agents.Heartbeat
import umberslip.agents.HeartbeatResponse
import umberslip.agents.HeartbeatVersion
import umberslip.agents.WorkerCommand
import umberslip.core.MachineName
import umberslip.http.Response
import umberslip.leadership.LeaderLease
import umberslip.peers.PeerHealth
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Answers workers' heartbeats. The response to an accepted heartbeat is delayed until the starts of the tasks that were
 * placed on the machine are recorded, but not for much longer than [MAX_RESPONSE_TIME]. Confined to the leader actor.
 */
internal class HeartbeatResponder(
    private val leaderLease: LeaderLease,
    private val peerHealth: () -> PeerHealth,
    metrics: MeterRegistry,
) {
    private class PendingResponse(
        val heartbeatVersion: HeartbeatVersion,
        val respond: (Response) -> Unit,
        val deadline: Duration,
    )

    private val log = LoggerFactory.getLogger("umberslip.scheduling")
    private val pending = HashMap<MachineName, PendingResponse>()

    /** Machines redirected to other controllers, while it is not known whether there is another leader. */
    private val redirectedMachines = HashSet<MachineName>()
    private val heartbeats = metrics.counter("umberslip.reports")
    private val starts = metrics.counter("umberslip.starts")

    /** Processes a heartbeat. Returns true if it was accepted and its response is pending, false if it is answered. */
    fun receive(
        scheduler: SchedulerState?,
        message: LeaderMessage.HeartbeatReceived,
        now: Duration,
    ): Boolean {
        val respond = message.respond
        if (scheduler == null || !leaderLease.mayAnswer(now)) {
            respond(REFUSED)
            return false
        }
        heartbeats.increment()
        val heartbeat = message.heartbeat
        if (shouldRedirect(heartbeat.machineName, now)) {
            respond(Response.MISDIRECTED)
            return false
        }
        when (scheduler.heartbeat(heartbeat, now)) {
            HeartbeatDisposition.OUT_OF_DATE -> respond(REFUSED)
            HeartbeatDisposition.SUPERSEDED -> {
                respond(Response.error(421, "a higher term is known"))
                leaderLease.superseded()
            }
            HeartbeatDisposition.TOKEN_BEHIND -> {
                scheduler.leaseRenewed(heartbeat.machineName, now)
                respond(Response(200, HeartbeatResponse(scheduler.term).toMap()))
            }
            HeartbeatDisposition.ACCEPTED -> {
                holdResponse(heartbeat, respond, now)
                return true
            }
        }
        return false
    }

    /** Holds back the response to [heartbeat], and refuses the machine's earlier heartbeat if it is still pending. */
    private fun holdResponse(
        heartbeat: Heartbeat,
        respond: (Response) -> Unit,
        now: Duration,
    ) {
        pending.remove(heartbeat.machineName)?.respond?.invoke(REFUSED)
        pending[heartbeat.machineName] = PendingResponse(heartbeat.heartbeatVersion, respond, now + MAX_RESPONSE_TIME)
    }

    /**
     * Whether the worker is redirected to other controllers. A leader that may no longer start tasks and reaches no
     * other controller may have a successor that its workers can find. It redirects each worker once. A worker that
     * comes back has found no other leader and is answered that time, so that its lease is renewed if the key-value
     * store is unavailable to all controllers.
     */
    private fun shouldRedirect(
        machineName: MachineName,
        now: Duration,
    ): Boolean {
        if (leaderLease.mayStart(now) || peerHealth() != PeerHealth.UNREACHABLE) {
            redirectedMachines.clear()
            return false
        }
        return redirectedMachines.add(machineName) || !redirectedMachines.remove(machineName)
    }

    /** Answers the pending heartbeat of [machine], if there is one, with its commands, or refuses the heartbeat. */
    fun respond(
        scheduler: SchedulerState,
        machine: Machine,
        now: Duration,
    ) {
        val response = pending.remove(machine.name) ?: return
        val isOutOfDate = response.heartbeatVersion != machine.heartbeatVersion
        if (isOutOfDate || machine.isTerminating || !leaderLease.mayAnswer(now)) {
            response.respond(REFUSED)
            return
        }
        val commands = scheduler.commands(machine, leaderLease.mayStart(now))
        commands.forEach { if (it is WorkerCommand.Start) starts.increment() }
        if (log.isDebugEnabled) logCommands(machine, commands, now)
        scheduler.leaseRenewed(machine.name, now)
        response.respond(Response(200, HeartbeatResponse(scheduler.term, commands).toMap()))
    }

    private fun logCommands(
        machine: Machine,
        commands: List<WorkerCommand>,
        now: Duration,
    ) {
        for (command in commands) {
            log.debug(
                "command sent: machine={} command={} term={} starts={} lease_renewed_ago={} records_read_ago={}",
                machine.name.value,
                command,
                leaderLease.term?.value,
                leaderLease.permissionToStart(now),
                now - leaderLease.renewedAt,
                now - leaderLease.readAt,
            )
        }
    }

    /** Sends the pending responses whose deadline has passed, without the starts that are not recorded yet. */
    fun respondToOverdue(
        scheduler: SchedulerState,
        now: Duration,
    ) {
        for ((name, response) in pending.entries.toList()) {
            if (response.deadline <= now) scheduler.machines[name]?.let { respond(scheduler, it, now) }
        }
    }

    /** Refuses all heartbeats whose response is pending. */
    fun refuseAll() {
        pending.values.forEach { it.respond(REFUSED) }
        pending.clear()
    }

    private companion object {
        /** Well within the 4 s that a worker waits for a response, even if the tick that sends the response is late. */
        val MAX_RESPONSE_TIME = 1200.milliseconds
        val REFUSED = Response.retryAfter(1, "not the owner, or an old report")
    }
}
