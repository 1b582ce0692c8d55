package umberslip.records

import umberslip.store.Entry
import umberslip.store.KeyValueStore

/**
 * All records, read page by page. The pages are not from the same moment: changes after [revision], which is that of
 * the first page, may be included or not. Applying those changes again does no harm.
 */
class RecordPages(
    val entries: List<Entry>,
    val revision: Long,
) {
    companion object {
        /** @throws umberslip.http.ServiceException where a page could not be read */
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
