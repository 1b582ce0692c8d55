package umberslip.scheduling

/** The images that tasks of a machine were started with, and the fetches that are still to be expected there. */
class MachineImages {
    private val requested = HashSet<String>()

    /** Images with which a task has run. */
    private val fetched = HashSet<String>()

    /** How many tasks wait for each image that is not fetched. */
    private val awaited = HashMap<String, Int>()

    /** How many images are being fetched, or are next to be. */
    val fetchCount: Int get() = awaited.size

    /** Whether a task was ever started with this image, so that it is there or soon will be. */
    operator fun contains(image: String): Boolean = image in requested

    /** A task was placed on the machine, so its image will be fetched unless it is there. */
    fun taskAdded(image: String) {
        requested.add(image)
        if (image !in fetched) awaited.merge(image, 1, Int::plus)
    }

    /** Reverses the expectation of a fetch, not a fetch. */
    fun taskRemoved(image: String) {
        awaited.computeIfPresent(image) { _, count -> if (count > 1) count - 1 else null }
    }

    /** A task runs with the image, which shows that it is fetched. */
    fun taskRuns(image: String) {
        if (fetched.add(image)) awaited.remove(image)
    }
}
