package umberslip.sim

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertNotNull
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import umberslip.core.JobSpec
import umberslip.core.Priority
import umberslip.records.Keys
import umberslip.records.toMap
import umberslip.store.Write
import kotlin.random.Random
import kotlin.time.Duration.Companion.seconds

/**
 * Records that turn malformed under a running cluster, and a failover after it.
 *
 * The leader read such a record after a precondition on it had failed, and the exception ended the coroutine that
 * writes: no further batch was written, so no job started any more. Malformed slots of the log, and malformed progress
 * records, were overwritten with the next write, since only their version was looked at. The next leader deleted
 * the progress of a job whose own record it could not read.
 */
class UnreadableRecordsTest {
    private val random = Random(1)
    private val cluster =
        SimulatedCluster(1, FaultRates(0.0, 0.0), ClusterSize(5), Fixtures::settingsJson).also { cluster ->
            for (controller in 0..2) cluster.startController(controller)
            cluster.run(10.seconds)
        }
    private var submitted = 0

    /** Not by simulated users, who would ask for it. */
    private fun submit(change: (JobSpec) -> JobSpec = { it }): JobSpec {
        val spec =
            change(
                Fixtures.unboundJob(random, ++submitted).copy(
                    tasks = 4,
                    priority = Priority.NORMAL,
                    expectedSeconds = 5.0,
                    deadlineSeconds = null,
                ),
            )
        cluster.upload(spec)
        assertEquals(201, cluster.ask(0, "POST", "/api/jobs", spec.toMap()).status)
        return spec
    }

    private fun corrupt(key: String) {
        cluster.store.compareAndSwap(emptyList(), listOf(Write.Put(key, MALFORMED)))
    }

    private fun assertLeftAlone(key: String) = assertEquals(MALFORMED, cluster.store.get(key)?.data, key)

    private fun statusCode(spec: JobSpec): Int = cluster.ask(0, "GET", "/api/jobs/${spec.id.value}", null).status

    private fun assertFinishes(spec: JobSpec) {
        cluster.run(60.seconds)
        val response = cluster.ask(1, "GET", "/api/jobs/${spec.id.value}", null)
        assertEquals("done", (response.body as Map<*, *>)["status"], "${response.body}")
    }

    private fun restartLeader() {
        val leader = checkNotNull(cluster.leader())
        cluster.stopController(leader)
        cluster.run(10.seconds)
        cluster.startController(leader)
        cluster.run(10.seconds)
    }

    /** Controllers that never saw the record while it could be read. */
    private fun restartAll() {
        (0..2).forEach(cluster::stopController)
        cluster.run(10.seconds)
        (0..2).forEach(cluster::startController)
        cluster.run(15.seconds)
    }

    @Test
    fun `a job whose record turns malformed is neither forgotten nor run, and the others run on`() {
        val long = submit { it.copy(tasks = 400, cpus = 1.0, expectedSeconds = 8.0) }
        cluster.run(5.seconds)
        corrupt(Keys.job(long.id))
        assertFinishes(submit())
        assertEquals(503, statusCode(long))
        restartLeader()
        assertFinishes(submit())
        assertEquals(503, statusCode(long))
        assertLeftAlone(Keys.job(long.id))
        assertTrue(cluster.violations.isEmpty(), cluster.violations.toString())
    }

    @Test
    fun `progress of a job with a malformed record is kept`() {
        val long = submit { it.copy(tasks = 40, expectedSeconds = 200.0) }
        cluster.run(45.seconds)
        val progress = Keys.progress(long.id, 0)
        assertNotNull(cluster.store.get(progress), "no progress stored after 45 s")
        corrupt(Keys.job(long.id))
        restartAll()
        assertEquals(503, statusCode(long), "neither absent nor known")
        assertFinishes(submit())
        assertNotNull(cluster.store.get(progress), "the progress record was deleted")
    }

    @Test
    fun `a malformed progress record is not overwritten, and the other jobs run on`() {
        val long = submit { it.copy(tasks = 40, expectedSeconds = 30.0) }
        cluster.run(45.seconds)
        val progress = Keys.progress(long.id, 0)
        corrupt(progress)
        assertFinishes(submit())
        assertLeftAlone(progress)
        restartLeader()
        assertFinishes(submit())
        assertLeftAlone(progress)
    }

    @Test
    fun `a malformed slot of the log is not overwritten, and jobs run on`() {
        assertFinishes(submit())
        val slot = Keys.log(0)
        assertNotNull(cluster.store.get(slot))
        corrupt(slot)
        repeat(3) { assertFinishes(submit()) }
        assertLeftAlone(slot)
        restartLeader()
        repeat(3) { assertFinishes(submit()) }
        restartAll()
        repeat(3) { assertFinishes(submit()) }
        assertLeftAlone(slot)
        assertTrue(cluster.violations.isEmpty(), cluster.violations.toString())
    }

    private companion object {
        val MALFORMED = mapOf("seq" to "x", "rows" to listOf(listOf("y")), "placed" to 1L)
    }
}
