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

    private fun infeasibilityReason(spec: JobSpec) =
        Feasibility.infeasibilityReason(
            spec,
            teams,
            ClusterSize.TYPES,
            listOf("east", "west"),
        )

    @Test
    fun `a job is infeasible only if it can never run`() {
        assertEquals(null, infeasibilityReason(job))
        assertEquals("unknown team", infeasibilityReason(job.copy(team = "red")))
        assertEquals("needs more than the team's limit", infeasibilityReason(job.copy(shape = Shape.GANG)))
        assertEquals(null, infeasibilityReason(job.copy(shape = Shape.GANG, team = "green")))
        assertEquals("needs more than the team's limit", infeasibilityReason(job.copy(shape = Shape.DAEMON, tasks = 7)))
        assertEquals(
            "a task fits no allowed machine type",
            infeasibilityReason(job.copy(instanceTypes = listOf("small"), memoryGb = 17.0)),
        )
        assertEquals("a task fits no allowed machine type", infeasibilityReason(job.copy(gpus = 1.0)))
        assertEquals("no such zone", infeasibilityReason(job.copy(zone = "north")))
    }
}
