package umberslip.api

import com.github.benmanes.caffeine.cache.Cache
import com.github.benmanes.caffeine.cache.Caffeine
import io.micrometer.core.instrument.MeterRegistry
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.launch
import umberslip.actor.Actor
import umberslip.cloud.InstanceType
import umberslip.core.Clock
import umberslip.core.JobId
import umberslip.core.JobSpec
import umberslip.core.Shape
import umberslip.http.Documents
import umberslip.http.NoResponseException
import umberslip.http.RateLimitedException
import umberslip.http.Response
import umberslip.http.ServiceUnavailableException
import umberslip.records.DependencyState
import umberslip.records.JobOutcome
import umberslip.records.JobRecord
import umberslip.records.Keys
import umberslip.records.OutcomeRecord
import umberslip.records.RecordView
import umberslip.records.RecordWatcher
import umberslip.records.Versioned
import umberslip.settings.Settings
import umberslip.settings.TeamSettings
import umberslip.store.KeyValueStore
import umberslip.store.Precondition
import umberslip.store.RateLimiter
import umberslip.store.TransactionResult
import umberslip.store.Version
import umberslip.store.Write
import java.time.Instant
import kotlin.time.Duration.Companion.seconds

sealed interface JobApiMessage {
    class Submit(
        val spec: JobSpec,
        val respond: (Response) -> Unit,
    ) : JobApiMessage

    class Status(
        val id: JobId,
        val respond: (Response) -> Unit,
    ) : JobApiMessage

    class Cancel(
        val id: JobId,
        val respond: (Response) -> Unit,
    ) : JobApiMessage

    class InstanceTypesChanged(
        val all: List<InstanceType>,
    ) : JobApiMessage

    class Created(
        val group: List<PendingSubmission>,
    ) : JobApiMessage

    class Answered(
        val respond: (Response) -> Unit,
        val response: Response,
    ) : JobApiMessage
}

/** A submission on its way into the key-value store; [bytes] is the size of its record there. */
class PendingSubmission(
    val record: JobRecord,
    val bytes: Int,
    val answer: CompletableDeferred<SubmissionResult>,
) {
    val id: JobId get() = record.spec.id
}

enum class SubmissionResult { CREATED, KNOWN, UNDECIDED }

/** Why a job can never run, or null; pure. */
object Feasibility {
    fun objection(
        spec: JobSpec,
        teams: Map<String, TeamSettings>,
        instanceTypes: List<InstanceType>,
        zones: List<String>,
    ): String? {
        val team = teams[spec.team] ?: return "unknown team"
        val all = if (spec.shape == Shape.ARRAY) 1 else spec.tasks
        if (team.cpusMax != null && spec.cpus * all > team.cpusMax + EPSILON) return "needs more than the team's limit"
        if (team.gpusMax != null && spec.gpus * all > team.gpusMax + EPSILON) return "needs more than the team's limit"
        if (spec.zone != null && spec.zone !in zones && instanceTypes.none { spec.zone in it.zones }) return "no such zone"
        val fits =
            instanceTypes.any {
                (spec.instanceTypes == null || it.label in spec.instanceTypes) &&
                    (spec.zone == null || it.zones.isEmpty() || spec.zone in it.zones) &&
                    spec.cpus <= it.cpus + EPSILON &&
                    spec.gpus <= it.gpus + EPSILON &&
                    spec.memoryGb <= it.memoryGb + EPSILON
            }
        return if (fits) null else "a task fits no allowed machine type"
    }

    private const val EPSILON = 1e-6
}

