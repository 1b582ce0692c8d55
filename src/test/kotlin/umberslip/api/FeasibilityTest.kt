package umberslip.api

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test
import umberslip.core.JobSpec
import umberslip.core.Shape
import umberslip.settings.TeamSettings
import umberslip.sim.ClusterSize
import umberslip.sim.Fixtures
import kotlin.random.Random

class FeasibilityTest {
    private val teams =
        listOf(
            TeamSettings("blue", 8.0, 0.0, 24.0, null),
            TeamSettings("green", 0.0, 0.0, null, null),
        ).associateBy { it.name }
    private val job =
        Fixtures.job(Random(1), 1).copy(
            team = "blue",
            instanceTypes = null,
            zone = null,
            cpus = 4.0,
            memoryGb = 4.0,
            tasks = 10,
        )

    private fun objection(spec: JobSpec) =
        Feasibility.objection(
            spec,
            teams,
            ClusterSize.TYPES,
            listOf("east", "west"),
        )

    @Test
    fun `a job that can run has no objection, and one that never can has`() {
        assertEquals(null, objection(job))
        assertEquals("unknown team", objection(job.copy(team = "red")))
        assertEquals("needs more than the team's limit", objection(job.copy(shape = Shape.GANG)))
        assertEquals(null, objection(job.copy(shape = Shape.GANG, team = "green")))
        assertEquals("needs more than the team's limit", objection(job.copy(shape = Shape.DAEMON, tasks = 7)))
        assertEquals(
            "a task fits no allowed machine type",
            objection(job.copy(instanceTypes = listOf("small"), memoryGb = 17.0)),
        )
        assertEquals("a task fits no allowed machine type", objection(job.copy(gpus = 1.0)))
        assertEquals("no such zone", objection(job.copy(zone = "north")))
    }
}
