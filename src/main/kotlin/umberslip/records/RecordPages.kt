package umberslip.records

import umberslip.store.Entry
import umberslip.store.KeyValueStore

/**
 * All replicated records, read page by page. The pages are not a consistent snapshot: [revision] is the revision of the
 * first page, and later changes may or may not be included. Applying those changes again does no harm.
 */
class RecordPages(
    val entries: List<Entry>,
    val revision: Long,
) {
    companion object {
        /** @throws umberslip.http.ServiceException if a page could not be read */
        suspend fun read(store: KeyValueStore): RecordPages {
            val first = store.list(Keys.ROOT, null)
            val entries = ArrayList(first.entries)
            var page = first
            while (page.hasMore && page.entries.isNotEmpty()) {
                page = store.list(Keys.ROOT, entries.last().key)
                entries += page.entries
            }
            return RecordPages(entries, first.revision)
        }
    }
}
