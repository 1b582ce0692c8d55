package umberslip.scheduling

import org.slf4j.LoggerFactory
import umberslip.core.MachineName
import umberslip.core.Priority
import kotlin.time.Duration

/** Whether a reservation for [job] could be of use: nothing but a lack of free resources keeps its tasks away. */
internal fun Machine.mayBeReservedFor(job: RunningJob): Boolean {
    if (!isUsable || job.spec.id in failures) return false
    return job.mayRunOn(this)
}

/** A machine is reserved for a task of [job]; others may not use its free resources meanwhile. */
class Reservation(
    val job: RunningJob,
    val since: Duration,
    /** Whether urgent work, and work within its team's guarantee, may use the machine all the same. */
    val yieldsToUrgent: Boolean = false,
) {
    private val log = LoggerFactory.getLogger("umberslip.scheduling")

    /** How often a task of another job that would have fitted was not placed because of the reservation. */
    var turnedAway = 0
        private set

    /** Whether a task of [other], whose team has [quota], may be placed in spite of the reservation. */
    fun admits(
        other: RunningJob,
        quota: TeamQuota,
    ): Boolean {
        if (other === job) return true
        if (yieldsToUrgent && (other.priority <= Priority.HIGH || quota.isWithinGuarantee(other.resources))) return true
        turnedAway++
        return false
    }

    /** Logs that the reservation of [machine] has ended, and what it cost others. */
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
            turnedAway,
            reason,
        )
    }
}
