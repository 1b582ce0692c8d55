package umberslip.provisioning

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import umberslip.cloud.Offer
import umberslip.core.MachineName
import umberslip.core.Resources
import umberslip.scheduling.ClusterSnapshot
import umberslip.scheduling.MachineSnapshot
import umberslip.scheduling.PendingWork
import umberslip.scheduling.PlacementConstraint
import umberslip.scheduling.RunningTask
import umberslip.settings.Tuning
import umberslip.sim.ClusterSize
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

class CapacityPlannerTest {
    private val instanceTypes = ClusterSize.SMALL.associateBy { it.label }
    private val planner = CapacityPlanner(Tuning())
    private val any = PlacementConstraint(null, null, true)

    private fun machine(
        name: String,
        offer: Offer,
        running: List<RunningTask> = emptyList(),
    ) = MachineSnapshot(
        MachineName(name),
        offer,
        instanceTypes[offer.type]?.resources,
        true,
        false,
        false,
        null,
        running.size,
        running,
        0.seconds,
        0.seconds,
        false,
        0.seconds,
        0.0,
        0.0,
    )

    private fun plan(
        machines: List<MachineSnapshot>,
        waiting: List<PendingWork>,
        shut: (Offer) -> Boolean = { false },
    ) = planner.plan(ClusterSnapshot(machines, waiting), emptyList(), instanceTypes, shut)

    private fun work(
        tasks: Int,
        where: PlacementConstraint = any,
        slack: Duration = 0.seconds,
    ) = PendingWork(where, Resources(2.0, 0.0, 2.0), tasks, 60.0, slack)

    @Test
    fun `nothing waits, nothing is rented`() {
        assertTrue(plan(emptyList(), emptyList()).rent.isEmpty())
        assertTrue(
            plan(listOf(machine("a", Offer("large", "east", true))), listOf(work(6))).rent.isEmpty(),
            "there is room",
        )
    }

    @Test
    fun `only allowed machines are rented, the cheapest first`() {
        val random = Random(3)
        repeat(200) {
            val where =
                PlacementConstraint(
                    listOf(null, listOf("small"), listOf("large"))[random.nextInt(3)],
                    listOf(null, "west")[random.nextInt(2)],
                    random.nextBoolean(),
                )
            val rent = plan(emptyList(), listOf(work(random.nextInt(1, 60), where))).rent
            assertTrue(rent.isNotEmpty())
            rent.forEach { assertTrue(where.allows(it.offer), "$where ${it.offer}") }
        }
        assertEquals(Offer("large", "east", true), plan(emptyList(), listOf(work(8))).rent.single().offer)
    }

    @Test
    fun `one small task is worth a machine when there is none for it`() {
        // Found by the rules test: too little to fill a machine, it was never given one.
        val tiny = PendingWork(PlacementConstraint(listOf("small"), null, false), Resources(0.5, 0.0, 0.5), 1, 2.0)
        assertEquals(1, plan(listOf(machine("a", Offer("large", "east", true))), listOf(tiny)).rent.single().number)
    }

    @Test
    fun `the only machine that waiting work may use is not returned for the slack of others`() {
        // Found by the rules test: the dearest machine went back although only it was allowed.
        val small = machine("s", Offer("small", "east", false))
        val large = machine("l", Offer("large", "east", true))
        val plan =
            plan(listOf(small, large), listOf(PendingWork(PlacementConstraint(listOf("small"), null, false), Resources(4.0, 0.0, 1.0), 1, 3.0)))
        assertEquals(setOf(MachineName("l")), plan.unneeded)
    }

    @Test
    fun `work that can wait is not worth a dear machine`() {
        val noSpot = { offer: Offer -> offer.spot }
        // Spot machines of this type are shut, so only ordinary ones are left; patience makes them fewer.
        val now = plan(emptyList(), listOf(work(40)), noSpot).rent.sumOf { it.number }
        val patient =
            plan(
                listOf(machine("a", Offer("large", "east", true))),
                listOf(work(40, slack = 1000.seconds)),
                noSpot,
            ).rent.sumOf { it.number }
        assertTrue(patient < now, "$patient of $now")
    }
}
