package umberslip.api

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import umberslip.core.JobId
import umberslip.core.JobSpec
import umberslip.core.Shape
import umberslip.http.Response
import umberslip.records.Keys
import umberslip.records.toMap
import umberslip.sim.ClusterSize
import umberslip.sim.FaultRates
import umberslip.sim.Fixtures
import umberslip.sim.SimulatedCluster
import umberslip.store.Write
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Tests the responses of actual controllers to invalid, repeated, concurrent and failing requests of users. */
class JobApiTest {
    private val cluster =
        SimulatedCluster(1, FaultRates(0.0, 0.0), ClusterSize(3), Fixtures::settingsJson).also { cluster ->
            for (i in 0..2) cluster.startController(i)
            cluster.run(8.seconds)
        }

    private fun job(
        number: Int,
        change: (JobSpec) -> JobSpec = { it },
    ) = change(
        Fixtures.job(Random(number), number).copy(
            team = "green",
            instanceTypes = null,
            zone = null,
            cpus = 1.0,
            memoryGb = 1.0,
            tasks = 2,
            expectedSeconds = 3.0,
            deadlineSeconds = null,
        ),
    )

    private fun submit(
        spec: JobSpec,
        change: Map<String, Any?> = emptyMap(),
        at: Int = 0,
    ): Response {
        cluster.upload(spec)
        return cluster.ask(at, "POST", "/api/jobs", spec.toMap() + change)
    }

    private fun status(
        spec: JobSpec,
        at: Int = 0,
    ) = statusOf(cluster.ask(at, "GET", "/api/jobs/${spec.id.value}", null))

    private fun cancel(
        spec: JobSpec,
        at: Int = 0,
    ) = statusOf(cluster.ask(at, "POST", "/api/jobs/${spec.id.value}/cancel", null))

    private fun statusOf(response: Response) = response.status to (response.body as Map<*, *>)["status"]

    @Test
    fun `malformed, infeasible and already accepted jobs get the status codes of the API`() {
        val good = job(1)
        for (
        (field, invalid) in listOf(
            "vcpus" to null,
            "vcpus" to "two",
            "expected_s" to Double.NaN,
            "due_s" to -3.0,
            "pieces" to 0,
            "one_zone" to null,
        )
        ) {
            assertEquals(400, submit(good, mapOf(field to invalid)).status, "$field $invalid")
        }
        assertEquals(400, cluster.ask(0, "POST", "/api/jobs", listOf(1)).status)
        assertEquals(404 to null, status(good), "no submission was accepted")
        assertEquals(422, submit(good.copy(memoryGb = 999.0)).status)
        assertEquals(422, submit(good.copy(memoryGb = 999.0), at = 1).status, "a retry is refused as well")
        assertEquals(422, submit(good.copy(team = "nobody")).status)
        assertEquals(404 to null, status(good))
        assertEquals(404 to null, cancel(good))
        assertEquals(201, submit(good).status)
        for (
        change in listOf(
            emptyMap(),
            mapOf("memory_gb" to 999.0),
            mapOf("hosttypes" to listOf("none")),
            mapOf("awaits" to listOf("run-777777")),
        )
        ) {
            assertEquals(200, submit(good, change, at = 2).status, "accepted before, so the changed fields are ignored")
        }
        cluster.run(60.seconds)
        assertEquals(200 to "done", status(good, 1))
        assertEquals(200 to "done", cancel(good, 2))
        assertEquals(200 to "done", status(good))
    }

