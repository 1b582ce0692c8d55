package umberslip.scheduling

import org.slf4j.LoggerFactory
import kotlin.time.Duration

/** What keeps a starving job with large tasks from being placed. */
enum class LargeJobWait {
    QUARANTINED,
    RETRY_DELAYED,
    TEAM_AT_LIMIT,

    /** It may still begin in time by its order; machines are reserved later if it does not. */
    TIME_LEFT,

    /** All its tasks together are more than its team may claim, so nothing is reserved for it. */
    BEYOND_FAIR_SHARE,

    /** Machines are reserved for it, or will be as others are done with theirs. */
    WAITS_FOR_RESERVATION,
}

/** Logs for each starving job with large tasks what it waits for, once whenever that changes. */
internal class LargeJobWaitLog {
    private val log = LoggerFactory.getLogger("umberslip.scheduling")
    private var logged = emptyMap<RunningJob, LargeJobWait>()

    /** Takes the jobs that wait now; one that is not among them any more has begun with all its tasks or has ended. */
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
                "starving job with large tasks waits no more: job={} waited={} tasks_waiting={}",
                job.spec.id.value,
                now - job.runnableSince,
                job.waiting,
            )
        }
        logged = waits
    }
}
