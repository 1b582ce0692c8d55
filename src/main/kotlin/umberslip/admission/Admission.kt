package umberslip.admission

import com.github.benmanes.caffeine.cache.Cache
import com.github.benmanes.caffeine.cache.Caffeine
import io.micrometer.core.instrument.MeterRegistry
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.launch
import umberslip.actor.Actor
import umberslip.actor.Clock
import umberslip.cloud.Flavor
import umberslip.http.Documents
import umberslip.http.NoAnswer
import umberslip.http.Response
import umberslip.http.Throttled
import umberslip.http.Unavailable
import umberslip.records.DependencyState
import umberslip.records.End
import umberslip.records.EndRecord
import umberslip.records.JobId
import umberslip.records.JobRecord
import umberslip.records.JobSpec
import umberslip.records.Keys
import umberslip.records.Reader
import umberslip.records.RecordView
import umberslip.records.Shape
import umberslip.records.Versioned
import umberslip.settings.Settings
import umberslip.settings.TeamSettings
import umberslip.state.Guard
import umberslip.state.Pacer
import umberslip.state.StateService
import umberslip.state.TxnResult
import umberslip.state.Version
import umberslip.state.Write
import java.time.Instant
import kotlin.time.Duration.Companion.seconds

sealed interface AdmissionMessage {
    class Submit(
        val spec: JobSpec,
        val respond: (Response) -> Unit,
    ) : AdmissionMessage

    class Status(
        val id: JobId,
        val respond: (Response) -> Unit,
    ) : AdmissionMessage

    class Cancel(
        val id: JobId,
        val respond: (Response) -> Unit,
    ) : AdmissionMessage

    class Flavors(
        val all: List<Flavor>,
    ) : AdmissionMessage

    class Created(
        val group: List<Creation>,
    ) : AdmissionMessage

    class Answered(
        val respond: (Response) -> Unit,
        val response: Response,
    ) : AdmissionMessage
}

/** A submission on its way into the state service; [bytes] is the size of its record there. */
class Creation(
    val record: JobRecord,
    val bytes: Int,
    val answer: CompletableDeferred<CreateResult>,
) {
    val id: JobId get() = record.spec.id
}

enum class CreateResult { CREATED, KNOWN, UNDECIDED }

/** Why a job can never run, or null; pure. */
object Feasibility {
    fun objection(
        spec: JobSpec,
        teams: Map<String, TeamSettings>,
        flavors: List<Flavor>,
        zones: List<String>,
    ): String? {
        val team = teams[spec.team] ?: return "unknown team"
        val all = if (spec.shape == Shape.ARRAY) 1 else spec.tasks
        if (team.cpusMax != null && spec.cpus * all > team.cpusMax + EPSILON) return "needs more than the team's limit"
        if (team.gpusMax != null && spec.gpus * all > team.gpusMax + EPSILON) return "needs more than the team's limit"
        if (spec.zone != null && spec.zone !in zones && flavors.none { spec.zone in it.zones }) return "no such zone"
        val fits =
            flavors.any {
                (spec.types == null || it.label in spec.types) &&
                    (spec.zone == null || it.zones.isEmpty() || spec.zone in it.zones) &&
                    spec.cpus <= it.cpus + EPSILON &&
                    spec.gpus <= it.gpus + EPSILON &&
                    spec.memoryGb <= it.memoryGb + EPSILON
            }
        return if (fits) null else "a task fits no allowed machine type"
    }

    private const val EPSILON = 1e-6
}

