package umberslip.api

import io.micrometer.core.instrument.MeterRegistry
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.launch
import umberslip.actor.Actor
import umberslip.cloud.InstanceType
import umberslip.core.Clock
import umberslip.core.JobId
import umberslip.core.JobSpec
import umberslip.core.Shape
import umberslip.http.Documents
import umberslip.http.Response
import umberslip.http.ServiceException
import umberslip.records.JobRecord
import umberslip.records.MalformedRecordException
import umberslip.records.RecordView
import umberslip.records.RecordWatcher
import umberslip.settings.Settings
import umberslip.store.KeyValueStore
import umberslip.store.RateLimiter
import java.time.Instant
import kotlin.time.Duration.Companion.seconds

/** The users' API: submissions, status and cancellations. Every controller serves it, whichever leads. */
class JobApi(
    private val scope: CoroutineScope,
    private val settings: Settings,
    store: KeyValueStore,
    writes: RateLimiter,
    private val recordWatcher: RecordWatcher,
    private val clock: Clock,
    private val wallClock: () -> Instant,
    /** Called after a write that other controllers should see soon. */
    announce: () -> Unit,
    /** Whether this controller can serve users. */
    private val ready: () -> Boolean,
    metrics: MeterRegistry,
) : Actor<JobApiMessage>("api", scope, DEFAULT_CAPACITY + settings.sockets) {
    private val teams = settings.teams.associateBy { it.name }
    private val outcomes = OutcomeCache(store)
    private val statuses = JobStatusReader(recordWatcher, outcomes)
    private val cancellation = JobCancellation(store, writes, recordWatcher, statuses, outcomes, announce)
    private val submissionWriter = SubmissionWriter(store, writes, announce, log)
    private val submissions = SubmissionQueue(settings.storeLimits.transactionOps)
    private var isWritingBatch = false
    private var openRequests = 0

    /** Keys of malformed records that have been logged. */
    private val loggedKeys = HashSet<String>()

    /** Null before the cloud was read for the first time. */
    private var instanceTypes: List<InstanceType>? = null
    private val accepted = metrics.counter("umberslip.jobs.accepted")
    private val refused = metrics.counter("umberslip.requests.refused")

    override suspend fun receive(message: JobApiMessage) {
        when (message) {
            is JobApiMessage.InstanceTypesChanged -> instanceTypes = message.all
            is JobApiMessage.Submit -> submit(message)
            is JobApiMessage.Status -> answer(message.respond) { currentStatus(message.id) }
            is JobApiMessage.Cancel -> answer(message.respond) { cancel(message.id) }
            JobApiMessage.BatchCompleted -> {
                isWritingBatch = false
                writeBatch()
            }
            is JobApiMessage.Answered -> {
                openRequests--
                message.respond(message.response)
            }
        }
    }

    /** Handles a request concurrently with the others. Beyond a number of them, it is refused at once. */
    private fun answer(
        respond: (Response) -> Unit,
        find: suspend () -> Response?,
    ) {
        if (openRequests >= MAX_OPEN_REQUESTS) {
            refuse(respond, 2, "too many requests at once")
            return
        }
        openRequests++
        scope.launch {
            var response: Response? = null
            try {
                response = find()
            } catch (e: MalformedRecordException) {
                logMalformed(e)
            } catch (_: ServiceException) {
                // Refused below.
            } finally {
                // However it ended: the request holds one of the open places until it is answered.
                enqueue(JobApiMessage.Answered(respond, response ?: unavailable()))
            }
        }
    }

    /** Once for each key, not for each request. */
    private fun logMalformed(failure: MalformedRecordException) {
        if (loggedKeys.size >= MAX_LOGGED_KEYS || !loggedKeys.add(failure.key)) return
        log.error("malformed record neither used nor overwritten: key={} reason={}", failure.key, failure.reason)
    }

    private fun refuse(
        respond: (Response) -> Unit,
        retryAfterSeconds: Int,
        why: String,
    ) {
        refused.increment()
        respond(Response.retryAfter(retryAfterSeconds, why))
    }

    private fun unavailable(): Response {
        refused.increment()
        // Users keep their connections: where another controller may serve them, the connection is closed.
        return Response.retryAfter(1, "the state service gives no answer", close = !ready())
    }

    private fun submit(message: JobApiMessage.Submit) {
        val spec = message.spec
        outcomes.cached(spec.id)?.let {
            message.respond(JobResponses.status(spec.id, JobStatus.Finished(it)))
            return
        }
        val objection = objection(spec)
        if (objection == null && instanceTypes == null) {
            refuse(message.respond, 1, "the machine types are not known yet")
            return
        }
        if (objection == null && submissions.isFull) {
            refuse(message.respond, 2, "too many submissions at once")
            return
        }
        answer(message.respond) { accept(spec, objection) }
    }

    /** Why a job can never run, or null as far as that is known. */
    private fun objection(spec: JobSpec): String? {
        if (spec.team !in teams) return Feasibility.UNKNOWN_TEAM
        return instanceTypes?.let { Feasibility.objection(spec, teams, it, settings.zones) }
    }

    /** Accepts a job unless there is an objection to it; null where that could not be decided. */
    private suspend fun accept(
        spec: JobSpec,
        objection: String?,
    ): Response? {
        val record = JobRecord(spec, wallClock(), cancelled = false)
        val submission = PendingSubmission(record, Documents.jsonSize(record.toMap()))
        val isTooLarge = submission.bytes > settings.storeLimits.valueBytes
        var isCancelled = false
        if (objection != null || isTooLarge || spec.dependencies.isNotEmpty()) {
            // A job that was accepted once is never refused later, whatever the instance types and limits are by then.
            val records = recordWatcher.confirm() ?: return null
            val status = statuses.status(spec.id, records)
            if (status != JobStatus.Unknown) return JobResponses.status(spec.id, status)
            if (isTooLarge) return JobResponses.tooLarge()
            val reason = objection ?: dependencyObjection(spec, records)
            if (reason != null) return JobResponses.infeasible(reason)
            isCancelled = statuses.isCancelledByDependency(record, records)
        }
        submissions.add(submission)
        writeBatch()
        return when (submission.result.await()) {
            SubmissionResult.CREATED -> {
                accepted.increment()
                JobResponses.accepted(spec.id, isCancelled)
            }
            SubmissionResult.KNOWN -> statuses.status(spec.id)?.let { JobResponses.status(spec.id, it) }
            SubmissionResult.UNCONFIRMED -> null
        }
    }

    /** Why a dependency of the job can never be done, or null. */
    private suspend fun dependencyObjection(
        spec: JobSpec,
        records: RecordView,
    ): String? {
        for (id in spec.dependencies) {
            if (id == spec.id) return "awaits itself"
            val dependency = records.readJob(id)?.value
            if (dependency == null && outcomes.read(id) == null) return "awaits ${id.value}, which was never accepted"
            if (dependency?.spec?.shape == Shape.DAEMON) return "awaits ${id.value}, which is never done"
        }
        return null
    }

    /** Writes the next batch of submissions, unless one is being written. */
    private fun writeBatch() {
        if (isWritingBatch) return
        val batch = submissions.nextBatch()
        if (batch.isEmpty()) return
        isWritingBatch = true
        scope.launch {
            try {
                submissionWriter.write(batch)
            } finally {
                enqueue(JobApiMessage.BatchCompleted)
            }
        }
    }

    /**
     * A job's status; null where it could not be confirmed, or where that took too long: after a pause of this process
     * its user no longer waits, and the status read before may contradict what other controllers answered since.
     */
    private suspend fun currentStatus(id: JobId): Response? {
        val asked = clock.now()
        val status = statuses.status(id) ?: return null
        return if (clock.now() - asked > USER_PATIENCE) null else JobResponses.status(id, status)
    }

    /** Null where the cancellation could not be decided. */
    private suspend fun cancel(id: JobId): Response? = cancellation.cancel(id)?.let { JobResponses.status(id, it) }

    private companion object {
        /** As many requests as the key-value store can serve before their users give up. */
        const val MAX_OPEN_REQUESTS = 400

        /** Bounds the memory that is spent on remembering which malformed records were logged. */
        const val MAX_LOGGED_KEYS = 1000

        /** How long users wait for the response to a request. */
        val USER_PATIENCE = 2.seconds
    }
}
