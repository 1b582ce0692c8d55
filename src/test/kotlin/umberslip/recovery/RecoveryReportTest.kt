package umberslip.recovery

import com.networknt.schema.InputFormat
import com.networknt.schema.SchemaRegistry
import com.networknt.schema.SpecificationVersion
import io.micrometer.prometheusmetrics.PrometheusConfig
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import umberslip.core.JobId
import umberslip.core.MachineName
import umberslip.core.TaskId
import umberslip.core.Term
import umberslip.scheduling.TestScheduler
import java.net.InetSocketAddress
import java.net.ServerSocket
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** The metrics and reports that operators read agree with a controller's findings and follow the published schema. */
class RecoveryReportTest {
    private val schema =
        SchemaRegistry.withDefaultDialect(SpecificationVersion.DRAFT_2020_12).getSchema(RecoveryReportJson.schema())

    private fun randomSnapshot(
        random: Random,
        phase: RecoveryPhase = RecoveryPhase.entries.random(random),
        term: Long = random.nextLong(1, 1000),
    ): RecoverySnapshot {
        fun randomTime(): Duration? = random.nextInt(100_000).milliseconds.takeIf { random.nextBoolean() }
        return RecoverySnapshot(
            Term(term),
            phase,
            random.nextInt(100_000).milliseconds,
            random.nextInt(5000),
            random.nextInt(50),
            random.nextInt(500),
            random.nextInt(500),
            ReconciliationFinding.entries.filter { random.nextBoolean() }.associateWith { random.nextInt(1, 900) },
            randomTime(),
            randomTime(),
            randomTime(),
        )
    }

    private fun records(
        leader: String?,
        term: Long,
    ) = RecordsAnswer.Read(
        RecordedWork(
            leader,
            Term(term),
            jobs = List(5) { JobId("run-$it") }.toSet(),
            cancelledJobs = setOf(JobId("run-0")),
            doneTasks = emptyMap(),
            starts = List(30) { TaskId(JobId("run-1"), it) to RecordedStart(MachineName("m${it % 7}"), 1) }.toMap(),
            unreadable = setOf("u/job/run-1"),
        ),
    )

    private fun publishAndParse(snapshot: RecoverySnapshot?): ControllerAnswer {
        val registry = PrometheusMeterRegistry(PrometheusConfig.DEFAULT)
        RecoveryMetrics(registry) { snapshot }.register()
        return ControllerMetrics.parse("10.0.0.1:8080", registry.scrape())
    }

    @Test
    fun `a snapshot is read from the metrics as it was published`() {
        for (seed in 1..50) {
            val snapshot = randomSnapshot(Random(seed))
            assertEquals(ControllerAnswer.Leader("10.0.0.1:8080", snapshot), publishAndParse(snapshot))
        }
        assertEquals(ControllerAnswer.NotLeader("10.0.0.1:8080"), publishAndParse(null))
        val untracked = ControllerMetrics.parse("a:1", "umberslip_reports_total 4.0\n")
        assertEquals(ControllerAnswer.NotTracked("a:1"), untracked)
    }

    /** Scripts and dashboards depend on these names, so they must not change when a constant is renamed. */
    @Test
    fun `published names, exit codes and the order of phases are those of the released versions`() {
        assertEquals(listOf("waiting", "adopting", "settled"), RecoveryPhase.entries.map { it.jsonName })
        assertEquals(
            mapOf("settled" to 0, "recovering" to 3, "no_owner" to 4, "owner_not_heard" to 5, "unknown" to 6),
            RecoveryStatus.entries.associate { it.jsonName to it.exitCode },
        )
        assertEquals(
            "adopted end_unrecorded cancelled not_reported not_reported_cancelled done_running done_ended " +
                "other_attempt_running other_attempt_ended job_unknown_running job_unknown_ended",
            ReconciliationFinding.entries.joinToString(" ") { it.jsonName },
        )
    }

    @Test
    fun `a controller that cannot be reached is reported as unreachable`() {
        val port = ServerSocket(0).use { it.localPort }
        val answer = ControllerMetrics().query(InetSocketAddress("127.0.0.1", port))
        assertTrue(answer is ControllerAnswer.Unreachable, "$answer")
    }

