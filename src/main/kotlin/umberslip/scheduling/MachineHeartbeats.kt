package umberslip.scheduling

import org.slf4j.LoggerFactory
import umberslip.agents.Heartbeat
import umberslip.cloud.InstanceType
import umberslip.core.MachineName
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Applies what a heartbeat says of the machine itself: its type and zone, contact, interruption notice. */
internal class MachineHeartbeats(
    private val instanceTypes: Map<String, InstanceType>,
    private val pendingRevocations: MutableSet<MachineName>,
) {
    private val log = LoggerFactory.getLogger("umberslip.scheduling")

    /** Type, zone and version; also of heartbeats that carry an older fencing token. */
    fun describe(
        machine: Machine,
        heartbeat: Heartbeat,
    ) {
        if (machine.zone != heartbeat.zone) setZone(machine, heartbeat.zone)
        machine.type = heartbeat.type
        machine.spot = heartbeat.spot
        if (machine.instanceType?.label != heartbeat.type) machine.instanceType = instanceTypes[heartbeat.type]
        machine.heartbeatVersion = heartbeat.heartbeatVersion
    }

    /** Records do not say in which zone a machine is; the zones of its tasks are set by its first heartbeat. */
    private fun setZone(
        machine: Machine,
        zone: String,
    ) {
        machine.zone = zone
        for (former in machine.assignments.values.toList()) {
            val moved = former.inZone(zone)
            former.job.unassign(former)
            machine.remove(former)
            former.job.assign(moved)
            machine.add(moved)
        }
    }

    /** Notes contact with the machine; only one that receives responses counts as alive. */
    fun contact(
        machine: Machine,
        now: Duration,
    ) {
        if (machine.firstContact == null) {
            machine.firstContact = now
            log.info(
                "first heartbeat of a machine: machine={} type={} zone={} spot={}",
                machine.name.value,
                machine.type,
                machine.zone,
                machine.spot,
            )
        }
        if (machine.receivesResponses) {
            machine.lastContact = now
            pendingRevocations -= machine.name
            machine.renewalRevokedAt = null
        }
    }

    /** The notice counts from the first heartbeat that carries it; it is withdrawn by one without. */
    fun interruptionNotice(
        machine: Machine,
        noticeSeconds: Double?,
        now: Duration,
    ) {
        if (noticeSeconds == null) {
            machine.interruptionAt = null
        } else if (machine.interruptionAt == null) {
            machine.interruptionAt = now + noticeSeconds.seconds
            log.info("spot interruption notice: machine={} notice_s={}", machine.name.value, noticeSeconds)
        }
    }
}
