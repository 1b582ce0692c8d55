package umberslip.scheduling

import umberslip.records.Keys
import umberslip.store.Version

/**
 * A slot of the log: a key for one entry at a time. The entry affects the progress blocks whose starts and exits it
 * holds, and is retained until the edits of all of them are stored elsewhere as well.
 */
internal class LogSlot(
    val number: Int,
) {
    /** The key of the slot's entry. */
    val key = Keys.log(number)

    /** The version of the slot's entry, which guards the next write to the slot. */
    var version = Version.NONE
    private val edits = ArrayList<BlockEdit>()

    /** Whether the slot's entry is malformed. Its contents are unknown, so it is not overwritten. */
    var isUnreadable = false

    /** Notes that the slot has a new entry, which is retained until all [newEdits] are stored elsewhere. */
    fun entryWritten(
        newEdits: List<BlockEdit>,
        version: Version,
    ) {
        this.version = version
        edits.clear()
        edits += newEdits
    }

    /**
     * Whether the slot may be overwritten. Every slot is checked whenever there is something to log. Edits that are
     * stored elsewhere remain so, and are therefore removed here instead of being checked again.
     */
    val isFree: Boolean
        get() {
            if (isUnreadable) return false
            while (edits.isNotEmpty() && edits.last().isStoredElsewhere) edits.removeAt(edits.lastIndex)
            return edits.isEmpty()
        }

    /** The progress blocks whose edits require that the entry is retained. */
    val retainedFor: List<ProgressBlock> get() = edits.filterNot { it.isStoredElsewhere }.map { it.block }
}

/** The slots of the log, and the sequence number of its newest entry. */
internal class LogSlots(
    slotCount: Int,
    private var lastSequenceNumber: Long,
) {
    private val slots = List(slotCount, ::LogSlot)

    val count: Int get() = slots.size

    /** The sequence number of the newest entry; it rises with every entry, also across terms. */
    val sequenceNumber: Long get() = lastSequenceNumber

    /** Returns the slot with that number, or null if this leader does not use it; a former leader may have. */
    operator fun get(number: Int): LogSlot? = slots.getOrNull(number)

    fun nextSequenceNumber(): Long = ++lastSequenceNumber

    /** Returns the slots that may be overwritten, the lowest number first. */
    fun freeSlots(): ArrayDeque<LogSlot> = slots.filterTo(ArrayDeque()) { it.isFree }

    /** Returns the number of entries retained for each progress block; an entry may be retained for several blocks. */
    fun retainedEntriesByBlock(): Map<ProgressBlock, Int> {
        val entries = HashMap<ProgressBlock, Int>()
        for (slot in slots) for (block in slot.retainedFor) entries.merge(block, 1, Int::plus)
        return entries
    }

    companion object {
        /** The size limit of the whole log, since every controller holds a copy and a new leader reads all of it. */
        private const val LOG_BYTES = 2 * 1024 * 1024
        private const val MIN_SLOTS = 256
        private const val MAX_SLOTS = 1024

        /**
         * Returns the number of slots if a value may take [valueBytes]. Entries take equally long to become free
         * whatever their size, so small values require more slots. Versions that use fewer slots also read the others.
         */
        fun countFor(valueBytes: Int): Int = (LOG_BYTES / valueBytes).coerceIn(MIN_SLOTS, MAX_SLOTS)
    }
}