    @Test
    fun `the status follows the highest term in the records and the controllers' answers`() {
        val completed = ControllerAnswer.Leader("a:1", randomSnapshot(Random(1), RecoveryPhase.COMPLETED, 5))
        val adopting = ControllerAnswer.Leader("b:1", randomSnapshot(Random(2), RecoveryPhase.ADOPTING, 6))
        val unreachable = ControllerAnswer.Unreachable("c:1", "refused")
        val unreadable = RecordsAnswer.Unreadable("503")

        fun status(
            records: RecordsAnswer,
            vararg controllers: ControllerAnswer,
        ) = RecoveryReport(records, controllers.toList()).status
        assertEquals(RecoveryStatus.COMPLETED, status(records("c-0", 5), completed, unreachable))
        assertEquals(RecoveryStatus.RECOVERING, status(records("c-1", 6), completed, adopting))
        assertEquals(RecoveryStatus.COMPLETED, status(unreadable, completed), "the leader's answer suffices")
        assertEquals(RecoveryStatus.LEADER_UNRESPONSIVE, status(records("c-2", 7), completed, adopting))
        assertEquals(RecoveryStatus.NO_LEADER, status(records(null, 6), unreachable))
        assertEquals(RecoveryStatus.LEADER_UNRESPONSIVE, status(records("c-2", 7), unreachable))
        assertEquals(RecoveryStatus.UNKNOWN, status(unreadable, unreachable))
    }

    @Test
    fun `the JSON follows the schema, and the schema rejects invalid documents`() {
        for (seed in 1..200) {
            val random = Random(seed)
            val records = if (random.nextInt(4) == 0) RecordsAnswer.Unreadable("out") else records("c-0", 3)
            val controllers =
                List(random.nextInt(4)) {
                    when (random.nextInt(4)) {
                        0 -> ControllerAnswer.NotLeader("a:1")
                        1 -> ControllerAnswer.NotTracked("a:1")
                        2 -> ControllerAnswer.Unreachable("a:1", "refused")
                        else -> ControllerAnswer.Leader("a:1", randomSnapshot(random))
                    }
                }
            val json = RecoveryReportJson.render(RecoveryReport(records, controllers))
            assertEquals(emptyList<Any>(), schema.validate(json, InputFormat.JSON), json)
        }
        val leader = ControllerAnswer.Leader("a:1", randomSnapshot(Random(1)))
        val valid = RecoveryReportJson.render(RecoveryReport(records("c-0", 3), listOf(leader)))
        for ((from, to) in listOf(
            "\"version\":1" to "\"version\":2",
            "\"state\":\"owner\"" to "\"state\":\"not_owner\"",
            "\"unfinished_jobs\":4" to "\"unfinished_jobs\":-4",
            "\"recorded_tasks\"" to "\"tasks\"",
        )) {
            assertTrue(from in valid, valid)
            assertFalse(schema.validate(valid.replace(from, to), InputFormat.JSON).isEmpty(), "$to must be rejected")
        }
    }

    @Test
    fun `recorded work is counted as the next leader would load it`() {
        val scheduler = TestScheduler()
        val job = scheduler.job { it.copy(tasks = 5) }
        val cancelled = scheduler.job { it.copy(tasks = 1) }
        scheduler.heartbeat("m1")
        scheduler.dispatch("m1")
        scheduler.write()
        scheduler.cancel(cancelled)
        val work = scheduler.recorded()
        val started = scheduler.machine("m1").assignments.size
        assertTrue(started > 0, "no task of ${job.spec.id} was started")
        assertEquals(started, work.starts.size)
        assertEquals(1, work.machinesWithTasks)
        assertEquals(2, work.jobs.size)
    }

    @Test
    fun `the text names unreadable records and unreachable controllers`() {
        val adopting = randomSnapshot(Random(1), RecoveryPhase.ADOPTING, 3).copy(completedAfter = null)
        val report =
            RecoveryReport(
                records("c-0", 3),
                listOf(
                    ControllerAnswer.Unreachable("b:1", "refused"),
                    ControllerAnswer.Leader("a:1", adopting),
                ),
            )
        val text = RecoveryReportText.render(report)
        val expected =
            listOf(
                "status: recovering",
                "u/job/run-1 cannot be read",
                "b:1: unreachable: refused",
                "settled after (not yet)",
            )
        for (part in expected) assertTrue(part in text, text)
    }
}
