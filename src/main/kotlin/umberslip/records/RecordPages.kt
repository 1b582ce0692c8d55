package umberslip.records

import umberslip.store.Entry
import umberslip.store.KeyValueStore

/**
 * All records, page by page. They were not read at one moment: changes after [revision], that of the first page, may be
 * in them or not, and applying those again does no harm.
 */
class RecordPages(
    val entries: List<Entry>,
    val revision: Long,
) {
    companion object {
        suspend fun read(store: KeyValueStore): RecordPages {
            val first = store.list(Keys.ROOT, null)
            val entries = ArrayList(first.entries)
            var page = first
            while (page.more && page.entries.isNotEmpty()) {
                page = store.list(Keys.ROOT, entries.last().key)
                entries += page.entries
            }
            return RecordPages(entries, first.revision)
        }
    }
}
