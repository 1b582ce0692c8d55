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
    private val instanceTypes = ClusterSize.TYPES.associateBy { it.label }
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
        isBackedOff: (Offer) -> Boolean = { false },
    ) = planner.plan(ClusterSnapshot(machines, waiting), emptyList(), instanceTypes, emptyList(), isBackedOff)

    private fun work(
        tasks: Int,
        where: PlacementConstraint = any,
        slack: Duration = 0.seconds,
    ) = PendingWork(where, Resources(2.0, 0.0, 2.0), tasks, 60.0, slack)

    @Test
    fun `nothing is provisioned while nothing waits or the existing machines suffice`() {
        assertTrue(plan(emptyList(), emptyList()).requests.isEmpty())
        assertTrue(
            plan(listOf(machine("a", Offer("large", "east", true))), listOf(work(6))).requests.isEmpty(),
            "the machine has enough free resources",
        )
    }

    @Test
    fun `only allowed machines are provisioned, the cheapest first`() {
        val random = Random(3)
        repeat(200) {
            val where =
                PlacementConstraint(
                    listOf(null, listOf("small"), listOf("large"))[random.nextInt(3)],
                    listOf(null, "west")[random.nextInt(2)],
                    random.nextBoolean(),
                )
            val requests = plan(emptyList(), listOf(work(random.nextInt(1, 60), where))).requests
            assertTrue(requests.isNotEmpty())
            requests.forEach { assertTrue(where.allows(it.offer), "$where ${it.offer}") }
        }
        assertEquals(Offer("large", "east", true), plan(emptyList(), listOf(work(8))).requests.single().offer)
    }

    @Test
    fun `one small task is worth a machine when there is none for it`() {
        // Found by the rules test: work too small to fill a machine never got one.
        val tiny = PendingWork(PlacementConstraint(listOf("small"), null, false), Resources(0.5, 0.0, 0.5), 1, 2.0)
        assertEquals(1, plan(listOf(machine("a", Offer("large", "east", true))), listOf(tiny)).requests.single().number)
    }

    @Test
    fun `the only machine that waiting work may use is not surplus when others have resources to spare`() {
        // Found by the rules test: the most expensive machine was terminated although only it was allowed.
        val small = machine("s", Offer("small", "east", false))
        val large = machine("l", Offer("large", "east", true))
        val onlySmall = PlacementConstraint(listOf("small"), null, false)
        val plan = plan(listOf(small, large), listOf(PendingWork(onlySmall, Resources(4.0, 0.0, 1.0), 1, 3.0)))
        assertEquals(setOf(MachineName("l")), plan.surplus)
    }

    @Test
    fun `work that can wait is not worth an expensive machine`() {
        val noSpot = { offer: Offer -> offer.spot }
        // Spot offers are backed off, so only ordinary ones are left; work with slack gets fewer of them.
        val now = plan(emptyList(), listOf(work(40)), noSpot).requests.sumOf { it.number }
        val patient =
            plan(
                listOf(machine("a", Offer("large", "east", true))),
                listOf(work(40, slack = 1000.seconds)),
                noSpot,
            ).requests.sumOf { it.number }
        assertTrue(patient < now, "$patient of $now")
    }

    private fun daemon(cpus: Double) = RunningTask(Resources(cpus, 0.0, 1.0), RunningTask.ENDLESS_SECONDS)

    private fun gang(
        tasks: Int,
        waiting: Int = tasks,
        oneZone: Boolean = false,
        cpus: Double = 1.0,
    ) = PendingWork(any, Resources(cpus, 0.0, 1.0), waiting, 9.0, atOnce = tasks, oneZone = oneZone)

    @Test
    fun `a gang waits for ever beside a daemon since capacity over time looks enough`() {
        // Three tasks of one processor, of which two hold the places that the daemon leaves.
        val held = List(2) { RunningTask(Resources(1.0, 0.0, 1.0), 9.0) }
        val machine = machine("a", Offer("small", "east", true), listOf(daemon(2.0)) + held)
        assertEquals(1, plan(listOf(machine), listOf(gang(tasks = 3, waiting = 1))).requests.sumOf { it.number })
        // Tasks that end free their places: without the daemon nothing is missing.
        val others = machine("a", Offer("small", "east", true), held + held)
        assertEquals(emptyList<ProvisioningRequest>(), plan(listOf(others), listOf(gang(3))).requests)
    }

    @Test
    fun `a task waits for ever since the only machines that are large enough have daemons`() {
        val machine = machine("a", Offer("small", "east", true), listOf(daemon(2.0)))
        val onlySmall = PlacementConstraint(listOf("small"), null, true)
        val waiting = PendingWork(onlySmall, Resources(3.0, 0.0, 1.0), 1, 5.0)
        assertEquals(1, plan(listOf(machine), listOf(waiting)).requests.sumOf { it.number })
    }

    @Test
    fun `the places of a gang are provisioned in one zone where it must be in one`() {
        val east = machine("a", Offer("large", "east", true))
        val west = machine("b", Offer("large", "west", true))
        val tasks = 3
        assertEquals(emptyList<ProvisioningRequest>(), plan(listOf(east, west), listOf(gang(2, cpus = 16.0))).requests)
        val requests = plan(listOf(east, west), listOf(gang(tasks, oneZone = true, cpus = 16.0))).requests
        val zones = requests.map { it.offer.zone }.toSet()
        assertEquals(1, zones.size, "$requests")
        assertTrue(requests.sumOf { it.number } >= tasks - 1, "$requests")
    }

    @Test
    fun `machines that hold a gang's places are not surplus`() {
        val first = machine("a", Offer("small", "east", true), listOf(daemon(2.0)))
        val second = machine("b", Offer("small", "east", true))
        assertEquals(emptySet<MachineName>(), plan(listOf(first, second), listOf(gang(3))).surplus)
    }

    @Test
    fun `all tasks of a gang find a place at the same time in what a plan provisions`() {
        val random = Random(5)
        repeat(500) {
            val machines =
                List(random.nextInt(4)) { number ->
                    val running = if (random.nextBoolean()) listOf(daemon(random.nextDouble(1.0, 4.0))) else emptyList()
                    machine("m-$number", offer(random), running)
                }
            val gang = gang(random.nextInt(2, 40), oneZone = random.nextBoolean(), cpus = random.nextInt(1, 16) + 0.5)
            val plan = plan(machines, listOf(gang))
            val left = machines.map { it.offer to leftByEndless(it) }
            val added = plan.requests.flatMap { (offer, number) -> List(number) { offer to capacity(offer) } }
            val places =
                (left + added)
                    .groupBy({ (offer, _) -> offer.zone }) { (_, resources) -> places(resources, gang.resources) }
                    .map { (_, inZone) -> inZone.sum() }
            assertTrue((if (gang.oneZone) places.max() else places.sum()) >= gang.atOnce, "$gang in $places")
        }
    }

    private fun offer(random: Random): Offer {
        val type = listOf("small", "large").random(random)
        return Offer(type, listOf("east", "west").random(random), random.nextBoolean())
    }

    private fun capacity(offer: Offer): Resources = instanceTypes.getValue(offer.type).resources

    private fun leftByEndless(machine: MachineSnapshot): Resources {
        val capacity = capacity(machine.offer)
        return machine.running.fold(capacity) { left, task -> left - task.resources }
    }

    private fun places(
        resources: Resources,
        task: Resources,
    ): Int = if (resources.covers(task)) resources.countOf(task) else 0
}
