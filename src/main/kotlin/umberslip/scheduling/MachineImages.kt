package umberslip.scheduling

/** The images of the tasks that were placed on a machine, and the image fetches that are still expected there. */
class MachineImages {
    private val requested = HashSet<String>()

    /** Images with which a task has run, which shows that they are present. */
    private val fetched = HashSet<String>()

    /** For each image that is not fetched yet, how many tasks wait for it. */
    private val tasksWaiting = HashMap<String, Int>()

    /** How many images are being fetched or wait to be fetched. */
    val fetchCount: Int get() = tasksWaiting.size

    /** Whether a task with this image was ever placed on the machine, so that the image is present or soon will be. */
    operator fun contains(image: String): Boolean = image in requested

    /** A task was placed on the machine, so its image will be fetched unless it is present. */
    fun taskAdded(image: String) {
        requested.add(image)
        if (image !in fetched) tasksWaiting.merge(image, 1, Int::plus)
    }

    /** A task was taken off the machine and no longer waits for its image. The image stays if it was fetched. */
    fun taskRemoved(image: String) {
        tasksWaiting.computeIfPresent(image) { _, count -> if (count > 1) count - 1 else null }
    }

    /** A task runs with the image, which shows that the image is fetched. */
    fun imageFetched(image: String) {
        if (fetched.add(image)) tasksWaiting.remove(image)
    }
}