/** The users' door: every controller has one, whoever owns. */
class Admission(
    private val scope: CoroutineScope,
    private val settings: Settings,
    private val state: StateService,
    private val writes: Pacer,
    private val reader: Reader,
    private val clock: Clock,
    private val wallClock: () -> Instant,
    private val announce: () -> Unit,
    private val ready: () -> Boolean,
    metrics: MeterRegistry,
) : Actor<AdmissionMessage>("admission", scope, DEFAULT_CAPACITY + settings.sockets) {
    private val teams = settings.teams.associateBy { it.name }
    private val ends: Cache<JobId, EndRecord> =
        Caffeine
            .newBuilder()
            .maximumSize(20_000)
            .executor(Runnable::run)
            .build()
    private var flavors: List<Flavor>? = null
    private val queue = ArrayDeque<Creation>()
    private var creating = false
    private var open = 0
    private val accepted = metrics.counter("umberslip.jobs.accepted")
    private val refused = metrics.counter("umberslip.requests.refused")

    override suspend fun receive(message: AdmissionMessage) {
        when (message) {
            is AdmissionMessage.Flavors -> flavors = message.all
            is AdmissionMessage.Submit -> submit(message)
            is AdmissionMessage.Status -> answer(message.respond) { currentStatus(message.id) }
            is AdmissionMessage.Cancel -> answer(message.respond) { cancel(message.id) }
            is AdmissionMessage.Created -> {
                creating = false
                create()
            }
            is AdmissionMessage.Answered -> {
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
            respond(Response.later(2, "too many requests at once"))
            return
        }
        open++
        scope.launch {
            val response =
                try {
                    find()
                } catch (e: Unavailable) {
                    undecided()
                } catch (e: NoAnswer) {
                    undecided()
                }
            post(AdmissionMessage.Answered(respond, response))
        }
    }

    private fun undecided(): Response {
        refused.increment()
        // Users keep their connections: one that others may serve is let go, to be led to another.
        return Response.later(1, "the state service gives no answer", close = !ready())
    }

    private fun submit(message: AdmissionMessage.Submit) {
        val spec = message.spec
        ends.getIfPresent(spec.id)?.let {
            message.respond(told(200, spec.id, it))
            return
        }
        val objection =
            if (spec.team !in teams) {
                "unknown team"
            } else {
                flavors?.let { Feasibility.objection(spec, teams, it, settings.zones) }
            }
        if (objection == null && flavors == null) {
            refused.increment()
            message.respond(Response.later(1, "the machine types are not known yet"))
            return
        }
        if (objection == null && queue.size >= MAX_QUEUE) {
            refused.increment()
            message.respond(Response.later(2, "too many submissions at once"))
            return
        }
        answer(message.respond) { decide(spec, objection) }
    }

    private suspend fun decide(
        spec: JobSpec,
        objection: String?,
    ): Response {
        val record = JobRecord(spec, wallClock(), cancelled = false)
        val creation = Creation(record, Documents.jsonSize(record.toMap()), CompletableDeferred())
        val tooLarge = creation.bytes > settings.stateLimits.valueBytes
        var dependencyCancelled = false
        if (objection != null || tooLarge || spec.awaits.isNotEmpty()) {
            // A job that was accepted once is never refused later, whatever the machine types and limits are by then.
            val records = reader.confirm() ?: return undecided()
            status(spec.id, records).let { if (it.status != 404) return it }
            if (tooLarge) return Response.error(400, "the job's description is too large")
            (objection ?: neverDone(spec, records))?.let { return Response.error(422, it) }
            dependencyCancelled = isDependencyCancelled(record, records)
        }
        queue.addLast(creation)
        create()
        return when (creation.answer.await()) {
            CreateResult.CREATED -> {
                accepted.increment()
                val status = if (dependencyCancelled) End.CANCELLED.word else "queued"
                Response(201, mapOf("uid" to spec.id.value, "status" to status))
            }
            CreateResult.KNOWN -> status(spec.id)
            CreateResult.UNDECIDED -> undecided()
        }
    }

    /** Why what a job awaits can never be done, or null. */
    private suspend fun neverDone(
        spec: JobSpec,
        records: RecordView,
    ): String? {
        for (id in spec.awaits) {
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
        val group = ArrayList<Creation>()
        var size = 0
        while (group.size < settings.stateLimits.txnOps && queue.isNotEmpty()) {
            size += queue.first().bytes + GUARD_BYTES
            if (group.isNotEmpty() && size > MAX_TXN_BYTES) break
            group += queue.removeFirst()
        }
        scope.launch {
            try {
                write(group)
            } finally {
                group.forEach { it.answer.complete(CreateResult.UNDECIDED) }
                post(AdmissionMessage.Created(group))
            }
        }
    }

    private suspend fun write(group: List<Creation>) {
        var left = group.distinctBy { it.id }
        (group - left.toSet()).forEach { it.answer.complete(CreateResult.UNDECIDED) }
        while (left.isNotEmpty()) {
            writes.take(left.size, urgent = false)
            val result =
                try {
                    state.txn(
                        left.flatMap {
                            listOf(Guard(Keys.job(it.id), Version.NONE), Guard(Keys.end(it.id), Version.NONE))
                        },
                        left.map { Write.Put(Keys.job(it.id), it.record.toMap()) },
                    )
                } catch (e: Throttled) {
                    writes.lower()
                    log.debug("not accepted: {}", e.message)
                    return
                } catch (e: Unavailable) {
                    log.debug("not accepted: {}", e.message)
                    return
                } catch (e: NoAnswer) {
                    // Accepted or not: the user's next try will show.
                    log.info("the fate of {} submissions is unknown: {}", left.size, e.message)
                    return
                }
            when (result) {
                is TxnResult.Applied -> {
                    left.forEach { it.answer.complete(CreateResult.CREATED) }
                    announce()
                    return
                }
                is TxnResult.Refused -> {
                    val (known, rest) =
                        left.partition { Keys.job(it.id) in result.failed || Keys.end(it.id) in result.failed }
                    known.forEach { it.answer.complete(CreateResult.KNOWN) }
                    if (known.isEmpty()) return
                    left = rest
                }
                TxnResult.NoLease -> return
                is TxnResult.Rejected -> {
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
        return status(id, reader.confirm() ?: return undecided())
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
     * from the moment that this was told and without a record of its own; the owner writes its end later.
     */
    private suspend fun isDependencyCancelled(
        job: JobRecord,
        records: RecordView,
    ): Boolean {
        if (job.spec.awaits.isEmpty()) return false
        val unknown = HashSet<JobId>()
        while (true) {
            val lineage =
                DependencyState.of(job, { records.job(it)?.value }) {
                    if (it in unknown) End.DONE else ends.getIfPresent(it)?.end
                }
            when (lineage) {
                DependencyState.Cancelled -> return true
                DependencyState.Open -> return false
                is DependencyState.Unread -> for (id in lineage.ids) if (end(id) == null) unknown += id
            }
        }
    }

    private fun cancelled(job: JobRecord) = EndRecord(End.CANCELLED, job.spec.tasks)

    private suspend fun end(id: JobId): EndRecord? {
        val entry = state.lookUp(Keys.end(id)) ?: return null
        return EndRecord.parse(entry.data).also { ends.put(id, it) }
    }

    private suspend fun cancel(id: JobId): Response {
        ends.getIfPresent(id)?.let { return told(200, id, it) }
        repeat(3) {
            val records = reader.confirm() ?: return undecided()
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
                state.txn(
                    listOf(Guard(Keys.job(id), job.version), Guard(Keys.end(id), Version.NONE)),
                    listOf(
                        Write.Put(Keys.end(id), end.toMap()),
                        Write.Put(Keys.job(id), job.value.copy(cancelled = true).toMap()),
                    ),
                )
            if (result is TxnResult.Applied) {
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
        end: EndRecord,
    ): Response =
        Response(
            status,
            mapOf(
                "uid" to id.value,
                "status" to end.end.word,
                "done" to if (end.end == End.DONE) end.tasks else 0,
                "running" to 0,
            ),
        )

    private companion object {
        const val MAX_OPEN = 400

        /** How long users wait for the answer to a question. */
        val QUESTION_PATIENCE = 2.seconds
        const val MAX_QUEUE = 100
        const val MAX_TXN_BYTES = 50_000

        /** The two guards of a submission. */
        const val GUARD_BYTES = 150
    }
}
