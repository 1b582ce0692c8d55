package umberslip.daemon

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.launch
import org.slf4j.LoggerFactory
import umberslip.agents.FollowerLeaseRenewal
import umberslip.agents.Heartbeat
import umberslip.agents.HeartbeatCodec
import umberslip.http.MalformedMessageException
import umberslip.http.Request
import umberslip.http.Response
import umberslip.leadership.LeaderLease
import umberslip.records.RecordWatcher
import umberslip.scheduling.Leader
import umberslip.scheduling.LeaderMessage
import umberslip.settings.Settings

/**
 * Receives the workers' heartbeats. The leader answers them. A follower redirects the worker to the leader or, if the
 * leader cannot be reached, renews the worker's lease on the leader's behalf. Runs on the actors' thread.
 */
class HeartbeatReceiver(
    private val scope: CoroutineScope,
    private val settings: Settings,
    private val leaderLease: LeaderLease,
    private val leader: Leader,
    private val recordWatcher: RecordWatcher,
    private val leaseRenewal: FollowerLeaseRenewal,
    private val isReachable: (String) -> Boolean,
    private val isServedByStore: () -> Boolean,
) {
    private val log = LoggerFactory.getLogger("umberslip.daemon")

    /** The member that leads according to the records last read. */
    var leaderMember: String? = null

    private var renewalsInFlight = 0

    /** Machines whose malformed heartbeats have been logged. */
    private val loggedMachines = HashSet<String>()

    /** @throws MalformedMessageException if the body is not a valid heartbeat */
    fun receive(
        request: Request,
        respond: (Response) -> Unit,
    ) {
        if (leaderLease.isLeader) {
            val accepted = leader.trySend(LeaderMessage.HeartbeatReceived(parse(request), respond))
            if (!accepted) respond(Routes.MAILBOX_FULL)
            return
        }
        val otherLeader = leaderMember?.takeIf { it != settings.member }
        if (otherLeader != null && isReachable(otherLeader)) {
            respond(Response(MISDIRECTED_REQUEST, mapOf(LEADER_FIELD to otherLeader)))
            return
        }
        // Redirecting a worker to an unreachable controller would cost it seconds of its lease. Its lease is renewed
        // here instead while the leader's record exists; otherwise the worker asks the other controllers. The record
        // may be that of this member's previous process: after all processes have ended, every second of a lease
        // counts.
        if (leaderMember == null || renewalsInFlight >= settings.sockets) {
            respond(Response.MISDIRECTED)
            return
        }
        renewLease(parse(request), respond)
    }

    private fun renewLease(
        heartbeat: Heartbeat,
        respond: (Response) -> Unit,
    ) {
        if (!isServedByStore() || !leaseRenewal.acceptIfNew(heartbeat)) {
            respond(Response.MISDIRECTED)
            return
        }
        renewalsInFlight++
        scope.launch {
            var response = Response.MISDIRECTED
            try {
                val answer = recordWatcher.confirm()?.let { FollowerLeaseRenewal.answer(heartbeat, it) }
                if (answer != null) response = Response(OK, answer.toMap())
            } finally {
                renewalsInFlight--
                respond(response)
            }
        }
    }

    private fun parse(request: Request): Heartbeat =
        try {
            HeartbeatCodec.parse(request.body)
        } catch (e: MalformedMessageException) {
            logMalformed(request, e)
            throw e
        }

    /** Logs malformed heartbeats once per machine, not once per heartbeat. */
    private fun logMalformed(
        request: Request,
        cause: MalformedMessageException,
    ) {
        val machineName =
            try {
                request.fields().textOrNull(MACHINE_FIELD)
            } catch (_: MalformedMessageException) {
                null
            }
        if (loggedMachines.size < MAX_LOGGED_MACHINES && loggedMachines.add(machineName.orEmpty())) {
            log.info("malformed heartbeat: machine={} reason={}", machineName, cause.message)
        }
    }

    private companion object {
        const val OK = 200
        const val MISDIRECTED_REQUEST = 421

        /** The response field that names the controller to send heartbeats to. */
        const val LEADER_FIELD = "dispatcher"

        /** The heartbeat field that names the machine. */
        const val MACHINE_FIELD = "host"

        /** Bounds the memory used to remember the machines whose malformed heartbeats were logged. */
        const val MAX_LOGGED_MACHINES = 2000
    }
}