/** The users' door: every controller has one, whoever leads. */
class JobApi(
    private val scope: CoroutineScope,
    private val settings: Settings,
    private val store: KeyValueStore,
    private val writes: RateLimiter,
    private val recordWatcher: RecordWatcher,
    private val clock: Clock,
    private val wallClock: () -> Instant,
    private val announce: () -> Unit,
    private val ready: () -> Boolean,
    metrics: MeterRegistry,
) : Actor<JobApiMessage>("admission", scope, DEFAULT_CAPACITY + settings.sockets) {
    private val teams = settings.teams.associateBy { it.name }
    private val ends: Cache<JobId, OutcomeRecord> =
        Caffeine
            .newBuilder()
            .maximumSize(20_000)
            .executor(Runnable::run)
            .build()
    private var instanceTypes: List<InstanceType>? = null
    private val queue = ArrayDeque<PendingSubmission>()
    private var creating = false
    private var open = 0
    private val accepted = metrics.counter("umberslip.jobs.accepted")
    private val refused = metrics.counter("umberslip.requests.refused")

    override suspend fun receive(message: JobApiMessage) {
        when (message) {
            is JobApiMessage.InstanceTypesChanged -> instanceTypes = message.all
            is JobApiMessage.Submit -> submit(message)
            is JobApiMessage.Status -> answer(message.respond) { currentStatus(message.id) }
            is JobApiMessage.Cancel -> answer(message.respond) { cancel(message.id) }
            is JobApiMessage.Created -> {
                creating = false
                create()
            }
            is JobApiMessage.Answered -> {
                open--
                message.respond(message.response)
            }
        }
    }

    /** Each request is followed up beside the others; beyond a number, one is refused at once. */
    private fun answer(
        respond: (Response) -> Unit,
        find: suspend () -> Response,
    ) {
        if (open >= MAX_OPEN) {
            refused.increment()
            respond(Response.retryAfter(2, "too many requests at once"))
            return
        }
        open++
        scope.launch {
            val response =
                try {
                    find()
                } catch (e: ServiceUnavailableException) {
                    undecided()
                } catch (e: NoResponseException) {
                    undecided()
                }
            enqueue(JobApiMessage.Answered(respond, response))
        }
    }

    private fun undecided(): Response {
        refused.increment()
        // Users keep their connections: one that others may serve is let go, to be led to another.
        return Response.retryAfter(1, "the state service gives no answer", close = !ready())
    }

    private fun submit(message: JobApiMessage.Submit) {
        val spec = message.spec
        ends.getIfPresent(spec.id)?.let {
            message.respond(told(200, spec.id, it))
            return
        }
        val objection =
            if (spec.team !in teams) {
                "unknown team"
            } else {
                instanceTypes?.let { Feasibility.objection(spec, teams, it, settings.zones) }
            }
        if (objection == null && instanceTypes == null) {
            refused.increment()
            message.respond(Response.retryAfter(1, "the machine types are not known yet"))
            return
        }
        if (objection == null && queue.size >= MAX_QUEUE) {
            refused.increment()
            message.respond(Response.retryAfter(2, "too many submissions at once"))
            return
        }
        answer(message.respond) { decide(spec, objection) }
    }

    private suspend fun decide(
        spec: JobSpec,
        objection: String?,
    ): Response {
        val record = JobRecord(spec, wallClock(), cancelled = false)
        val creation = PendingSubmission(record, Documents.jsonSize(record.toMap()), CompletableDeferred())
        val tooLarge = creation.bytes > settings.storeLimits.valueBytes
        var dependencyCancelled = false
        if (objection != null || tooLarge || spec.dependencies.isNotEmpty()) {
            // A job that was accepted once is never refused later, whatever the machine types and limits are by then.
            val records = recordWatcher.confirm() ?: return undecided()
            status(spec.id, records).let { if (it.status != 404) return it }
            if (tooLarge) return Response.error(400, "the job's description is too large")
            (objection ?: neverDone(spec, records))?.let { return Response.error(422, it) }
            dependencyCancelled = isDependencyCancelled(record, records)
        }
        queue.addLast(creation)
        create()
        return when (creation.answer.await()) {
            SubmissionResult.CREATED -> {
                accepted.increment()
                val status = if (dependencyCancelled) "aborted" else "queued"
                Response(201, mapOf("uid" to spec.id.value, "status" to status))
            }
            SubmissionResult.KNOWN -> status(spec.id)
            SubmissionResult.UNDECIDED -> undecided()
        }
    }

    /** Why what a job awaits can never be done, or null. */
    private suspend fun neverDone(
        spec: JobSpec,
        records: RecordView,
    ): String? {
        for (id in spec.dependencies) {
            if (id == spec.id) return "awaits itself"
            val needed = records.job(id)?.value
            if (needed == null && end(id) == null) return "awaits ${id.value}, which was never accepted"
            if (needed?.spec?.shape == Shape.DAEMON) return "awaits ${id.value}, which is never done"
        }
        return null
    }

    /** Writes as many waiting jobs as one transaction takes. */
    private fun create() {
        if (creating || queue.isEmpty()) return
        creating = true
        val group = ArrayList<PendingSubmission>()
        var size = 0
        while (group.size < settings.storeLimits.transactionOps && queue.isNotEmpty()) {
            size += queue.first().bytes + PRECONDITION_BYTES
            if (group.isNotEmpty() && size > MAX_TRANSACTION_BYTES) break
            group += queue.removeFirst()
        }
        scope.launch {
            try {
                write(group)
            } finally {
                group.forEach { it.answer.complete(SubmissionResult.UNDECIDED) }
                enqueue(JobApiMessage.Created(group))
            }
        }
    }

    private suspend fun write(group: List<PendingSubmission>) {
        var left = group.distinctBy { it.id }
        (group - left.toSet()).forEach { it.answer.complete(SubmissionResult.UNDECIDED) }
        while (left.isNotEmpty()) {
            writes.take(left.size, urgent = false)
            val result =
                try {
                    store.compareAndSwap(
                        left.flatMap {
                            listOf(Precondition(Keys.job(it.id), Version.NONE), Precondition(Keys.outcome(it.id), Version.NONE))
                        },
                        left.map { Write.Put(Keys.job(it.id), it.record.toMap()) },
                    )
                } catch (e: RateLimitedException) {
                    writes.lower()
                    log.debug("not accepted: {}", e.message)
                    return
                } catch (e: ServiceUnavailableException) {
                    log.debug("not accepted: {}", e.message)
                    return
                } catch (e: NoResponseException) {
                    // Accepted or not: the user's next try will show.
                    log.info("the fate of {} submissions is unknown: {}", left.size, e.message)
                    return
                }
            when (result) {
                is TransactionResult.Applied -> {
                    left.forEach { it.answer.complete(SubmissionResult.CREATED) }
                    announce()
                    return
                }
                is TransactionResult.PreconditionFailed -> {
                    val (known, rest) =
                        left.partition { Keys.job(it.id) in result.failed || Keys.outcome(it.id) in result.failed }
                    known.forEach { it.answer.complete(SubmissionResult.KNOWN) }
                    if (known.isEmpty()) return
                    left = rest
                }
                TransactionResult.LeaseExpired -> return
                is TransactionResult.Rejected -> {
                    log.error("{} submissions are too large or malformed together: {}", left.size, result.why)
                    return
                }
            }
        }
    }

    /**
     * After a standstill of this process its user waits no more, and others may have told something newer since: what
     * was read before is not told.
     */
    private suspend fun currentStatus(id: JobId): Response {
        val asked = clock.now()
        val response = status(id)
        return if (clock.now() - asked > QUESTION_PATIENCE) undecided() else response
    }

    /** The job's state as of a read begun after the request came; ends may come from the cache. */
    private suspend fun status(id: JobId): Response {
        ends.getIfPresent(id)?.let { return told(200, id, it) }
        return status(id, recordWatcher.confirm() ?: return undecided())
    }

    private suspend fun status(
        id: JobId,
        records: RecordView,
    ): Response {
        val job = records.job(id)?.value
        if (job == null) {
            val end = end(id) ?: return Response.error(404, "no such job")
            return told(200, id, end)
        }
        // Told here while this question's read was on its way.
        ends.getIfPresent(id)?.let { return told(200, id, it) }
        if (job.cancelled || isCancelledByDependency(job, records)) return told(200, id, cancelled(job))
        val (done, running) = records.progress(id)
        val word = if (running > 0) "running" else "queued"
        return Response(200, mapOf("uid" to id.value, "status" to word, "done" to done, "running" to running))
    }

    /** Whether a stored job is cancelled with one that it needs; such an end is final, so it is cached. */
    private suspend fun isCancelledByDependency(
        job: JobRecord,
        records: RecordView,
    ): Boolean {
        val cancelled = isDependencyCancelled(job, records)
        if (cancelled) ends.put(job.spec.id, cancelled(job))
        return cancelled
    }

    /**
     * Whether a job that this one needs, directly or through others, is cancelled. The job is then cancelled as well,
     * from the moment that this was told and without a record of its own; the leader writes its end later.
     */
    private suspend fun isDependencyCancelled(
        job: JobRecord,
        records: RecordView,
    ): Boolean {
        if (job.spec.dependencies.isEmpty()) return false
        val unknown = HashSet<JobId>()
        while (true) {
            val lineage =
                DependencyState.of(job, { records.job(it)?.value }) {
                    if (it in unknown) JobOutcome.DONE else ends.getIfPresent(it)?.end
                }
            when (lineage) {
                DependencyState.Cancelled -> return true
                DependencyState.Open -> return false
                is DependencyState.Unread -> for (id in lineage.ids) if (end(id) == null) unknown += id
            }
        }
    }

    private fun cancelled(job: JobRecord) = OutcomeRecord(JobOutcome.CANCELLED, job.spec.tasks)

    private suspend fun end(id: JobId): OutcomeRecord? {
        val entry = store.lookUp(Keys.outcome(id)) ?: return null
        return OutcomeRecord.parse(entry.data).also { ends.put(id, it) }
    }

    private suspend fun cancel(id: JobId): Response {
        ends.getIfPresent(id)?.let { return told(200, id, it) }
        repeat(3) {
            val records = recordWatcher.confirm() ?: return undecided()
            val job: Versioned<JobRecord>? = records.job(id)
            if (job == null) {
                val end = end(id) ?: return Response.error(404, "no such job")
                return told(200, id, end)
            }
            val end = cancelled(job.value)
            if (job.value.cancelled || isCancelledByDependency(job.value, records)) return told(200, id, end)
            // Whichever of done and cancelled is written first is final: both create the end's record.
            writes.take(2, urgent = true)
            val result =
                store.compareAndSwap(
                    listOf(Precondition(Keys.job(id), job.version), Precondition(Keys.outcome(id), Version.NONE)),
                    listOf(
                        Write.Put(Keys.outcome(id), end.toMap()),
                        Write.Put(Keys.job(id), job.value.copy(cancelled = true).toMap()),
                    ),
                )
            if (result is TransactionResult.Applied) {
                ends.put(id, end)
                announce()
                return told(200, id, end)
            }
        }
        return undecided()
    }

    private fun told(
        status: Int,
        id: JobId,
        end: OutcomeRecord,
    ): Response =
        Response(
            status,
            mapOf(
                "uid" to id.value,
                "status" to (if (end.end == JobOutcome.DONE) "done" else "aborted"),
                "done" to if (end.end == JobOutcome.DONE) end.tasks else 0,
                "running" to 0,
            ),
        )

    private companion object {
        const val MAX_OPEN = 400

        /** How long users wait for the answer to a question. */
        val QUESTION_PATIENCE = 2.seconds
        const val MAX_QUEUE = 100
        const val MAX_TRANSACTION_BYTES = 50_000

        /** The two preconditions of a submission. */
        const val PRECONDITION_BYTES = 150
    }
}
