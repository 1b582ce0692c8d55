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
 * Records become malformed while the cluster runs, and a failover follows. These tests guard against three faults:
 * - The leader read a malformed record after a precondition on it had failed, and the exception ended the coroutine
 *   that writes. No further batch was written, so no job started any more.
 * - The next write overwrote malformed slots of the log and malformed progress records, because only their version was
 *   checked.
 * - The next leader deleted the progress of a job whose own record it could not read.
 */
class UnreadableRecordsTest {
    private val random = Random(1)
    private val cluster =
        SimulatedCluster(1, FaultRates(0.0, 0.0), ClusterSize(5), Fixtures::settingsJson).also { cluster ->
            for (controller in 0..2) cluster.startController(controller)
            cluster.run(10.seconds)
        }
    private var submittedJobs = 0

    /** Submits a job without the simulated users, who would poll its status. */
    private fun submit(adaptJob: (JobSpec) -> JobSpec = { it }): JobSpec {
        val spec =
            adaptJob(
                Fixtures.unboundJob(random, ++submittedJobs).copy(
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

    private fun assertNotOverwritten(key: String) = assertEquals(MALFORMED, cluster.store.get(key)?.data, key)

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

    /** Restarts all controllers, so that none of them has seen the record while it was readable. */
    private fun restartAll() {
        (0..2).forEach(cluster::stopController)
        cluster.run(10.seconds)
        (0..2).forEach(cluster::startController)
        cluster.run(15.seconds)
    }

    @Test
    fun `a job whose record becomes malformed is neither forgotten nor run, and other jobs run on`() {
        val longJob = submit { it.copy(tasks = 400, cpus = 1.0, expectedSeconds = 8.0) }
        cluster.run(5.seconds)
        corrupt(Keys.job(longJob.id))
        assertFinishes(submit())
        assertEquals(503, statusCode(longJob))
        restartLeader()
        assertFinishes(submit())
        assertEquals(503, statusCode(longJob))
        assertNotOverwritten(Keys.job(longJob.id))
        assertTrue(cluster.violations.isEmpty(), cluster.violations.toString())
    }

    @Test
    fun `progress of a job with a malformed record is kept`() {
        val longJob = submit { it.copy(tasks = 40, expectedSeconds = 200.0) }
        cluster.run(45.seconds)
        val progressKey = Keys.progress(longJob.id, 0)
        assertNotNull(cluster.store.get(progressKey), "no progress stored after 45 s")
        corrupt(Keys.job(longJob.id))
        restartAll()
        assertEquals(503, statusCode(longJob), "status code for a job with a malformed record")
        assertFinishes(submit())
        assertNotNull(cluster.store.get(progressKey), "the progress record was deleted")
    }

    @Test
    fun `a malformed progress record is not overwritten, and other jobs run on`() {
        val longJob = submit { it.copy(tasks = 40, expectedSeconds = 30.0) }
        cluster.run(45.seconds)
        val progressKey = Keys.progress(longJob.id, 0)
        corrupt(progressKey)
        assertFinishes(submit())
        assertNotOverwritten(progressKey)
        restartLeader()
        assertFinishes(submit())
        assertNotOverwritten(progressKey)
    }

    @Test
    fun `a malformed slot of the log is not overwritten, and jobs run on`() {
        assertFinishes(submit())
        val slotKey = Keys.log(0)
        assertNotNull(cluster.store.get(slotKey))
        corrupt(slotKey)
        repeat(3) { assertFinishes(submit()) }
        assertNotOverwritten(slotKey)
        restartLeader()
        repeat(3) { assertFinishes(submit()) }
        restartAll()
        repeat(3) { assertFinishes(submit()) }
        assertNotOverwritten(slotKey)
        assertTrue(cluster.violations.isEmpty(), cluster.violations.toString())
    }

    private companion object {
        val MALFORMED = mapOf("seq" to "x", "rows" to listOf(listOf("y")), "placed" to 1L)
    }
}
