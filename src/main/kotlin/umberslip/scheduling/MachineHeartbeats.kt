package umberslip.scheduling

import org.slf4j.LoggerFactory
import umberslip.agents.Heartbeat
import umberslip.cloud.InstanceType
import umberslip.core.MachineName
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Applies what a heartbeat says about the machine itself: type, zone, contact and interruption notice. */
internal class MachineHeartbeats(
    private val instanceTypes: Map<String, InstanceType>,
    private val pendingRevocations: MutableSet<MachineName>,
) {
    private val log = LoggerFactory.getLogger("umberslip.scheduling")

    /** Updates the type, zone and heartbeat version, also from a heartbeat that carries an older fencing token. */
    fun applyDescription(
        machine: Machine,
        heartbeat: Heartbeat,
    ) {
        if (machine.zone != heartbeat.zone) setZone(machine, heartbeat.zone)
        machine.type = heartbeat.type
        machine.spot = heartbeat.spot
        if (machine.instanceType?.label != heartbeat.type) machine.instanceType = instanceTypes[heartbeat.type]
        machine.heartbeatVersion = heartbeat.heartbeatVersion
    }

    /**
     * Sets the zone of the machine and of its tasks. The zone of a machine that only the records name is not known
     * until its first heartbeat.
     */
    private fun setZone(
        machine: Machine,
        zone: String,
    ) {
        machine.zone = zone
        for (assignment in machine.assignments.values.toList()) {
            val replacement = assignment.withZone(zone)
            assignment.job.unassign(assignment)
            machine.remove(assignment)
            assignment.job.assign(replacement)
            machine.add(replacement)
        }
    }

    /**
     * Notes a heartbeat of the machine. Only a machine that receives responses counts as up, so only then is a
     * revocation of its lease renewal withdrawn.
     */
    fun recordContact(
        machine: Machine,
        now: Duration,
    ) {
        if (machine.firstContactAt == null) {
            machine.firstContactAt = now
            log.info(
                "first heartbeat of a machine: machine={} type={} zone={} spot={}",
                machine.name.value,
                machine.type,
                machine.zone,
                machine.spot,
            )
        }
        if (machine.receivesResponses) {
            machine.lastContactAt = now
            pendingRevocations -= machine.name
            machine.renewalRevokedAt = null
        }
    }

    /**
     * Applies the interruption notice of a heartbeat. Its period runs from the first heartbeat that carries the notice;
     * a heartbeat without a notice withdraws it.
     */
    fun applyInterruptionNotice(
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
