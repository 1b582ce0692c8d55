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
    private val anyMachine = PlacementConstraint(null, null, true)

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
        where: PlacementConstraint = anyMachine,
        slack: Duration = 0.seconds,
    ) = PendingWork(where, Resources(2.0, 0.0, 2.0), tasks, 60.0, slack)

    @Test
    fun `nothing is provisioned while no work waits or the existing machines suffice`() {
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
    fun `a single small task gets a machine if no existing machine may run it`() {
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
    fun `work with slack gets fewer expensive machines`() {
        val noSpot = { offer: Offer -> offer.spot }
        // Spot offers are backed off, so only ordinary machines can be requested.
        val withoutSlack = plan(emptyList(), listOf(work(40)), noSpot).requests.sumOf { it.number }
        val withSlack =
            plan(
                listOf(machine("a", Offer("large", "east", true))),
                listOf(work(40, slack = 1000.seconds)),
                noSpot,
            ).requests.sumOf { it.number }
        assertTrue(withSlack < withoutSlack, "$withSlack of $withoutSlack")
    }

    private fun daemon(cpus: Double) = RunningTask(Resources(cpus, 0.0, 1.0), RunningTask.ENDLESS_SECONDS)

    private fun gang(
        tasks: Int,
        waiting: Int = tasks,
        oneZone: Boolean = false,
        cpus: Double = 1.0,
    ) = PendingWork(anyMachine, Resources(cpus, 0.0, 1.0), waiting, 9.0, concurrentTasks = tasks, oneZone = oneZone)

    @Test
    fun `a gang beside a daemon gets a machine although capacity over time looks sufficient`() {
        // The gang has three tasks of one processor; two of them hold the places that the daemon leaves.
        val runningTasks = List(2) { RunningTask(Resources(1.0, 0.0, 1.0), 9.0) }
        val machine = machine("a", Offer("small", "east", true), listOf(daemon(2.0)) + runningTasks)
        assertEquals(1, plan(listOf(machine), listOf(gang(tasks = 3, waiting = 1))).requests.sumOf { it.number })
        // Tasks that end free their places, so without the daemon no place is missing.
        val withoutDaemon = machine("a", Offer("small", "east", true), runningTasks + runningTasks)
        assertEquals(emptyList<ProvisioningRequest>(), plan(listOf(withoutDaemon), listOf(gang(3))).requests)
    }

    @Test
    fun `a task gets a machine if daemons occupy the only machines that are large enough`() {
        val machine = machine("a", Offer("small", "east", true), listOf(daemon(2.0)))
        val onlySmall = PlacementConstraint(listOf("small"), null, true)
        val waiting = PendingWork(onlySmall, Resources(3.0, 0.0, 1.0), 1, 5.0)
        assertEquals(1, plan(listOf(machine), listOf(waiting)).requests.sumOf { it.number })
    }

    @Test
    fun `the places of a gang that must be in one zone are provisioned in one zone`() {
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
    fun `machines with planned places for a gang are not surplus`() {
        val first = machine("a", Offer("small", "east", true), listOf(daemon(2.0)))
        val second = machine("b", Offer("small", "east", true))
        assertEquals(emptySet<MachineName>(), plan(listOf(first, second), listOf(gang(3))).surplus)
    }

    @Test
    fun `existing and requested machines have places for all tasks of a gang at the same time`() {
        val random = Random(5)
        repeat(500) {
            val machines =
                List(random.nextInt(4)) { number ->
                    val running = if (random.nextBoolean()) listOf(daemon(random.nextDouble(1.0, 4.0))) else emptyList()
                    machine("m-$number", offer(random), running)
                }
            val gang = gang(random.nextInt(2, 40), oneZone = random.nextBoolean(), cpus = random.nextInt(1, 16) + 0.5)
            val plan = plan(machines, listOf(gang))
            val existing = machines.map { it.offer to resourcesBesideEndless(it) }
            val requested = plan.requests.flatMap { (offer, number) -> List(number) { offer to capacity(offer) } }
            val places =
                (existing + requested)
                    .groupBy({ (offer, _) -> offer.zone }) { (_, resources) -> places(resources, gang.resources) }
                    .map { (_, inZone) -> inZone.sum() }
            assertTrue((if (gang.oneZone) places.max() else places.sum()) >= gang.concurrentTasks, "$gang in $places")
        }
    }

    private fun offer(random: Random): Offer {
        val type = listOf("small", "large").random(random)
        return Offer(type, listOf("east", "west").random(random), random.nextBoolean())
    }

    private fun capacity(offer: Offer): Resources = instanceTypes.getValue(offer.type).resources

    private fun resourcesBesideEndless(machine: MachineSnapshot): Resources {
        val capacity = capacity(machine.offer)
        return machine.assignedTasks.fold(capacity) { left, task -> left - task.resources }
    }

    private fun places(
        resources: Resources,
        task: Resources,
    ): Int = if (resources.covers(task)) resources.countOf(task) else 0
}
