package umberslip.scheduling

import org.slf4j.LoggerFactory
import kotlin.time.Duration

/** The reason why a starving job with large tasks waits. */
enum class LargeJobWait {
    QUARANTINED,
    RETRY_DELAYED,
    TEAM_AT_LIMIT,

    /** The job may still start in time by its position in the queue. Machines are reserved later if it does not. */
    TIME_LEFT,

    /** All tasks of the job together exceed what its team may claim, so no machine is reserved for it. */
    BEYOND_FAIR_SHARE,

    /** Machines are reserved for the job, or will be when reservations for other jobs end. */
    WAITS_FOR_RESERVATION,
}

/** Logs why each starving job with large tasks waits, whenever the reason changes. */
internal class LargeJobWaitLog {
    private val log = LoggerFactory.getLogger("umberslip.scheduling")
    private var logged = emptyMap<RunningJob, LargeJobWait>()

    /**
     * Logs the changes since the last call. [waits] has all jobs that wait now. A job that is no longer in it has
     * started all its tasks or has ended.
     */
    fun update(
        waits: Map<RunningJob, LargeJobWait>,
        now: Duration,
    ) {
        for ((job, wait) in waits) {
            if (logged[job] != wait) {
                log.info(
                    "starving job with large tasks waits: job={} team={} class={} waited={} " +
                        "tasks_waiting={} cpus={} reason={}",
                    job.spec.id.value,
                    job.spec.team,
                    job.spec.jobClass,
                    now - job.runnableSince,
                    job.waiting,
                    job.resources.cpus,
                    wait,
                )
            }
        }
        for (job in logged.keys - waits.keys) {
            log.info(
                "starving job with large tasks no longer waits: job={} waited={} tasks_waiting={}",
                job.spec.id.value,
                now - job.runnableSince,
                job.waiting,
            )
        }
        logged = waits
    }
}
