package umberslip.fleet

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import umberslip.agents.Room
import umberslip.cloud.HostName
import umberslip.cloud.Offer
import umberslip.settings.Tuning
import umberslip.sim.WorldSize
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

class FleetPlannerTest {
    private val flavors = WorldSize.SMALL.associateBy { it.label }
    private val planner = FleetPlanner(Tuning())
    private val any = Where(null, null, true)

    private fun machine(
        name: String,
        offer: Offer,
        running: List<Run> = emptyList(),
    ) = MachineView(
        HostName(name),
        offer,
        flavors[offer.type]?.let(Room::of),
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
        machines: List<MachineView>,
        waiting: List<Work>,
        shut: (Offer) -> Boolean = { false },
    ) = planner.plan(FleetView(machines, waiting), emptyList(), flavors, shut)

    private fun work(
        tasks: Int,
        where: Where = any,
        slack: Duration = 0.seconds,
    ) = Work(where, Room(2.0, 0.0, 2.0), tasks, 60.0, slack)

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
                Where(
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
        val tiny = Work(Where(listOf("small"), null, false), Room(0.5, 0.0, 0.5), 1, 2.0)
        assertEquals(1, plan(listOf(machine("a", Offer("large", "east", true))), listOf(tiny)).rent.single().number)
    }

    @Test
    fun `the only machine that waiting work may use is not returned for the slack of others`() {
        // Found by the rules test: the dearest machine went back although only it was allowed.
        val small = machine("s", Offer("small", "east", false))
        val large = machine("l", Offer("large", "east", true))
        val plan =
            plan(listOf(small, large), listOf(Work(Where(listOf("small"), null, false), Room(4.0, 0.0, 1.0), 1, 3.0)))
        assertEquals(setOf(HostName("l")), plan.unneeded)
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
