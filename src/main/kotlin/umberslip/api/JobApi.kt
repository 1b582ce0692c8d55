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

/** The users' API: submissions, status requests and cancellations. Every controller serves it, leader or not. */
class JobApi(
    private val scope: CoroutineScope,
    private val settings: Settings,
    store: KeyValueStore,
    writeRateLimiter: RateLimiter,
    private val recordWatcher: RecordWatcher,
    private val clock: Clock,
    private val wallClock: () -> Instant,
    /** Called after a write that other controllers should see soon. */
    announce: () -> Unit,
    /** Whether this controller can serve users. */
    private val isReady: () -> Boolean,
    metrics: MeterRegistry,
) : Actor<JobApiMessage>("api", scope, DEFAULT_CAPACITY + settings.sockets) {
    private val teams = settings.teams.associateBy { it.name }
    private val outcomes = OutcomeCache(store)
    private val statusReader = JobStatusReader(recordWatcher, outcomes)
    private val cancellation = JobCancellation(store, writeRateLimiter, recordWatcher, statusReader, outcomes, announce)
    private val submissionWriter = SubmissionWriter(store, writeRateLimiter, announce, log)
    private val submissionQueue = SubmissionQueue(settings.storeLimits.transactionOps)
    private var isWritingBatch = false
    private var openRequests = 0

    /** Keys of malformed records that have been logged. */
    private val loggedKeys = HashSet<String>()

    /** Null until the instance types have been read from the cloud for the first time. */
    private var instanceTypes: List<InstanceType>? = null
    private val acceptedJobs = metrics.counter("umberslip.jobs.accepted")
    private val refusedRequests = metrics.counter("umberslip.requests.refused")

    override suspend fun receive(message: JobApiMessage) {
        when (message) {
            is JobApiMessage.InstanceTypesChanged -> instanceTypes = message.instanceTypes
            is JobApiMessage.Submit -> submit(message)
            is JobApiMessage.Status -> respondAsync(message.respond) { currentStatus(message.id) }
            is JobApiMessage.Cancel -> respondAsync(message.respond) { cancel(message.id) }
            JobApiMessage.BatchCompleted -> {
                isWritingBatch = false
                writeBatch()
            }
            is JobApiMessage.ResponseReady -> {
                openRequests--
                message.respond(message.response)
            }
        }
    }

    /** Handles a request concurrently with others. If [MAX_OPEN_REQUESTS] are open, the request is refused at once. */
    private fun respondAsync(
        respond: (Response) -> Unit,
        produceResponse: suspend () -> Response?,
    ) {
        if (openRequests >= MAX_OPEN_REQUESTS) {
            refuse(respond, 2, "too many requests at once")
            return
        }
        openRequests++
        scope.launch {
            var response: Response? = null
            try {
                response = produceResponse()
            } catch (e: MalformedRecordException) {
                logMalformed(e)
            } catch (_: ServiceException) {
                // The request is answered with status 503 below.
            } finally {
                // Sent after success and any failure alike: the request counts as open until this message is handled.
                enqueue(JobApiMessage.ResponseReady(respond, response ?: unavailableResponse()))
            }
        }
    }

    /** Logs a malformed record once per key, not once per request. */
    private fun logMalformed(failure: MalformedRecordException) {
        if (loggedKeys.size >= MAX_LOGGED_KEYS || !loggedKeys.add(failure.key)) return
        log.error("malformed record neither used nor overwritten: key={} reason={}", failure.key, failure.reason)
    }

    private fun refuse(
        respond: (Response) -> Unit,
        retryAfterSeconds: Int,
        reason: String,
    ) {
        refusedRequests.increment()
        respond(Response.retryAfter(retryAfterSeconds, reason))
    }

    private fun unavailableResponse(): Response {
        refusedRequests.increment()
        // Users reuse their connections. If this controller is not ready, another one may be able to serve the user, so
        // the connection is closed.
        return Response.retryAfter(1, "the state service gives no answer", closeConnection = !isReady())
    }

    private fun submit(message: JobApiMessage.Submit) {
        val spec = message.spec
        outcomes.getIfPresent(spec.id)?.let {
            message.respond(JobResponses.status(spec.id, JobStatus.Finished(it)))
            return
        }
        val infeasibilityReason = infeasibilityReason(spec)
        if (infeasibilityReason == null && instanceTypes == null) {
            refuse(message.respond, 1, "the machine types are not known yet")
            return
        }
        if (infeasibilityReason == null && submissionQueue.isFull) {
            refuse(message.respond, 2, "too many submissions at once")
            return
        }
        respondAsync(message.respond) { accept(spec, infeasibilityReason) }
    }

    /**
     * Returns why the job can never run, or null if no reason is known. Before the instance types are known, only the
     * team is checked.
     */
    private fun infeasibilityReason(spec: JobSpec): String? {
        if (spec.team !in teams) return Feasibility.UNKNOWN_TEAM
        return instanceTypes?.let { Feasibility.infeasibilityReason(spec, teams, it, settings.zones) }
    }

    /** Accepts the job unless it is infeasible. Returns null if it could not be determined whether it is accepted. */
    private suspend fun accept(
        spec: JobSpec,
        infeasibilityReason: String?,
    ): Response? {
        val record = JobRecord(spec, wallClock(), cancelled = false)
        val submission = PendingSubmission(record, Documents.jsonSize(record.toMap()))
        val isTooLarge = submission.bytes > settings.storeLimits.valueBytes
        var isCancelled = false
        if (infeasibilityReason != null || isTooLarge || spec.dependencies.isNotEmpty()) {
            // A job that has been accepted is never refused later, even if instance types or limits have changed since.
            val records = recordWatcher.confirm() ?: return null
            val status = statusReader.readStatus(spec.id, records)
            if (status != JobStatus.Unknown) return JobResponses.status(spec.id, status)
            if (isTooLarge) return JobResponses.tooLarge()
            val rejectionReason = infeasibilityReason ?: invalidDependencyReason(spec, records)
            if (rejectionReason != null) return JobResponses.infeasible(rejectionReason)
            isCancelled = statusReader.isCancelledByDependency(record, records)
        }
        submissionQueue.add(submission)
        writeBatch()
        return when (submission.result.await()) {
            SubmissionResult.CREATED -> {
                acceptedJobs.increment()
                JobResponses.accepted(spec.id, isCancelled)
            }
            SubmissionResult.ALREADY_ACCEPTED ->
                statusReader.readStatus(spec.id)?.let { JobResponses.status(spec.id, it) }
            SubmissionResult.UNCONFIRMED -> null
        }
    }

    /** Returns why a dependency of the job can never be done, or null if each of them can. */
    private suspend fun invalidDependencyReason(
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

    /** Writes the next batch of submissions unless a batch is being written. */
    private fun writeBatch() {
        if (isWritingBatch) return
        val batch = submissionQueue.nextBatch()
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
     * Returns the job's status, or null if it could not be confirmed within [USER_TIMEOUT]. After a pause of this
     * process the user no longer waits, and a status read before the pause may contradict what other controllers have
     * answered since.
     */
    private suspend fun currentStatus(id: JobId): Response? {
        val startedAt = clock.now()
        val status = statusReader.readStatus(id) ?: return null
        return if (clock.now() - startedAt > USER_TIMEOUT) null else JobResponses.status(id, status)
    }

    /** Returns null if it could not be determined whether the job is cancelled. */
    private suspend fun cancel(id: JobId): Response? = cancellation.cancel(id)?.let { JobResponses.status(id, it) }

    private companion object {
        /** The number of requests that the key-value store can serve before their users time out. */
        const val MAX_OPEN_REQUESTS = 400

        /** Bounds the memory used to remember which malformed records were logged. */
        const val MAX_LOGGED_KEYS = 1000

        /** How long users wait for a response. */
        val USER_TIMEOUT = 2.seconds
    }
}
