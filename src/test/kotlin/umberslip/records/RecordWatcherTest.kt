package umberslip.records

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.async
import kotlinx.coroutines.cancel
import kotlinx.coroutines.test.StandardTestDispatcher
import kotlinx.coroutines.test.TestCoroutineScheduler
import org.junit.jupiter.api.Assertions.assertNotNull
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import umberslip.core.Clock
import umberslip.http.ServiceUnavailableException
import umberslip.store.Change
import umberslip.store.Changes
import umberslip.store.KeyValueStore
import umberslip.store.Page
import umberslip.store.UnusedKeyValueStore
import umberslip.store.Version
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** The record watcher goes on reading whatever a read shows and however it fails; see [MalformedRecordsTest]. */
@OptIn(ExperimentalCoroutinesApi::class)
class RecordWatcherTest {
    private val scheduler = TestCoroutineScheduler()
    private val scope = CoroutineScope(StandardTestDispatcher(scheduler) + SupervisorJob())
    private val store = ScriptedStore()
    private var listenerFails = false
    private val watcher =
        RecordWatcher(scope, store, Clock { scheduler.currentTime.milliseconds }, maxRequests = 10) { _, _ ->
            check(!listenerFails) { "the listener failed" }
        }

    private fun confirm(): RecordView? {
        val answer = scope.async { watcher.confirm() }
        scheduler.advanceTimeBy(2.seconds)
        scheduler.runCurrent()
        assertTrue(answer.isCompleted, "a confirmation was never answered")
        return answer.getCompleted()
    }

    @Test
    fun `reads go on after a log row with too few values`() {
        watcher.start()
        assertNotNull(confirm())
        val shortRow = listOf("run-000004", listOf(4L, 3L), listOf<Any>(), listOf<Any>())
        store.next = {
            Changes(5, listOf(Change.Put(Keys.log(1), mapOf("seq" to 1L, "rows" to listOf(shortRow)), Version(5))))
        }
        assertNotNull(confirm(), "the rest of the records is readable")
        assertNotNull(confirm())
        scope.cancel()
    }

    @Test
    fun `reads go on after one that fails unexpectedly`() {
        watcher.start()
        assertNotNull(confirm())
        store.next = { error("a programming error") }
        assertNull(confirm())
        store.next = { throw ServiceUnavailableException("out") }
        assertNull(confirm())
        store.next = { Changes(6, emptyList()) }
        assertNotNull(confirm())
        listenerFails = true
        confirm()
        listenerFails = false
        assertNotNull(confirm())
        scope.cancel()
    }

    /** Reads as [next] says; the first read shows no records. */
    private class ScriptedStore : KeyValueStore by UnusedKeyValueStore {
        var next: () -> Changes = { Changes(1, emptyList()) }

        override suspend fun list(
            prefix: String,
            after: String?,
        ) = Page(emptyList(), false, 1)

        override suspend fun changes(
            prefix: String,
            after: Long,
        ): Changes = next()
    }
}
