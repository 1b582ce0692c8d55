package umberslip.scheduling

import umberslip.records.Keys
import umberslip.store.Version

/** A key of the log. Its entry is retained until every progress block that it names is stored elsewhere as well. */
internal class LogSlot(
    val number: Int,
) {
    /** The key of the slot's entry. */
    val key = Keys.log(number)

    /** The version of the slot's entry, by which the next write to the slot is guarded. */
    var version = Version.NONE
    private val edits = ArrayList<BlockEdit>()

    /** Its entry is malformed, so that what it records is unknown: it is not overwritten. */
    var isUnreadable = false

    /** The slot has a new entry, retained until all of [named] are stored elsewhere. */
    fun entryWritten(
        named: List<BlockEdit>,
        version: Version,
    ) {
        this.version = version
        edits.clear()
        edits += named
    }

    /**
     * Whether the slot may be written anew. Asked for every slot whenever there is something to log, so an edit that
     * is stored elsewhere, which it remains, is not looked at again.
     */
    val isFree: Boolean
        get() {
            if (isUnreadable) return false
            while (edits.isNotEmpty() && edits.last().isStoredElsewhere) edits.removeAt(edits.lastIndex)
            return edits.isEmpty()
        }

    /** The progress blocks for whose sake the entry is retained. */
    val retainedFor: List<ProgressBlock> get() = edits.filterNot { it.isStoredElsewhere }.map { it.block }
}

/** The slots of the log, and the sequence number of its newest entry. */
internal class LogSlots(
    slotCount: Int,
    private var lastSequenceNumber: Long,
) {
    private val slots = List(slotCount, ::LogSlot)

    val count: Int get() = slots.size

    /** Rises with every entry, across terms too. */
    val sequenceNumber: Long get() = lastSequenceNumber

    /** The slot of that number; null where a former leader used more slots than this one. */
    operator fun get(number: Int): LogSlot? = slots.getOrNull(number)

    fun nextSequenceNumber(): Long = ++lastSequenceNumber

    /** The slots that may be written anew, lowest number first. */
    fun free(): ArrayDeque<LogSlot> = slots.filterTo(ArrayDeque()) { it.isFree }

    /** For how many entries each progress block is the reason, or one of the reasons, to retain them. */
    fun retainedEntries(): Map<ProgressBlock, Int> {
        val entries = HashMap<ProgressBlock, Int>()
        for (slot in slots) for (block in slot.retainedFor) entries.merge(block, 1, Int::plus)
        return entries
    }

    companion object {
        /** What the log may take altogether: every controller holds a copy, and a new leader reads all of it. */
        private const val LOG_BYTES = 2 * 1024 * 1024
        private const val MIN_SLOTS = 256
        private const val MAX_SLOTS = 1024

        /**
         * Entries take as long to become free whatever their size, so with small values there must be more of them.
         * Versions that use fewer slots read the others, too.
         */
        fun countFor(valueBytes: Int): Int = (LOG_BYTES / valueBytes).coerceIn(MIN_SLOTS, MAX_SLOTS)
    }
}
