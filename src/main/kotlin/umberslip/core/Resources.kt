package umberslip.core

/** Amounts of processors, accelerators and memory that a task requests or a machine offers. */
data class Resources(
    val cpus: Double,
    val gpus: Double,
    val memoryGb: Double,
) {
    /** Returns whether [other] fits into these resources. */
    fun covers(other: Resources): Boolean =
        cpus + EPSILON >= other.cpus &&
            gpus + EPSILON >= other.gpus &&
            memoryGb + EPSILON >= other.memoryGb

    operator fun plus(other: Resources) = Resources(cpus + other.cpus, gpus + other.gpus, memoryGb + other.memoryGb)

    operator fun minus(other: Resources) = Resources(cpus - other.cpus, gpus - other.gpus, memoryGb - other.memoryGb)

    /** Whether no task fits: memory is used up, or both processors and accelerators are. */
    val isExhausted: Boolean get() = cpus < EPSILON && gpus < EPSILON || memoryGb < EPSILON

    /** Returns how many tasks fit that request [task] each. */
    fun countOf(task: Resources): Int {
        var count = Double.MAX_VALUE
        if (task.cpus > 0) count = minOf(count, cpus / task.cpus)
        if (task.gpus > 0) count = minOf(count, gpus / task.gpus)
        if (task.memoryGb > 0) count = minOf(count, memoryGb / task.memoryGb)
        return (count + EPSILON).toInt().coerceAtLeast(0)
    }

    companion object {
        /** The tolerance for rounding errors of sums and differences. */
        private const val EPSILON = 1e-6
        val NONE = Resources(0.0, 0.0, 0.0)
    }
}
