package umberslip.scheduling

import org.slf4j.LoggerFactory
import umberslip.core.MachineName
import umberslip.core.Priority
import kotlin.time.Duration

/** Whether a reservation for [job] is useful: only a lack of free resources can keep its tasks off this machine. */
internal fun Machine.mayBeReservedFor(job: RunningJob): Boolean {
    if (!isUsable || job.spec.id in failures) return false
    return job.mayRunOn(this)
}

/** The reservation of a machine for a task of [job]; other jobs may not use the machine's free resources meanwhile. */
class Reservation(
    val job: RunningJob,
    val since: Duration,
    /** Whether urgent work, and work within its team's guarantee, may use the machine in spite of the reservation. */
    val yieldsToUrgent: Boolean = false,
) {
    private val log = LoggerFactory.getLogger("umberslip.scheduling")

    /** How often the reservation kept a task of another job, which had enough free resources, off the machine. */
    var rejections = 0
        private set

    /**
     * Whether the reservation lets a task of [other], whose team has [quota], be placed on the machine. Counts the
     * rejection if it does not.
     */
    fun admits(
        other: RunningJob,
        quota: TeamQuota,
    ): Boolean {
        if (other === job) return true
        if (yieldsToUrgent && (other.priority <= Priority.HIGH || quota.isWithinGuarantee(other.resources))) return true
        rejections++
        return false
    }

    /** Logs that the reservation of [machine] has ended, and how many placements it has prevented. */
    fun logEnd(
        machine: MachineName,
        reason: String,
        now: Duration,
    ) {
        log.info(
            "machine reservation ended: machine={} job={} held={} turned_away={} reason={}",
            machine.value,
            job.spec.id.value,
            now - since,
            rejections,
            reason,
        )
    }
}
