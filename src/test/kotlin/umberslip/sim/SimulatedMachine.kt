package umberslip.sim

import umberslip.cloud.Offer
import umberslip.core.JobSpec
import umberslip.core.TaskId
import kotlin.time.Duration

/** A task on a machine, as the machine sees it. */
class OnMachine(
    val task: TaskId,
    val attempt: Long,
    val spec: JobSpec,
) {
    var status = "fetching"
    var cause: String? = null
    var ready = Duration.INFINITE
    var ends = Duration.INFINITE
}

class SimulatedMachine(
    val name: String,
    val offer: Offer,
    val bornAt: Duration,
    val upAt: Duration,
) {
    var session = 1L
    var sequenceNumber = 0L
    var fencingToken = 0L
    var lastAnswered = Duration.ZERO
    var target = 0
    var gone = false

    /** The cloud's list shows it until then, as of the time that the list describes. */
    var goneAt = Duration.INFINITE
    var hungUntil = Duration.ZERO

    /** Its heartbeats arrive until then, but nothing reaches it. */
    var deafUntil = Duration.ZERO

    /** It reaches no controller until then. */
    var muteUntil = Duration.ZERO
    var sick = false
    val tasks = LinkedHashMap<TaskId, OnMachine>()
}
