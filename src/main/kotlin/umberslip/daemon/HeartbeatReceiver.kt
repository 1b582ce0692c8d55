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
 * Takes in the workers' heartbeats. The leader answers them; a follower sends the worker to the leader, or renews its
 * lease on the leader's behalf where the leader cannot be reached. Runs on the actors' thread.
 */
class HeartbeatReceiver(
    private val scope: CoroutineScope,
    private val settings: Settings,
    private val leaderLease: LeaderLease,
    private val leader: Leader,
    private val recordWatcher: RecordWatcher,
    private val renewal: FollowerLeaseRenewal,
    private val isReachable: (String) -> Boolean,
    private val isServedByStore: () -> Boolean,
) {
    private val log = LoggerFactory.getLogger("umberslip.daemon")

    /** The member that leads, as the records last showed. */
    var leaderMember: String? = null

    private var renewalsInFlight = 0

    /** Machines whose malformed heartbeats have been logged. */
    private val malformedSenders = HashSet<String>()

    /** @throws MalformedMessageException if the body is no heartbeat */
    fun receive(
        request: Request,
        respond: (Response) -> Unit,
    ) {
        if (leaderLease.isLeader) {
            val accepted = leader.trySend(LeaderMessage.HeartbeatReceived(parse(request), respond))
            if (!accepted) respond(Routes.MAILBOX_FULL)
            return
        }
        val other = leaderMember?.takeIf { it != settings.member }
        if (other != null && isReachable(other)) {
            respond(Response(MISDIRECTED_REQUEST, mapOf(LEADER_FIELD to other)))
            return
        }
        // Sent to a controller that cannot be reached, a worker would lose seconds of its lease there. Here its lease
        // is renewed while the record stands; otherwise it asks the other controllers. The record may be that of this
        // member's former process: after all processes have ended, every second of a lease counts.
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
        if (!isServedByStore() || !renewal.acceptIfNew(heartbeat)) {
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

    /** Logged once for each machine, not for each heartbeat. */
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
        if (malformedSenders.size < MAX_LOGGED_SENDERS && malformedSenders.add(machineName.orEmpty())) {
            log.info("malformed heartbeat: machine={} reason={}", machineName, cause.message)
        }
    }

    private companion object {
        const val OK = 200
        const val MISDIRECTED_REQUEST = 421

        /** The response's field that names the controller to report to. */
        const val LEADER_FIELD = "dispatcher"

        /** The heartbeat's field that names its machine. */
        const val MACHINE_FIELD = "host"

        /** Bounds the memory that is spent on remembering whose malformed heartbeats were logged. */
        const val MAX_LOGGED_SENDERS = 2000
    }
}