    @Test
    fun `a job may depend only on accepted jobs that can be done, and is cancelled with them`() {
        val first = job(1)
        val service = job(2) { it.copy(shape = Shape.DAEMON) }
        val dependent = job(3)
        assertEquals(201, submit(first).status)
        assertEquals(201, submit(service).status)

        fun dependingOn(vararg ids: String) = submit(dependent, mapOf("awaits" to ids.toList()), at = 1).status
        assertEquals(422, dependingOn("run-555555"))
        assertEquals(422, dependingOn(first.id.value, dependent.id.value))
        assertEquals(422, dependingOn(service.id.value))
        assertEquals(400, dependingOn("not an id"))
        assertEquals(400, submit(dependent, mapOf("awaits" to "run-000001")).status)
        assertEquals(
            400,
            submit(dependent, mapOf("awaits" to List(500) { "run-%06d".format(it) })).status,
            "the record would be too large",
        )
        assertEquals(404 to null, status(dependent))
        assertEquals(201, dependingOn(first.id.value, first.id.value))
        assertEquals(200, dependingOn("run-555555"), "accepted before, so the changed dependency is ignored")
        // Cancelling the first job cancels its dependents at every controller at once, also those submitted later.
        assertEquals(200 to "aborted", cancel(first, 2))
        for (i in 0..2) assertEquals(200 to "aborted", status(dependent, i))
        val lateDependent = job(4) { it.copy(dependencies = listOf(dependent.id)) }
        val accepted = submit(lateDependent)
        assertEquals(
            201 to "aborted",
            accepted.status to (accepted.body as Map<*, *>)["status"],
            "accepted, but cancelled without being queued",
        )
        for (i in 0..2) assertEquals(200 to "aborted", status(lateDependent, i))
        assertEquals(200 to "aborted", cancel(lateDependent))
        cluster.run(20.seconds)
        for (i in 0..2) assertEquals(200 to "aborted", status(dependent, i), "cancelled after the outcome is written")
        assertEquals("aborted", (cluster.store.get("end/${lateDependent.id.value}")?.data as Map<*, *>)["status"])
        // A dependency that is done allows the job to run, even after an attempt to cancel the dependency.
        val done = job(5)
        submit(done)
        cluster.run(60.seconds)
        assertEquals(200 to "done", cancel(done))
        val after = job(6) { it.copy(dependencies = listOf(done.id, JobId("run-000005"))) }
        assertEquals(201, submit(after, at = 2).status)
        cluster.run(60.seconds)
        assertEquals(200 to "done", status(after))
    }

    @Test
    fun `during an outage of the key-value store every request gets 503 with Retry-After`() {
        val first = job(1)
        submit(first)
        cluster.store.out = true
        cluster.run(2.seconds)
        for (
        response in listOf(
            submit(job(2), mapOf("awaits" to listOf(first.id.value))),
            submit(job(3)),
            cluster.ask(0, "GET", "/api/jobs/run-000009", null),
        )
        ) {
            assertEquals(503, response.status)
            assertTrue(response.retryAfterSeconds != null)
        }
    }

    @Test
    fun `a status read before the controller paused is not returned afterwards`() {
        var openRequests = 0
        for (elapsedMs in 0..24) {
            val spec = job(40 + elapsedMs) { it.copy(expectedSeconds = 300.0) }
            assertEquals(201, submit(spec).status)
            cluster.run(1.seconds)
            val pending = cluster.send(0, "GET", "/api/jobs/${spec.id.value}")
            cluster.run(elapsedMs.milliseconds)
            if (pending.isCompleted) continue
            openRequests++
            cluster.freeze(0, 30.seconds)
            assertEquals(200 to "aborted", cancel(spec, at = 1))
            cluster.run(40.seconds)
            val response = pending.getCompleted()
            assertTrue(
                response.status == 503 || statusOf(response) == 200 to "aborted",
                "${response.status} ${response.body}",
            )
        }
        assertTrue(openRequests > 3, "only $openRequests requests were open at the pause")
    }

    /**
     * Guards against requests that stay open. A request about a job with a malformed outcome was never answered and
     * kept counting as one of the 400 open requests, so the controller eventually refused every request with `too many
     * requests at once`.
     */
    @Test
    fun `a request about a job with a malformed outcome gets 503 and does not stay open`() {
        val spec = job(1)
        val malformed = mapOf("status" to "unknown", "pieces" to "many")
        cluster.store.compareAndSwap(emptyList(), listOf(Write.Put(Keys.outcome(spec.id), malformed)))
        repeat(401) {
            val pending = cluster.send(0, "GET", "/api/jobs/${spec.id.value}")
            cluster.run(200.milliseconds)
            assertTrue(pending.isCompleted, "request $it was not answered")
            assertEquals(503, pending.getCompleted().status)
        }
        assertEquals(503, cancel(spec).first)
        assertEquals(503, submit(spec).status, "it is unknown whether the job was accepted before")
        assertEquals(503, submit(job(2), mapOf("awaits" to listOf(spec.id.value))).status)
        assertEquals(201, submit(job(3)).status)
        assertEquals(malformed, cluster.store.get(Keys.outcome(spec.id))?.data, "the outcome is not overwritten")
    }

    /** Guards against counting a refused status request twice, as unconfirmed and as late. */
    @Test
    fun `a request that is refused for two reasons counts once`() {
        val leader = checkNotNull(cluster.leader())

        fun refused() = checkNotNull(cluster.leaderMetrics()).counter("umberslip.requests.refused").count()
        val before = refused()
        val pending = cluster.send(leader, "GET", "/api/jobs/run-000001")
        cluster.run(1.milliseconds)
        cluster.store.out = true
        cluster.freeze(leader, 3.seconds)
        cluster.run(5.seconds)
        assertEquals(503, pending.getCompleted().status)
        assertEquals(1.0, refused() - before)
    }
}
